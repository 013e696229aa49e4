"""Clients that keep many connections open, and what they send."""

import asyncio
import itertools
import pathlib
import threading

KIB = 1024
MIB = 1024 * KIB
NOTHING_QUEUED = '00000000:00000000'
_REOPEN_PAUSE_S = 0.2
_MAX_KEPT_RESPONSE_BYTES = 4 * KIB


class _Client:
    """One connection; opened again when it is closed, if ``reopens``."""

    def __init__(self, address, pieces, reopens):
        self.host, port = address.split(':')
        self.port = int(port)
        self.pieces = pieces
        self.reopens = reopens
        self.has_ended = False
        self.response = b''

    async def run(self):
        while True:
            try:
                await self._connect()
            except OSError:
                pass
            self.has_ended = True
            if not self.reopens:
                return
            await asyncio.sleep(_REOPEN_PAUSE_S)

    async def _connect(self):
        reader, writer = await asyncio.open_connection(self.host, self.port)
        reading = asyncio.ensure_future(self._read(reader))
        try:
            for piece in self.pieces():
                writer.write(piece)
                await writer.drain()
            self.has_ended = True
            await reading
        finally:
            reading.cancel()
            writer.close()

    async def _read(self, reader):
        while received := await reader.read(64 * KIB):
            room = _MAX_KEPT_RESPONSE_BYTES - len(self.response)
            self.response += received[:room]


class Crowd:
    """Many connections at once, kept open until the ``with`` block ends."""

    def __init__(self, address, messages, reopens=False):
        """Prepare one connection a message.

        Args:
            address: ``host:port``.
            messages: Functions that return the pieces that a client sends.
            reopens: Whether a client that is disconnected comes again.
        """
        self.address = address
        self.clients = [
            _Client(address, message, reopens) for message in messages
        ]
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def __enter__(self):
        self._thread.start()
        for client in self.clients:
            asyncio.run_coroutine_threadsafe(client.run(), self._loop)
        return self

    def __exit__(self, *_error):
        asyncio.run_coroutine_threadsafe(self._cancel(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel(self):
        # A cancelled client starts no task but cancels its reading one.
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def unfinished(self):
        """Number of clients that still connect or send."""
        return sum(not client.has_ended for client in self.clients)

    @property
    def responses(self):
        """The start of what each client received, if anything."""
        return [client.response for client in self.clients if client.response]


def queued_bytes(address):
    """Return the bytes that were sent to a port and not read, by connection."""
    port = int(address.split(':')[1])
    rows = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    return sorted(
        fields[4]
        for fields in (row.split() for row in rows)
        if port in (port_of(fields[1]), port_of(fields[2]))
        and fields[4] != NOTHING_QUEUED
    )


def port_of(end):
    return int(end.split(':')[1], 16)


def head(path, *fields):
    """Return the head of a POST."""
    lines = [f'POST {path} HTTP/1.1', 'Host: x', *fields, '', '']
    return '\r\n'.join(lines).encode()


def whole(path, size):
    """A body of announced length, at once."""
    yield head(path, f'Content-Length: {size}') + b'.' * size


def piecemeal(path, size, is_short, piece=16 * KIB):
    """A body of announced length in pieces; a short one lacks a byte."""
    yield head(path, f'Content-Length: {size}')
    for _ in range(size // piece - 1):
        yield b'.' * piece
    yield b'.' * (piece - is_short)


def chunked(path, size, is_short, chunk):
    """A chunked body in writes of 64 KiB; a short one lacks its end."""
    yield head(path, 'Transfer-Encoding: chunked')
    text = b'%x\r\n' % chunk + b'.' * chunk + b'\r\n'
    per_write = max(1, 64 * KIB // chunk)
    for _ in range(size // (chunk * per_write)):
        yield text * per_write
    if not is_short:
        yield b'0\r\n\r\n'


def announced(path, size, sent):
    """An announced body far over the limit, of which a part arrives."""
    yield head(path, f'Content-Length: {size}')
    yield from itertools.repeat(b'.' * (64 * KIB), sent // (64 * KIB))


def silent():
    """Nothing."""
    return iter(())


def half_head(path):
    """A head without its end."""
    yield head(path, 'X-Padding: ' + '.' * 8000)[:-2]


def half_frame(length, sent):
    """The length of a frame and less than that."""
    yield length.to_bytes(4, 'big')
    for _ in range(sent // (16 * KIB)):
        yield b'.' * (16 * KIB)
