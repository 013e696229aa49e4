# flake8: noqa
"""Stand-ins and a small deployment for the scripts of review 2.

The platform's store, the runners and the clients run in this process, on
asyncio. The project's own programs are started as separate processes with the
commands of the deploy file. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROW_BYTES = 65_536
PAGE_ROWS = 500
HOLD_MAX_MS = 10_000
STOP_S = 0.4
ENDS_LISTED = 500
HEARTBEAT_S = 1.5
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
STORE_DELAY_S = 0.004


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, *words):
        text = ' '.join(map(str, words))
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return lines[0], headers, body
            body += chunk[:-2]
    length = int(headers.get('content-length', 0))
    return lines[0], headers, await reader.readexactly(length)


class HttpServer:
    """Serves one address; ``handle`` returns status and fields, or None."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self._writers = set()
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(' ')
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, fields = answer
                content = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json'
                    f'\r\ncontent-length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        except asyncio.LimitOverrunError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(host, port, method, path, body=None, timeout_s=3.0, **options):
    """Return status and fields of one request; status 0 without an answer."""
    headers = {'Host': f'{host}:{port}', **options.get('headers', {})}
    content = b'' if body is None else json.dumps(body).encode()
    local = options.get('local')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(local, 0) if local else None
            )
            try:
                lines = [f'{method} {path} HTTP/1.1']
                lines += [f'{name}: {text}' for name, text in headers.items()]
                lines.append('Content-Type: application/json')
                lines.append(f'Content-Length: {len(content)}')
                lines.append('Connection: close')
                writer.write(
                    '\r\n'.join(lines).encode() + b'\r\n\r\n' + content
                )
                first, _, answer = await read_message(reader)
            finally:
                writer.transport.abort()
        status = int(first.split(' ')[1])
        return status, json.loads(answer) if answer else {}
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0, {}


class Store:
    """The platform's table store, by the page on its protocol."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.ver = 1
        self.changes = []
        self.refused_rows = 0
        # Addresses of entries, and those of the proxies before them.
        self.seen_as = {}
        self._changed = asyncio.Event()
        # Called with method, path and body; may return an answer or wait.
        self.fault = None

    def seen(self, table, value):
        """Return a value as readers see it, with proxies for entries."""
        if table != 'hs_entry' or not self.seen_as:
            return value
        text = base64.b64decode(value).decode()
        for written, shown in self.seen_as.items():
            text = text.replace(written, shown)
        return base64.b64encode(text.encode()).decode()

    def put(self, table, part, key, text):
        self.ver += 1
        self._set((table, part, key), base64.b64encode(text.encode()).decode())
        self._wake()

    def text(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0]).decode()

    def _set(self, place, value):
        self.rows[place] = (value, self.ver)
        self.changes.append((self.ver, place, value))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, path, headers, body):
        if self.fault is not None:
            answer = await self.fault(method, path, headers, body)
            if answer != 'serve':
                return answer
        await asyncio.sleep(STORE_DELAY_S / 2)
        answer = await self.serve(method, path, body)
        await asyncio.sleep(STORE_DELAY_S / 2)
        return answer

    async def serve(self, method, path, body):
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == '/-/rows-tx' and method == 'POST':
            return self._transact(json.loads(body))
        if url.path == '/-/rows-get':
            return self._get(query)
        if url.path == '/-/rows-parts':
            table = query['table']
            parts = sorted({p for t, p, _ in self.rows if t == table})
            parts = [p for p in parts if p > query.get('after', '')]
            return 200, self._stamp({'parts': parts[:1000]})
        if url.path == '/-/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _stamp(self, fields):
        now_ms = int(time.monotonic() * 1000)
        return {**fields, 'ver': self.ver, 'nowMs': now_ms}

    def _fields(self, place):
        value, ver = self.rows[place]
        value = self.seen(place[0], value)
        table, part, key = place
        return dict(table=table, part=part, key=key, value=value, ver=ver)

    def _transact(self, body):
        checks = body.get('precondition', [])
        writes = body.get('writes', [])
        removals = body.get('remove', [])
        entries = [*checks, *writes, *removals]
        if len(entries) > MAX_TX_ENTRIES:
            return 400, {}
        if len(json.dumps(body)) > MAX_TX_BYTES:
            return 400, {}
        if len({entry.get('part', '') for entry in entries}) > 1:
            return 400, {}
        for write in writes:
            size = len(base64.b64decode(write['value']))
            if size > ROW_BYTES:
                self.refused_rows += 1
                self.record.write(
                    'store refuses a row of',
                    size,
                    'bytes:',
                    write['table'],
                    write['key'],
                )
                return 400, {}
            if write['table'] in {'op', 'servers'}:
                return 403, {}

        def place(entry):
            return entry['table'], entry.get('part', ''), entry['key']

        def known(entry):
            return self.rows.get(place(entry), ('', 0))[1]

        if any(known(check) != check['ver'] for check in checks):
            found = [place(c) for c in checks if place(c) in self.rows]
            rows = [self._fields(each) for each in found]
            return 412, self._stamp({'rows': rows})
        self.ver += 1
        for write in writes:
            self._set(place(write), write['value'])
        for removal in removals:
            if self.rows.pop(place(removal), None):
                self.changes.append((self.ver, place(removal), None))
        self._wake()
        return 200, self._stamp({})

    def _get(self, query):
        wanted = query['table'], query.get('part', '')
        first, end = query.get('from', ''), query.get('target')
        places = sorted(
            place
            for place in self.rows
            if place[:2] == wanted
            and place[2] >= first
            and (end is None or place[2] < end)
        )
        limit = min(int(query.get('limit', PAGE_ROWS)), PAGE_ROWS)
        size, count = 0, 0
        for place in places[:limit]:
            size += len(self.rows[place][0]) + 100
            if count and size > MAX_TX_BYTES:
                break
            count += 1
        rows = [self._fields(place) for place in places[:count]]
        return 200, self._stamp({'rows': rows, 'hasMore': count < len(places)})

    async def _feed(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = [
                change
                for change in self.changes
                if change[0] > after and change[1][0] == query['table']
            ]
            left_s = ends_at - time.monotonic()
            if changed or left_s <= 0:
                break
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except TimeoutError:
                pass
        rows = []
        for ver, (table, part, key), value in changed:
            row = dict(table=table, part=part, key=key, ver=ver)
            if value is None:
                row['removed'] = True
            else:
                row['value'] = self.seen(table, value)
            rows.append(row)
        return 200, self._stamp({'rows': rows})


class Run:
    """One run of a task on a runner."""

    def __init__(self, task, number, spec, checkpoint, ends_at, how):
        self.task, self.number, self.spec = task, number, spec
        self.checkpoint, self.ends_at, self.how = checkpoint, ends_at, how
        self.stops_at = None


class Runner:
    """A runner of the platform: it starts whatever it is told to start."""

    def __init__(self, deployment, index, ip, port, control):
        self.deployment, self.record = deployment, deployment.record
        self.index, self.ip, self.control = index, ip, control
        self.server = HttpServer(ip, port, self._handle)
        self.life = 0
        self.is_down = True
        # Seconds of work and the end of a run, by its task's name.
        self.plan = lambda task: (0.3, 'done')
        self.on_start = lambda run: None
        self.service = 'service'
        self.room = {'cpu': 16_000, 'memMb': 64_000, 'gpu': 0}
        self.labels = ['a', f'r1-{index // 3}']

    async def begin(self):
        """Start a new life, with a new id."""
        self.life += 1
        self.id = f'i-{self.index:02d}{self.life:03d}'
        self.born = time.monotonic() - 1
        self.fence = 0
        self.hold_until = 0
        self.runs, self.ends, self.highest = {}, [], {}
        self.number = self.sequence = 0
        self.is_down = False
        await self.server.open()
        self.record.write('runner', self.index, 'begins as', self.id)

    def crash(self):
        """Go down at once: nothing is sent, and all runs are gone."""
        self.is_down = True
        self.server.close()
        for run in self.runs.values():
            self.deployment.ended(self, run, 'crash')
        self.record.write('runner', self.index, 'crashes with', len(self.runs))
        self.runs = {}

    async def beat(self):
        """Report about itself until the deployment ends."""
        while True:
            if not self.is_down:
                self.sequence += 1
                await call(
                    self.ip,
                    self.control,
                    'POST',
                    f'/-/instances/{self.id}/heartbeat',
                    {
                        'service': self.service,
                        'address': f'{self.ip}:{self.server.port}',
                        'zone': 'zone-a',
                        'version': 'v1',
                        'capacity': 8,
                        'state': 'ready',
                        'coldRemainingMs': 0,
                        'freeCapacity': self.room,
                        'labels': self.labels,
                        'clockMs': self.clock_ms(),
                        'sequence': self.sequence,
                    },
                    1.0,
                    local=self.ip,
                )
            life = self.life
            for _ in range(int(HEARTBEAT_S / 0.05)):
                await asyncio.sleep(0.05)
                if self.life != life and not self.is_down:
                    break

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000)

    def settle(self):
        """End the runs that are due, and all if the hold has expired."""
        now = time.monotonic()
        is_lapsed = self.hold_until and self.clock_ms() > self.hold_until
        for run in list(self.runs.values()):
            if is_lapsed:
                self._end(run, 'lapsed')
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(run, 'stopped')
            elif run.ends_at <= now:
                self._end(run, run.how)

    def _end(self, run, how):
        self.runs.pop(run.task)
        self.number += 1
        row = [self.number, run.task, run.number, how, run.checkpoint]
        self.ends.append(row)
        highest = self.highest.get(run.task, 0)
        self.highest[run.task] = max(highest, run.number)
        self.deployment.ended(self, run, how)

    async def _handle(self, method, path, headers, body):
        await asyncio.sleep(0.001)
        if headers.get('expected-instance', self.id) != self.id:
            return 421, {}
        self.settle()
        fields = json.loads(body)
        if fields.get('fencingToken', 0) < self.fence:
            return 409, {'clockMs': self.clock_ms(), 'reason': 'fence'}
        self.fence = fields.get('fencingToken', 0)
        if path == '/-/hold':
            return await self._hold(fields)
        if path == '/-/run-start':
            return self._start(fields)
        if path == '/-/run-stop':
            self._stop(fields['task'], fields['runId'])
        return 200, {'clockMs': self.clock_ms()}

    def _extend(self, until_ms):
        if until_ms is not None:
            most = self.clock_ms() + HOLD_MAX_MS
            self.hold_until = max(self.hold_until, min(until_ms, most))

    async def _hold(self, fields):
        self._extend(fields.get('untilMs'))
        seen = fields.get('lastSeen', 0)
        for end in self.ends:
            if end[0] <= seen:
                self.deployment.noted(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        life = self.life
        waits_until = time.monotonic() + fields.get('waitMs', 0) / 1000
        while not self.ends and time.monotonic() < waits_until:
            await asyncio.sleep(0.02)
            if self.life != life or self.is_down:
                return None
            self.settle()
        running = [
            [run.task, run.number, run.checkpoint, 50, 0]
            for run in self.runs.values()
        ]
        return 200, {
            'clockMs': self.clock_ms(),
            'running': running,
            'finished': self.ends[:ENDS_LISTED],
        }

    def _start(self, fields):
        task, number = fields['task'], fields['runId']
        self._extend(fields['untilMs'])
        known = self.runs.get(task)
        answer = {'clockMs': self.clock_ms()}
        if known is not None and known.number == number:
            return 200, answer
        if known is not None or number <= self.highest.get(task, 0):
            return 409, {**answer, 'reason': 'old'}
        if fields['untilMs'] <= self.clock_ms():
            return 409, {**answer, 'reason': 'late'}
        seconds, how = self.plan(task)
        run = Run(
            task,
            number,
            fields['spec'],
            fields.get('checkpoint', ''),
            time.monotonic() + seconds,
            how,
        )
        self.runs[task] = run
        self.deployment.started(self, run)
        self.on_start(run)
        return 200, answer

    def _stop(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S


class Deployment:
    """Entries and agents as processes, beside the stand-ins."""

    def __init__(self, folder, runners=4, entries=2):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.temporary = pathlib.Path(tempfile.mkdtemp())
        self.history = []
        self.processes = {}
        self._environments = {}
        self._commands = {}
        self._beats = []
        self.zone_of = {}
        self.entry_names = [f'edge-{n:02d}' for n in range(entries)]
        net = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        self.net = net
        self.ports = free_ports(f'{net}.1', 7)
        front, ready, control, inner, metrics, app, store = self.ports
        self.front_port = front
        self.store_ip = f'{net}.1'
        self.store_server = HttpServer(self.store_ip, store, self.store.handle)
        self.entry_ips = [f'{net}.{10 + n}' for n in range(entries)]
        self.runners = []
        for number, ip in enumerate(self.entry_ips):
            self._add(f'edge-{number:02d}', ip, 'edge', {})
        for number in range(runners):
            ip = f'{net}.{50 + number}'
            runner = Runner(self, number, ip, app, control)
            self.runners.append(runner)
            self._add(
                f'side-{number:02d}',
                ip,
                'side',
                {
                    'app': f'{ip}:{app}',
                    'service': 'service',
                },
            )

    def _add(self, name, ip, kind, more):
        front, ready, control, inner, metrics, app, store = self.ports
        bind = {'controlPlane': f'{ip}:{control}'}
        if kind == 'edge':
            bind |= {'frontend': f'{ip}:{front}', 'ready': f'{ip}:{ready}'}
        settings = {
            'nodeName': name,
            'role': 'entry' if kind == 'edge' else 'agent',
            'machineClass': kind,
            'serves': ['edge', 'control'] if kind == 'edge' else ['side'],
            'ip': ip,
            'zone': self.zone(name),
            'region': 'r',
            'zones': self.zones(),
            'bindAddresses': bind,
            'internalPorts': [inner, inner],
            'seeds': self.seeds(name, control),
            'bootstrap': True,
            'limits': {
                'cpuQuota': 0.43 if kind == 'edge' else 0.645,
                'cores': 1,
                'memoryMb': 300 if kind == 'edge' else 168,
                'maxFds': 4100,
            },
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'bounds': {
                'graceS': 6,
                'holdMaxMs': HOLD_MAX_MS,
                'stopTimeoutMs': 900,
            },
            'commandMode': 'invocation',
            'platform': {
                'address': f'{self.store_host(name)}:{store}',
                'form': 'table',
                'writesPerS': 800,
                'readsPerS': 2000,
                'rowBytes': ROW_BYTES,
            },
            'metricsPort': metrics,
            **more,
        }
        path = self.temporary / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        self._environments[name] = {
            'HYSSOPRING_NODE_FILE': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'PATH': os.environ.get('PATH', ''),
        }
        role = ['entry', 'deploy/scheduling.json']
        self._commands[name] = role if kind == 'edge' else ['agent']

    def zone(self, name):
        self.zone_of[name] = 'zone-a'
        return 'zone-a'

    def zones(self):
        return {'zone-a': 'r'}

    def seeds(self, name, control):
        return [f'{each}:{control}' for each in self.entry_ips]

    def store_host(self, name):
        return self.store_ip

    def owner(self):
        """Return the name of the entry that the owner row names."""
        for (table, _part, key), (value, _ver) in self.store.rows.items():
            if (table, key) == ('hs_owner', 'owner'):
                return json.loads(base64.b64decode(value)).get('entry_id')
        return None

    async def start(self, name):
        log = (self.temporary / f'{name}.log').open('ab')
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'hyssopring.platform',
            *self._commands[name],
            cwd=ROOT,
            env=self._environments[name],
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write('process', name, 'starts')

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)
        self.record.write('process', name, 'gets signal', int(number))

    async def open(self, routes):
        """Start everything; return once each entry answers for the queues."""
        configuration = {'version': 3, 'routes': routes, 'limits': {}}
        self.store.put('op', '', 'config', json.dumps(configuration))
        await self.open_servers()
        for runner in self.runners:
            await runner.begin()
            self._beats.append(asyncio.create_task(runner.beat()))
        for name in self._commands:
            await self.start(name)
        for number in range(len(self.entry_ips)):
            for _ in range(300):
                status, _ = await self.ask(number, 'GET', '')
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        return True

    async def open_servers(self):
        await self.store_server.open()

    def close_servers(self):
        self.store_server.close()

    async def ask(self, entry, method, path, body=None, timeout_s=3.0):
        """Send a client's request to an entry; record it with its answer."""
        answer = await call(
            self.entry_ips[entry],
            self.front_port,
            method,
            f'/q/{path}',
            body,
            timeout_s,
            headers={
                'Host': 'h.example',
                'Deadline-Ms': int(timeout_s * 1000),
            },
        )
        self.record.write('client', method, path, 'edge', entry, '->', *answer)
        return answer

    async def submit(self, job_id, body):
        """Hand a job in, again after no answer; return the last status."""
        for attempt in range(5):
            entry = attempt % len(self.entry_ips)
            status, _ = await self.ask(entry, 'POST', job_id, body)
            if status not in {0, 502, 504, 503, 429}:
                return status
            await asyncio.sleep(0.3)
        return status

    def started(self, runner, run):
        self.history.append(
            (
                time.monotonic(),
                'start',
                runner.index,
                runner.id,
                run.task,
                run.number,
            )
        )
        self.record.write('start', run.task, run.number, 'on', runner.id)

    def ended(self, runner, run, how):
        self.history.append(
            (
                time.monotonic(),
                how,
                runner.index,
                runner.id,
                run.task,
                run.number,
            )
        )
        self.record.write('end', run.task, run.number, how, 'on', runner.id)

    def noted(self, runner, end):
        self.record.write('noted', *end[:4], 'on', runner.id)

    async def close(self):
        """End all processes that were started, and forget the folder."""
        for beat in self._beats:
            beat.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.close_servers()
        for runner in self.runners:
            runner.server.close()
        if os.environ.get('KEEP'):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class LinkProxy:
    """Passes on connections to an entry, but for those that are cut.

    Whose connection it is stands in its first message, the greeting.
    """

    def __init__(self, host, target, port, names):
        self.host, self.target, self.port = host, target, port
        self.names = names
        self.cut = set()
        self._writers = set()
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        tasks = []
        try:
            first = await reader.read(65_536)
            name = next((n for n in self.names if n.encode() in first), '')
            if name in self.cut:
                await asyncio.sleep(3600)
            onward_reader, onward = await asyncio.open_connection(
                self.target, self.port
            )
            self._writers.add(onward)
            onward.write(first)
            tasks = [
                asyncio.create_task(self._pass(reader, onward, name)),
                asyncio.create_task(self._pass(onward_reader, writer, name)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            onward.transport.abort()
            self._writers.discard(onward)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pass(self, reader, writer, name):
        while part := await reader.read(65_536):
            while name in self.cut:
                await asyncio.sleep(0.05)
            writer.write(part)
            await writer.drain()


class Zones(Deployment):
    """A deployment of several zones, with links that can be cut."""

    def __init__(self, folder, runners, entries):
        self._zone_count = entries
        super().__init__(folder, runners=runners, entries=entries)
        inner, store = self.ports[3], self.ports[6]
        names = [*self.entry_names, *(f'side-{n:02d}' for n in range(runners))]
        self.links = {}
        for number, name in enumerate(self.entry_names):
            ip = self.entry_ips[number]
            host = self._proxy_host(name)
            self.links[name] = LinkProxy(host, ip, inner, names)
            self.store.seen_as[f'{ip}:{inner}'] = f'{host}:{inner}'
        self._silent = set()
        self._store_servers = [
            HttpServer(self.store_host(name), store, self._store_of(name))
            for name in names
        ]

    def _store_of(self, name):
        async def handle(method, path, headers, body):
            answer = None
            if name not in self._silent:
                answer = await self.store.handle(method, path, headers, body)
            if name in self._silent:
                await asyncio.sleep(3600)
            return answer

        return handle

    def _proxy_host(self, name):
        return f'{self.net}.{200 + int(name[-2:])}'

    def zone(self, name):
        self.zone_of[name] = f'zone-{int(name[-2:]) % self._zone_count}'
        return self.zone_of[name]

    def zones(self):
        return {f'zone-{n}': 'r' for n in range(self._zone_count)}

    def seeds(self, name, control):
        return [
            f'{self._proxy_host(each)}:{control}'
            for each in self.entry_names
            if each != name
        ]

    def store_host(self, name):
        offset = 100 if name.startswith('edge') else 150
        return f'{self.net}.{offset + int(name[-2:])}'

    async def open_servers(self):
        for server in (*self._store_servers, *self.links.values()):
            await server.open()

    def close_servers(self):
        for server in (*self._store_servers, *self.links.values()):
            server.close()

    def cut_near(self, name):
        """Cut an entry from the store and the machines of other zones."""
        self._silent.add(name)
        zone = self.zone_of[name]
        far = {each for each in self.zone_of if self.zone_of[each] != zone}
        self.links[name].cut = far
        for each in self.entry_names:
            if each != name:
                self.links[each].cut = {name}
        self.record.write('cut begins')

    def end_cuts(self):
        self._silent.clear()
        for link in self.links.values():
            link.cut = set()
        self.record.write('cut ends')


def free_ports(host, count):
    """Return ports that nothing uses on the host just now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


ROUTE = {
    'name': 'q',
    'host': 'h.example',
    'pathPrefix': '/q/',
    'type': 'non_idempotent',
    'timeoutMs': 3000,
    'targetLatencyMs': 1000,
    'priority': 0,
    'service': 'service',
    'maxAttempts': 3,
    'slackFactor': 2.0,
}


def run_case(folder, play, limit_s=115, kind=Deployment, **size):
    """Play a case and exit with its result."""

    async def main():
        deployment = kind(pathlib.Path(folder), **size)
        deployment.record.write('trouble' if HAS_TROUBLE else 'no trouble')
        try:
            async with asyncio.timeout(limit_s):
                return await play(deployment)
        except TimeoutError:
            deployment.record.say('the case took too long')
            return NOT_RUN
        except Exception:
            deployment.record.say(traceback.format_exc())
            return NOT_RUN
        finally:
            await deployment.close()

    try:
        outcome = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        outcome = NOT_RUN
    sys.exit(outcome)
