"""Streams of servers that hold the whole model never end if their connections go silent."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import *  # noqa: E402,F403

PER_SECOND = 39
SILENT_AT_S, END_S = 30.0, 45.0
MACHINES_SHARE, CONNECTIONS_SHARE = 1 / 3, 0.55
STABLE_WINDOW_S = 3.0
TIMEOUT_S, SLACK_S = 6.0, 0.5
DEADLINE_S, PATIENCE_S = 20.0, 8.0  # Four times the objective; eight times the accepted pause.
FOLLOW_UP_S = 30.0


class WholeModelRig(Rig):
    """Model servers without layers: each serves a request alone."""

    def routes(self):
        return super().routes()[:2] + [
            {"name": "digest", "host": HOST, "pathPrefix": "/digest/", "kind": "streaming",
             "timeoutMs": TIMEOUT_S * 1000, "targetLatencyMs": 2000, "priority": 1,
             "service": "llm", "attempts": 2, "publicAccess": False, "sessionAffinity": True,
             "resumable": True, "gapTargetMs": 1000}]

    def config(self):
        config = super().config()
        for key in ("layers", "layerMb", "kinds", "activationBytes", "crossZoneMbps"):
            del config["services"][1]["engine"][key]
        return config


class WholeModelServer(Server):
    """Stops sending, for good, on the connections in [silent]."""

    silent = None

    async def register(self):
        self.layers = (0, self.rig.layers)
        await super().register()

    def entry(self):
        entry = super().entry()
        entry.pop("layers"), entry.pop("kind")
        return entry

    async def _stream(self, request, writer):
        self.open[request.id] = writer
        try:
            await super()._stream(request, Muffler(writer, request.id, self.silent))
        finally:
            del self.open[request.id]


class Muffler:
    """The writer of a connection that may have gone silent."""

    def __init__(self, writer, request_id, silent):
        self.writer, self.id, self.silent = writer, request_id, silent

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        if self.id not in self.silent:
            self.writer.write(data)


async def scenario(rig):
    streams = {}  # id -> (node, sent, ended, outcome)
    sent_to = {}

    async def send(node):
        """A client leaves after a pause of its patience, or at its deadline."""
        request_id, sent = f"{random.getrandbits(64):016x}", rig.record.now
        sent_to[request_id] = node
        reader, writer = await asyncio.open_connection(node.host, node.ports[0])
        writer.write((f"POST /digest/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                      f"X-Deadline-Milliseconds: {DEADLINE_S * 1000:.0f}\r\nX-Model: daka51\r\n"
                      f"X-Token-Counts: 800,86\r\nAuthorization: Token {KEY}\r\n"
                      f"X-Prompt-Prefix: 5c1e07a2:40,{random.getrandbits(32):08x}:760\r\n"
                      "Content-Length: 2\r\n\r\n{}").encode())
        received, outcome = b"", "left after a pause"
        while rig.record.now - sent < DEADLINE_S:
            try:
                data = await asyncio.wait_for(reader.read(65536), PATIENCE_S)
            except (asyncio.TimeoutError, OSError):
                break
            received += data
            if received.endswith(b"0\r\n\r\n"):
                outcome = "complete"
            elif not data:
                outcome = "closed"
            elif b"\r\n\r\n" in received and not received.startswith(b"HTTP/1.1 200"):
                outcome = received[:12].decode()
            else:
                continue
            break
        writer.transport.abort()
        streams[request_id] = (node, sent, rig.record.now, outcome)
        rig.record(f"client request={request_id} node={node.name} sent={sent:.3f} {outcome}, "
                   f"bytes={len(received)}")

    async def silence():
        await asyncio.sleep(SILENT_AT_S - rig.record.now)
        machines = rig.nodes[:round(len(rig.nodes) * MACHINES_SHARE)]
        open_ = [(server, request) for server in rig.models for request in server.open
                 if sent_to.get(request) in machines]
        chosen = random.sample(open_, int(len(open_) * CONNECTIONS_SHARE))
        for server, request in chosen:
            server.silent.add(request)
        rig.record(f"{len(chosen)} of {len(open_)} connections of {machines[0].name} to servers "
                   "go silent")

    await asyncio.sleep(15 - rig.record.now)
    rig.record("traffic starts")
    if rig.trouble:
        rig.spawn(silence())
    tasks, number = [], 0
    while rig.record.now < END_S:
        tasks.append(rig.spawn(send(rig.nodes[number % len(rig.nodes)])))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    await asyncio.sleep(FOLLOW_UP_S)
    at_timeout, late = 0, 0
    for node, sent, ended, outcome in streams.values():
        due = sent + TIMEOUT_S
        in_touch = not SILENT_AT_S <= due < SILENT_AT_S + STABLE_WINDOW_S
        if in_touch and ended > due:
            at_timeout += 1
            late += ended > due + SLACK_S
    for outcome in sorted({stream[3] for stream in streams.values()}):
        count = sum(stream[3] == outcome for stream in streams.values())
        rig.record(f"outcome {outcome}: {count}")
    for node in rig.nodes:
        rig.record(f"{node.name}: {await in_flight(node)}, all clients left "
                   f"{FOLLOW_UP_S:.0f} s ago or earlier")
    rig.record(f"unanswered at timeoutMs: {at_timeout}, still unanswered 0.5 s later: {late}")
    if at_timeout and late > at_timeout / 2:
        return f"CONFIG: {late} of {at_timeout} requests had no answer 0.5 s after timeoutMs"
    return None


async def in_flight(node):
    reader, writer = await asyncio.open_connection(node.host, 9464)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    text = (await reader.read(-1)).decode()
    writer.close()
    return re.search(r"^\S*in_flight\S* .*$", text, re.MULTILINE).group(0)


def rig():
    made = WholeModelRig(Path(__file__).parent, nodes=3, plain=3, models=0, events=86,
                         event_gap=0.02)
    for number in range(12):
        server = WholeModelServer(made, "llm", f"i-llm{number}", ZONES[number % 3], 134, "l4")
        server.open, server.silent = {}, set()
        made.models.append(server)
    return made


if __name__ == "__main__":
    main(rig, scenario)
