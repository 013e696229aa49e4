"""Crowds of clients on plain sockets, and what a process uses meanwhile."""

import contextlib
import itertools
import json
import pathlib
import selectors
import socket
import threading
import time

CONNECT_TIMEOUT_S = 30
# Ends a crowd that nobody reads; the checks after it decide.
GIVE_UP_S = 180
SAMPLE_INTERVAL_S = 0.01
PIECE_BYTES = 16 * 1024


class Client:
    """A connection that sends its parts in turn and then stays open."""

    def __init__(self, port, parts):
        self.socket = socket.create_connection(
            ('127.0.0.1', port), CONNECT_TIMEOUT_S
        )
        self.socket.setblocking(False)
        self.response = b''
        self.is_closed = False
        self._parts = iter(parts)
        self._unsent = b''

    @property
    def status(self):
        """The status of the response, 0 without one."""
        fields = self.response.split(b' ', 2)
        return int(fields[1]) if len(fields) == 3 else 0

    def send(self):
        """Send what the connection takes; return False once all is sent."""
        if not self._unsent:
            self._unsent = memoryview(next(self._parts, b''))
        if not self._unsent:
            return False
        with contextlib.suppress(BlockingIOError):
            sent = self.socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
        return True

    def receive(self):
        """Read a part of the response."""
        with contextlib.suppress(BlockingIOError):
            received = self.socket.recv(PIECE_BYTES)
            self.response += received
            self.is_closed = not received


class Crowd:
    """Many clients of one port, served in turn by one thread."""

    def __init__(self, port):
        self.port = port
        self.clients = []

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for client in self.clients:
            client.socket.close()

    def join(self, *parts_of_clients):
        """Connect one client for each sequence of parts."""
        for parts in parts_of_clients:
            self.clients.append(Client(self.port, parts))

    def send(self):
        """Send until each client has sent its parts or was disconnected."""
        ends_at = time.monotonic() + GIVE_UP_S
        with selectors.DefaultSelector() as selector:
            both = selectors.EVENT_READ | selectors.EVENT_WRITE
            for client in self.clients:
                selector.register(client.socket, both, client)
            sending = set(self.clients)
            while sending and time.monotonic() < ends_at:
                for key, events in selector.select(1):
                    if not self._serve(key.data, events, selector):
                        sending.discard(key.data)

    def receive(self, is_enough):
        """Read responses until ``is_enough``, or until all were closed."""
        ends_at = time.monotonic() + GIVE_UP_S
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                if not client.is_closed:
                    selector.register(
                        client.socket, selectors.EVENT_READ, client
                    )
            while selector.get_map() and time.monotonic() < ends_at:
                for key, events in selector.select(1):
                    self._serve(key.data, events, selector)
                if all(map(is_enough, self.clients)):
                    return

    def _serve(self, client, events, selector):
        """Return whether the client has more to send."""
        has_more = True
        try:
            if events & selectors.EVENT_READ:
                client.receive()
            if events & selectors.EVENT_WRITE:
                has_more = client.send()
        except OSError:
            client.is_closed = True
        if client.is_closed:
            selector.unregister(client.socket)
            return False
        if not has_more:
            selector.modify(client.socket, selectors.EVENT_READ, client)
        return has_more


class ProcessWatch:
    """Samples the descriptors of a process while it is entered.

    Attributes:
        pid: Of the process with the settings file.
        peak_descriptors: The most that were open at once.
    """

    def __init__(self, node_file):
        self._marker = f'HYSSOPRING_NODE_FILE={node_file}'.encode()
        self.pid = self._find()
        self.peak_descriptors = 0
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_error):
        self._is_over.set()
        self._thread.join()

    @property
    def is_alive(self):
        """Whether the same process runs, not another one in its place."""
        return self._is_process(pathlib.Path(f'/proc/{self.pid}'))

    @property
    def peak_kb(self):
        """The most memory that was resident at once."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0])

    def _find(self):
        processes = pathlib.Path('/proc').glob('[0-9]*')
        return next(
            int(path.name) for path in filter(self._is_process, processes)
        )

    def _is_process(self, path):
        try:
            return self._marker in (path / 'environ').read_bytes().split(b'\0')
        except OSError:
            return False

    def _sample(self):
        descriptors = pathlib.Path(f'/proc/{self.pid}/fd')
        while not self._is_over.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError):
                count = sum(1 for _descriptor in descriptors.iterdir())
                self.peak_descriptors = max(self.peak_descriptors, count)


def head(method, path, *lines):
    """Return the head of a request."""
    fields = (
        f'{method} {path} HTTP/1.1',
        'Host: h.example',
        'Content-Type: application/json',
        *lines,
    )
    return '\r\n'.join((*fields, '', '')).encode()


def with_length(path, body, announced=None):
    """Return the parts of a request with an announced length."""
    length = len(body) if announced is None else announced
    return [head('POST', path, f'Content-Length: {length}'), body]


def pieces(part, size=PIECE_BYTES):
    """Return the part in pieces."""
    return [part[start : start + size] for start in range(0, len(part), size)]


def chunked(body, size):
    """Return the body in chunks, without the last one, as parts to send."""
    chunks = [
        b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in pieces(body, size)
    ]
    return pieces(b''.join(chunks))


def with_chunks(path, chunks, count=1):
    """Return the parts of a request with the chunks ``count`` times."""
    first = head('POST', path, 'Transfer-Encoding: chunked')
    repeated = itertools.chain.from_iterable([chunks] * count)
    return itertools.chain([first], repeated)


def padded(fields, size):
    """Return the JSON of the fields with blanks up to the size."""
    return json.dumps(fields).encode().ljust(size)
