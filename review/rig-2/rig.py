"""Stand-ins for the platform's store, the backend servers and the clients, and a launcher of nodes.

Everything runs on loopback addresses and the real clock. One event loop runs the stand-ins; the
nodes are separate processes, started with the run command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "retryRatio": 0.2, "retrySlack": 198, "retryWindowSeconds": 10, "keyRevocationMillis": 5000,
    "processGraceSeconds": 8, "entryLifeSeconds": 5, "serverDrainMillis": 2000,
    "configPropagationMillis": 2000, "stableWindowMillis": 3000, "processorShare": 0.75,
    "linkMegabits": 1000.0,
}
ZONES = ["kafr-a", "kafr-b", "kafr-c"]
HEARTBEAT_S = 1.2
STALL_S = 2.0
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Record:
    """Writes what was sent, answered and run, with the time since the start of the run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    @property
    def now(self):
        return time.monotonic() - self.start


class Headers(list):
    def get(self, name, default=None):
        for key, value in self:
            if key.lower() == name.lower():
                return value
        return default


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = urlsplit(target).path
        self.query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        self.id = headers.get("X-Request-Id")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    return first, Headers(tuple(part.strip() for part in line.split(":", 1)) for line in lines)


async def read_body(reader, headers):
    if (headers.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("Content-Length") or 0))


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 202: "Accepted", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{k}: {v}" for k, v in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Listener:
    """An HTTP server; [handle] gets each request and the connection's streams."""

    def __init__(self, address="127.0.0.1"):
        self.host, self.server, self.port = address, None, None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.handle(await read_request(reader), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        super().__init__()
        self.record, self.revision, self.kinds, self.history = record, 100, {}, []
        self.changed = asyncio.Condition()
        self.down = False
        self.calls = 0

    async def put(self, kind, name, specification):
        """Writes as the operator or a server does; returns the object."""
        items = self.kinds.setdefault(kind, {})
        known = items.get(name)
        if known and known["specification"] == specification:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        items[name] = {
            "metadata": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deleting": False},
            "specification": specification, "status": None,
        }
        await self._publish(kind, items[name], False)
        return items[name]

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            gone = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            await self._publish(kind, gone, True)

    async def _publish(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"deleted": deleted, "object": item}))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, reader, writer):
        self.calls += 1
        if self.down:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        status, body = await self._answer(request)
        if self.down:
            await asyncio.sleep(3600)
        content = b"" if body is None else json.dumps(body).encode()
        writer.write(response(status, [("Content-Type", "application/json")], content))

    async def _answer(self, request):
        parts = request.path.strip("/").split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        items = self.kinds.setdefault(kind, {})
        sent = json.loads(request.body) if request.body else None
        if request.method == "GET" and name is None and "watch" in request.query:
            return await self._watch(kind, request)
        if request.method == "GET" and name is None:
            after = request.query.get("after", "")
            found = [items[key] for key in sorted(items) if key > after]
            return 200, {"items": found[:500], "hasMore": len(found) > 500,
                         "storeRevision": self.revision}
        if request.method == "GET":
            return (200, items[name]) if name in items else (404, None)
        if request.method == "POST":
            name = sent["metadata"]["name"]
            if name in items:
                return 409, items[name]
            return 200, await self.put(kind, name, sent["specification"])
        known = items.get(name)
        if known is None:
            return 404, None
        expected = (sent or {}).get("metadata", {}).get("revision") or request.query.get("revision")
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        return 200, await self.put(kind, name, sent["specification"])

    async def _watch(self, kind, request):
        after, wait = int(request.query["watch"]), int(request.query.get("waitMs", 0)) / 1000
        until = time.monotonic() + min(wait, 30)
        while True:
            events = [e for rev, k, e in self.history if k == kind and rev > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server(Listener):
    """A backend server. [misbehave], if set, may take over a request by returning True."""

    def __init__(self, rig, service, name, zone, slots, card=None):
        super().__init__()
        self.rig, self.service, self.id, self.zone, self.slots = rig, service, name, zone, slots
        self.card, self.born, self.state, self.layers = card, int(time.time() * 1000), "ready", None
        self.sequence, self.running, self.ran, self.misbehave = 0, 0, [], None
        self.arrived = []
        self.work = 0.02
        self.alive, self.cold_until, self.load_s = True, 0.0, 0.3
        self.pause_until, self.short_of_memory = 0.0, False

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.sequence, "born": self.born}
        if self.card:
            entry["kind"] = self.card
            entry["models"] = [{"name": "daka51", "version": 1, "adapters": []}]
            first, last = self.layers or (0, 0)
            entry["layers"] = {"from": first, "to": last, "version": 1}
        return entry

    async def register(self):
        await self.rig.store.put("servers", self.id, self.entry())

    async def lapse(self):
        await self.rig.store.remove("servers", self.id)

    async def handle(self, request, reader, writer):
        control = request.path.startswith("/-/")
        if not control:
            self.arrived.append((self.rig.record.now, request.id))
        if self.misbehave and await self.misbehave(self, request, reader, writer):
            return
        expected = request.headers.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(response(421, [("X-Instance", self.id)]))
        elif request.path == "/-/report":
            writer.write(response(200, [("Content-Type", "application/json")], self.report()))
        elif request.path == "/-/order":
            await self._order(json.loads(request.body), writer)
        elif self.card:
            await self._stream(request, writer)
        else:
            await self._plain(request, writer)

    def report(self):
        first, last = self.layers or (0, 0)
        return json.dumps({
            "stage": "both", "models": [{"name": "daka51", "version": 1, "adapters": []}],
            "busy": False, "sequence": self.sequence, "waiting": 0, "running": self.running,
            "cacheUsed": 0, "cacheTotal": 100000, "handles": 0, "born": self.born,
            "layers": {"from": first, "to": last, "version": 1}, "kind": self.card, "stalled": [],
        }).encode()

    async def _order(self, order, writer):
        if order.get("precondition") not in (None, self.sequence):
            return writer.write(response(409))
        self.sequence += 1
        writer.write(response(202))

        self.rig.record(f"order server={self.id} layers={order['from']}-{order['to']}")

        async def load():
            await asyncio.sleep(self.load_s)
            self.layers = (order["from"], order["to"])
            self.cold_until = self.rig.record.now + self.rig.cold_s
            await self.register()
        self.rig.spawn(load())

    async def crash(self):
        """Ends at once; the store removes the entry after three heartbeats of silence."""
        self.rig.record(f"server {self.id} at {self.address} crashes, running={self.running}")
        self.alive = False
        await self.close()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.lapse()
        self.rig.spawn(expire())

    async def start_again(self, name):
        """The next incarnation: another identifier, the same address, no layers."""
        server = Server(self.rig, self.service, name, self.zone, self.slots, self.card)
        server.load_s = self.load_s
        await server.listen(self.port)
        await server.register()
        self.rig.record(f"server {name} starts, empty, at {server.address}")
        self.rig.models.append(server)

    def faulty_hop(self, request):
        """The address of a server of the request's path that cannot run its part, or None."""
        hops = request.headers.get("X-Hop-Count") or f"{self.address}=0-{self.rig.layers}"
        holders = {s.address: s for s in self.rig.models if s.alive}
        for address, first, last in re.findall(r"([\d.:]+)=(\d+)-(\d+)", hops):
            held = holders[address].layers if address in holders else None
            if not held or not held[0] <= int(first) < int(last) <= held[1]:
                return address
        return None

    def answer_headers(self, request):
        return [("X-Request-Id", request.id), ("X-Response-Seal", f"seal.{request.id}.{self.id}"),
                ("X-Server-Load", f"{self.running},0,{self.slots}")]

    def ran_request(self, request):
        self.ran.append((self.rig.record.now, request.id))
        self.rig.record(f"run server={self.id} request={request.id} {request.method} "
                        f"{request.target}")

    async def _plain(self, request, writer):
        self.running += 1
        try:
            self.ran_request(request)
            await asyncio.sleep(self.work)
            writer.write(response(200, self.answer_headers(request), f"done {request.id}".encode()))
        finally:
            self.running -= 1

    async def _stream(self, request, writer):
        if self.short_of_memory:
            writer.write(response(503, [("X-Request-Id", request.id), ("X-Not-Executed", "1"),
                                        ("X-Server-Load", f"{self.running},0,{self.slots}")]))
            self.rig.record(f"server {self.id} is short of memory, refuses {request.id}")
            return
        faulty = self.faulty_hop(request)
        if faulty:
            writer.write(response(503, [("X-Request-Id", request.id), ("X-Not-Executed", "1"),
                                        ("At-Server", faulty)]))
            return
        self.running += 1
        try:
            cold = self.rig.record.now < self.cold_until
            await asyncio.sleep(self.rig.cold_first_s if cold else self.rig.first_token_s(request))
            if writer.is_closing() or not self.alive:
                return
            await self.rig.begins(self, request)
            if not self.alive:
                return
            self.ran_request(request)
            head = self.answer_headers(request) + [("Content-Type", "text/event-stream"),
                                                   ("Transfer-Encoding", "chunked")]
            lines = "".join(f"{k}: {v}\r\n" for k, v in head)
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
            first = int(request.headers.get("Last-Event-Id") or 0) + 1
            for number in range(first, self.rig.events + 1):
                await asyncio.sleep(self.rig.event_gap)
                while self.rig.record.now < self.pause_until:
                    await asyncio.sleep(0.01)
                if self.faulty_hop(request):
                    await asyncio.sleep(STALL_S)
                    writer.transport.abort()
                    return
                event = f"id: {number}\ndata: {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await self.rig.wrote(self, request, number - first + 1)
                if not self.alive:
                    return
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Client:
    """Sends requests to one node, each on a new connection unless [keep] is set."""

    def __init__(self, rig, host, port):
        self.rig, self.host, self.port = rig, host, port

    async def send(self, method, target, deadline_ms, body=b"", key=KEY, headers=(), note=""):
        request_id = f"{random.getrandbits(64):016x}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
                 f"X-Deadline-Milliseconds: {deadline_ms}"]
        if key:
            lines.append(f"Authorization: Token {key}")
        lines += [f"{k}: {v}" for k, v in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sent = self.rig.record.now
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port, limit=1 << 20), 1)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = await asyncio.wait_for(self._read(reader), deadline_ms / 1000 + 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer = Answer(None, Headers(), repr(error).encode(), False)
        finally:
            if writer:
                writer.transport.abort()
        answer.id, answer.sent, answer.ended = request_id, sent, self.rig.record.now
        self.rig.record(
            f"client {note} request={request_id} {method} {target} sent={sent:.3f} "
            f"status={answer.status} complete={answer.complete} body={answer.body[:80]!r}")
        return answer

    async def _read(self, reader):
        first, headers = await read_head(reader)
        status = int(first.split(" ")[1])
        try:
            return Answer(status, headers, await read_body(reader, headers), True)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return Answer(status, headers, b"", False)


class Node:
    def __init__(self, rig, index):
        self.rig, self.name = rig, f"front-{ZONES[index % 3]}-{index // 3 + 1}"
        self.zone = ZONES[index % 3]
        self.host = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{index + 2}"
        self.ports = random.sample(range(20000, 30000), 5)
        self.process, self.starts = None, 0

    def start(self):
        self.starts += 1
        callers, ready, directory, first, _ = self.ports
        settings = {
            "instance": self.name, "dataCentre": self.zone, "callers": f"{self.host}:{callers}",
            "readiness": f"{self.host}:{ready}", "directory": f"{self.host}:{directory}",
            "address": self.host, "peerPorts": [first, first + 15],
            "store": self.rig.store.address, **BOUNDS,
        }
        path = Path(self.rig.temp) / f"{self.name}.yaml"
        path.write_text("".join(f"{k}: {json.dumps(v)}\n" for k, v in settings.items()))
        system = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', system, re.MULTILINE).group(1).split()
        log = open(Path(self.rig.temp) / f"{self.name}-{self.starts}.log", "w")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG")
                       if k in os.environ}
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log,
            env={**environment, "BRAMLEYTRESTLE_BOOT": str(path)})
        self.rig.record(f"node {self.name} started pid={self.process.pid}")

    def signal(self, number):
        self.rig.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def client(self):
        return Client(self.rig, self.host, self.ports[0])

    async def ready(self):
        client = Client(self.rig, self.host, self.ports[1])
        try:
            reader, writer = await asyncio.open_connection(client.host, client.port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(client._read(reader), 1)
            writer.transport.abort()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log(self):
        return "".join(p.read_text(errors="replace") for p in
                       sorted(Path(self.rig.temp).glob(f"{self.name}-*.log")))


class Rig:
    """One small deployment: a store, servers and nodes."""

    def __init__(self, folder, nodes=3, plain=3, models=0, events=40, event_gap=0.02, layers=8,
                 card_mb=21600.0, model_zones=ZONES):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.tasks, self.events, self.event_gap, self.version = set(), events, event_gap, 1
        self.layers, self.card_mb = layers, card_mb
        self.first_s, self.cold_first_s, self.cold_s = 0.06, 0.06, 0.0
        self.store = Store(self.record)
        self.plain = [Server(self, "rota", f"i-rota{i}", ZONES[i % 3], 6) for i in range(plain)]
        self.models = [Server(self, "llm", f"i-llm{i}", model_zones[i % len(model_zones)], 134, "l4")
                       for i in range(models)]
        self.nodes = [Node(self, i) for i in range(nodes)]

    def first_token_s(self, request):
        """Time to the first token of an answer on a warm server."""
        return self.first_s

    async def begins(self, server, request):
        """Called when [server] begins to write the answer to [request]."""

    async def wrote(self, server, request, count):
        """Called when [server] has written [count] events of its answer to [request]."""

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def routes(self):
        return [
            {"name": "look", "host": HOST, "pathPrefix": "/look/", "kind": "safe",
             "timeoutMs": 1500, "targetLatencyMs": 121, "priority": 1, "service": "rota",
             "attempts": 2, "publicAccess": False},
            {"name": "book", "host": HOST, "pathPrefix": "/book/", "kind": "unsafe",
             "timeoutMs": 1500, "targetLatencyMs": 121, "priority": 0, "service": "rota",
             "attempts": 2, "publicAccess": False},
            {"name": "draft", "host": HOST, "pathPrefix": "/draft/", "kind": "streaming",
             "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1, "service": "llm",
             "attempts": 2, "publicAccess": False, "sessionAffinity": True, "resumable": True,
             "gapTargetMs": 200},
        ]

    def config(self):
        engine = {
            "slots": 134, "cacheTokens": 69791, "kvTokenBytes": 845373, "linkMbps": 480000.0,
            "stride": 2, "models": [{"name": "daka51", "pace": 1.0, "loadS": 1.0, "warmS": 0.1}],
            "step_ms": 0.85, "usual": {"prompt": 772, "answer": 172}, "layers": self.layers,
            "layerMb": 1750.0, "activationBytes": 42268, "crossZoneMbps": 9000.0,
            "kinds": [{"name": "l4", "sizeMb": self.card_mb, "pace": 16.0, "readFactor": 8.2}],
        }
        services = [{"name": "rota", "healthPath": "/health", "maxConnections": 49},
                    {"name": "llm", "healthPath": "/health", "maxConnections": 988,
                     "engine": engine}]
        return {
            "version": self.version, "routes": self.routes(), "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "hule930", "credentials": [KEY]}],
        }

    async def apply_config(self):
        """Writes the configuration as the operator does; returns the time of acknowledgement."""
        await self.store.put("config", "main", self.config())
        self.record(f"operator config version={self.version} acknowledged")
        return self.record.now

    async def start(self):
        await self.store.listen()
        for server in self.plain + self.models:
            await server.listen()
            await server.register()
        await self.apply_config()
        for node in self.nodes:
            node.start()
        for _ in range(150):
            await asyncio.sleep(0.2)
            if all([await node.ready() for node in self.nodes]) and \
                    all(server.layers for server in self.models):
                self.record("all nodes ready")
                return
        raise RuntimeError("the nodes did not get ready")

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process:
                node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def main(rig_of, scenario, limit_s=115):
    """Runs [scenario] on a rig; exits 1 if it returns a broken rule, 0 if None, 2 if it failed."""
    async def run():
        rig = rig_of()
        code = 2
        try:
            await rig.start()
            broken = await asyncio.wait_for(scenario(rig), limit_s - rig.record.now)
            rig.record(f"result: {broken or 'the rule held'}")
            print(broken or "the rule held")
            code = 1 if broken else 0
        except Exception as error:  # The case could not run.
            rig.record(f"result: could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            await rig.stop()
        return code
    code = asyncio.new_event_loop().run_until_complete(run())
    sys.stdout.flush()
    # Handlers of open connections are not waited for.
    os._exit(code)
