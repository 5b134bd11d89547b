"""Stand-ins for the cases of this review: the platform's store, engines, a client, and the gateway as
a process of its own. Everything listens on loopback addresses and on free ports."""
import asyncio
import base64
import ctypes
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
HOST = 'shop.example'
KEY = 'key-of-workshop'
TENANT = 'workshop'
PR_SET_PDEATHSIG = 1
# The bounds of the sheet of Atlas Plume (SYSTEM.md), under the names of deploy/gateway.json.in.
BOUNDS = {'change_applied_ms': 2000, 'config_applied_ms': 2000, 'evacuated_ms': 5000,
          'rolled_back_ms': 5000, 'revocation_ms': 5000, 'keys_fail_closed': True,
          'stop_timeout_s': 8, 'retry_window_s': 10, 'retry_ratio': 0.9, 'retry_slack': 56,
          'cold_overshoot': 1.5, 'cold_slack': 5, 'rollout_share': 0.15, 'rollout_slack': 30,
          'session_timeout_s': 5, 'store_writes_per_s': 400, 'store_reads_per_s': 2000}
PREFIX = '/dragonflywharf/'
# ContactMs of that sheet, and a little more: from then on machines that have started are in touch.
CONTACT_S = 3.2


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')
        self.start = time.monotonic()

    def add(self, *words):
        line = '%8.3f ' % (time.monotonic() - self.start) + ' '.join(str(w) for w in words)
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=''):
        return self.fields.get(name.lower(), default)


class Closed(Exception):
    """The peer has closed the connection."""


async def read_head(reader):
    """Reads a head strictly. @raise Closed at the end of the connection, ValueError if it is none"""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError('bytes that are no head: %r' % error.partial[:80])
        raise Closed()
    except OSError:
        raise Closed()
    lines = raw.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if not colon:
            raise ValueError('a line without a field: %r' % line[:80])
        fields[name.lower()] = value.strip()
    return Head(lines[0], fields)


async def read_chunks(reader):
    """Reads a chunked body to its last chunk."""
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def read_body(reader, head):
    if head.get('transfer-encoding').lower() == 'chunked':
        return await read_chunks(reader)
    return await reader.readexactly(int(head.get('content-length', '0') or 0))


def write_answer(writer, status, body=b'', fields=(), with_body=True):
    lines = ['HTTP/1.1 %d %s' % (status, 'OK' if status < 300 else 'Status')]
    lines += ['%s: %s' % field for field in fields]
    lines += ['Content-Length: %d' % len(body), '', '']
    writer.write('\r\n'.join(lines).encode() + (body if with_body else b''))


class Server:
    """An HTTP server; handle() answers one request."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self.handle(reader, writer, head, body)
                await writer.drain()
        except (Closed, ValueError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store, as PROTOCOL.md has it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = itertools.count(1)
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]['CreateRevision'] if key in self.items else self.revision
        item = {'Key': key, 'Value': base64.b64encode(value).decode(), 'Revision': self.revision,
                'CreateRevision': created, 'Lease': lease}
        self.items[key] = item
        self.note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({'Key': key, 'Revision': self.revision, 'Tombstone': True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['Value'])) if item else None

    async def handle(self, reader, writer, head, body):
        method, target, _ = head.first.split(' ')
        path, _, query = target.partition('?')
        params = dict(urllib.parse.parse_qsl(query))
        name = path[len(PREFIX):].split('/')[0]
        data = json.loads(body) if body else {}
        status, answer = await getattr(self, 'on_' + name.replace('-', '_'))(params, data)
        write_answer(writer, status, json.dumps(answer).encode(),
                     [('Content-Type', 'application/json')])

    async def on_kv_key(self, params, _data):
        item = self.items.get(params['Key'])
        return (200, dict(item, StoreRevision=self.revision)) if item else (404, {})

    async def on_kv_range(self, params, _data):
        prefix = params.get('PathPrefix', '')
        after = params.get('After', '')
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {'Items': [self.items[k] for k in keys[:500]], 'HasMore': len(keys) > 500,
                     'StoreRevision': self.revision}

    async def on_kv_watch(self, params, _data):
        end = time.monotonic() + int(params['WaitMs']) / 1000
        prefix = params.get('PathPrefix', '')
        after = int(params['After'])
        while True:
            events = [e for e in self.history
                      if e['Revision'] > after and e['Key'].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def on_kv_txn(self, _params, data):
        rows = [row if isinstance(row, dict) else dict(zip(('Key', 'Revision'), row))
                for row in data.get('ExpectedRevision', [])]
        now = [self.items.get(row['Key']) for row in rows]
        if any((item['Revision'] if item else 0) != row['Revision']
               for item, row in zip(now, rows)):
            return 412, {'Items': [item or {'Key': row['Key'], 'Revision': 0, 'Tombstone': True}
                                   for item, row in zip(now, rows)]}
        for put in data.get('Puts', []):
            self.record.add('store: put', put['Key'], base64.b64decode(put['Value'])[:200])
            self.put(put['Key'], base64.b64decode(put['Value']), put.get('Lease', 0))
        for key in data.get('Remove', []):
            self.remove(key)
        return 200, {'Revision': self.revision}

    async def on_kv_lease(self, _params, data):
        return 200, {'Lease': next(self.leases), 'TtlMs': data['TtlMs']}

    async def on_kv_keep(self, _params, _data):
        return 200, {'TtlMs': 60000}


class Engine(Server):
    """An engine of a service. It keeps what it ran in runs: pairs of attempt id and path."""

    def __init__(self, record, name, service='app', version='v1', zone='a', slots=64):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.running = 0

    def entry(self, state='ready'):
        self.sequence += 1
        return {'Service': self.service, 'Address': '127.0.0.1:%d' % self.port,
                'Zone': self.zone, 'Version': self.version, 'Slots': self.slots, 'State': state,
                'ColdRemainingMs': 0, 'Sequence': self.sequence, 'born': self.born}

    def register(self, store, state='ready'):
        store.put('servers/' + self.name, self.entry(state))

    def fields(self, head, seal=True):
        fields = [('Attempt-Id', head.get('attempt-id')),
                  ('Server-Load', '%d,0,%d' % (self.running, self.slots))]
        return fields + ([('Response-Seal', 'seal-of-' + self.name)] if seal else [])

    def is_full(self):
        return False

    def reject(self, writer, head, status):
        write_answer(writer, status, b'', self.fields(head, False) + [('Not-Executed', '1')])

    async def handle(self, reader, writer, head, body):
        if head.get('expect-instance', self.name) != self.name:
            self.reject(writer, head, 421)
            return
        if self.is_full():
            self.record.add('engine', self.name, 'is full, rejects', head.get('attempt-id'))
            self.reject(writer, head, 503)
            return
        self.runs.append((head.get('attempt-id'), head.first))
        self.record.add('engine', self.name, 'runs', head.get('attempt-id'), head.first)
        self.running += 1
        try:
            await self.run(writer, head, body)
        except OSError:
            self.record.add('engine', self.name, 'has lost the channel of', head.get('attempt-id'))
            raise
        finally:
            self.running -= 1

    async def run(self, writer, head, _body):
        text = b'' if head.first.startswith('HEAD') else ('from ' + self.name).encode()
        write_answer(writer, 200, text, self.fields(head))


class StreamEngine(Engine):
    """An engine whose answers are streams of events with increasing ids."""
    EVENTS = 20
    EVENT_S = 0.1

    async def run(self, writer, head, _body):
        lines = ['HTTP/1.1 200 OK'] + ['%s: %s' % field for field in self.fields(head)]
        lines += ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(head.get('last-event-id', '0') or 0) + 1
        for number in range(first, self.EVENTS + 1):
            await self.before_event(head, number)
            event = b'id: %d\ndata: %s %d\n\n' % (number, self.name.encode(), number)
            writer.write(b'%x\r\n' % len(event) + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record.add('engine', self.name, 'has completed', head.get('attempt-id'))

    async def before_event(self, _head, number):
        if number > 1:
            await asyncio.sleep(self.EVENT_S)


def free_ports(count, ip='127.0.0.1'):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(name, kind, service='app', **more):
    return dict({'Name': name, 'Host': HOST, 'PathPrefix': '/%s/' % name, 'Kind': kind,
                 'Service': service, 'TimeoutMs': 10000, 'TargetLatencyMs': 500, 'Priority': 1,
                 'MaxAttempts': 1 if kind == 'unsafe' else 3, 'Public': False}, **more)


def configuration(version, routes, services=('app',), keys=(KEY,)):
    return {'Version': version, 'Routes': routes,
            'Services': [{'Name': s, 'HealthPath': '/health'} for s in services],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 1048576,
                       'HeaderTimeoutMs': 5000, 'IdleTimeoutMs': 15000},
            'Tenants': [{'Name': TENANT, 'ApiKeys': list(keys)}]}


def end_with_parent():
    """In a new process: ends it when the process of the case ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """The gateway, started with the run line of the deploy file and settings of its own."""

    def __init__(self, record, folder, name, store_port, number, peer_port, seeds, zone='a'):
        self.record = record
        self.name = name
        self.process = None
        self.path = os.path.join(folder, name + '.json')
        self.log = os.path.join(folder, name + '.log')
        self.settings = dict(BOUNDS, instance=name, failure_domain=zone, seeds=seeds,
                             store='127.0.0.1:%d' % store_port,
                             peer_address='127.0.7.%d:%d' % (number, peer_port))
        self.choose_ports()

    def choose_ports(self):
        self.port, self.ready_port, self.metrics_port = free_ports(3)
        at = '127.0.0.1:%d'
        self.settings.update(caller_address=at % self.port,
                             readiness_address=at % self.ready_port,
                             metrics_address=at % self.metrics_port)
        with open(self.path, 'w') as file:
            json.dump(self.settings, file)

    def start(self):
        program = os.path.join(ROOT, 'target', 'wharf-gateway')
        log = open(self.log, 'a')
        self.process = subprocess.Popen([program, '--settings', self.path], stdout=log,
                                        stderr=log, cwd=ROOT, preexec_fn=end_with_parent)
        log.close()
        self.record.add('started', self.name, 'as process', self.process.pid)

    def send(self, number):
        self.record.add('signal', signal.Signals(number).name, 'to', self.name)
        self.process.send_signal(number)

    async def ended(self, timeout_s):
        end = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def is_ready(self):
        try:
            answer = await call(self.ready_port, 'GET', PREFIX + 'ready', {}, timeout_s=1)
        except (Closed, OSError, ValueError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def metric(self, name):
        answer = await call(self.metrics_port, 'GET', '/metrics', {}, timeout_s=2)
        for line in answer.body.decode().split('\n'):
            if line.startswith('dragonflywharf_' + name + ' '):
                return float(line.split()[-1])
        return None

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self, status, head, body):
        self.status = status
        self.head = head
        self.body = body


class Channel:
    """A client's connection, kept for several requests."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection('127.0.0.1', self.port,
                                                                 limit=1 << 24)
        open_channels.add(self)
        return self

    def send(self, method, path, fields, body=b''):
        lines = ['%s %s HTTP/1.1' % (method, path), 'Host: ' + HOST]
        lines += ['%s: %s' % item for item in fields.items()]
        if body or method == 'POST':
            lines.append('Content-Length: %d' % len(body))
        self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)

    async def read_answer(self, method):
        """Reads an answer strictly. @raise ValueError for bytes that are none"""
        head = await read_head(self.reader)
        words = head.first.split(' ')
        if words[0] != 'HTTP/1.1' or len(words) < 2 or not words[1].isdigit():
            raise ValueError('bytes that are no answer: %r' % head.first[:80])
        status = int(words[1])
        if method == 'HEAD' or status in (204, 304):
            return Answer(status, head, b'')
        return Answer(status, head, await read_body(self.reader, head))

    async def call(self, method, path, fields, body=b'', timeout_s=15):
        self.send(method, path, fields, body)
        return await asyncio.wait_for(self.read_answer(method), timeout_s)

    def close(self):
        if self.writer:
            self.writer.close()
        open_channels.discard(self)


open_channels = set()
attempts = itertools.count(1)


def request_fields(deadline_ms=5000, **more):
    fields = {'Attempt-Id': 'a%06d' % next(attempts), 'Deadline-Ms': str(deadline_ms),
              'Credential': KEY}
    fields.update({name.replace('_', '-'): value for name, value in more.items()})
    return fields


async def call(port, method, path, fields, body=b'', timeout_s=15):
    channel = await Channel(port).open()
    try:
        return await channel.call(method, path, fields, body, timeout_s)
    finally:
        channel.close()


class Bed:
    """A small deployment: a store, gateways that know each other, and engines."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.temp = tempfile.TemporaryDirectory(prefix='review-')
        self.store = Store(self.record)
        self.gateways = []
        self.servers = []

    async def start(self, gateways, config, engines):
        await self.store.start()
        self.servers.append(self.store)
        self.store.put('op/config', config)
        for engine in engines:
            await self.add_engine(engine)
        peer_port = free_ports(1, '127.0.7.1')[0]
        seeds = ['127.0.7.%d:%d' % (n, peer_port) for n in range(1, min(gateways, 3) + 1)]
        for number in range(1, gateways + 1):
            gateway = Gateway(self.record, self.temp.name, 'front-%d' % number, self.store.port,
                              number, peer_port, seeds)
            self.gateways.append(gateway)
            await self.start_gateway(gateway)
        await asyncio.sleep(CONTACT_S)
        self.record.add('the machines are in touch')

    async def start_gateway(self, gateway):
        """Tries other ports if another process has taken one of them."""
        for _ in range(4):
            gateway.start()
            try:
                return await self.wait_ready(gateway)
            except RuntimeError:
                gateway.kill()
                gateway.choose_ports()
        return await self.wait_ready(gateway)

    async def add_engine(self, engine):
        await engine.start()
        self.servers.append(engine)
        engine.register(self.store)

    async def wait_ready(self, gateway, timeout_s=10):
        end = time.monotonic() + timeout_s
        while not await gateway.is_ready():
            if time.monotonic() > end or gateway.process.poll() is not None:
                raise RuntimeError(gateway.name + " didn't get ready")
            await asyncio.sleep(0.05)
        self.record.add(gateway.name, 'is ready')

    async def wait_members(self, count, timeout_s=10):
        end = time.monotonic() + timeout_s
        while any([await g.metric('members') != count for g in self.gateways]):
            if time.monotonic() > end:
                raise RuntimeError("the gateways didn't find each other")
            await asyncio.sleep(0.1)

    async def stop(self):
        for gateway in self.gateways:
            gateway.kill()
        for server in self.servers:
            server.stop()
        for channel in list(open_channels):
            channel.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)
        self.temp.cleanup()


def main(folder, play):
    """Plays a case. It exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def run():
        bed = Bed(folder)
        try:
            broken = await asyncio.wait_for(play(bed), 110)
            bed.record.say('the rule was broken' if broken else 'the rule held')
            return 1 if broken else 0
        except Exception as error:
            bed.record.say('the case could not run:', type(error).__name__, error)
            return 2
        finally:
            await bed.stop()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
