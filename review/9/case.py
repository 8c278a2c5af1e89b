"""An unreadable entry of a server ends the placement of layers for good."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import *  # noqa: E402,F403

FOREIGN_ENTRY = {
    "service": "llm", "address": "127.0.0..9:8080", "zone": "kafr-a", "slots": 134,
    "state": "ready", "kind": "l4",
}


async def scenario(rig):
    served, asked = {}, {}

    async def send(client, kind):
        if kind == "draft":
            headers = [("X-Model", "daka51"), ("X-Token-Counts", "800,172"),
                       ("X-Prompt-Prefix", f"5c1e07a2:40,{random.getrandbits(32):08x}:760")]
            answer = await client.send("POST", "/draft/2f", 20000, b"{}", headers=headers)
        else:
            answer = await client.send("GET", "/look/2f", 1500)
        asked[kind] = asked.get(kind, 0) + 1
        if answer.status == 200 and answer.complete:
            served[kind] = served.get(kind, 0) + 1

    if rig.trouble:
        rig.record(f"another writer puts servers/i-other: {FOREIGN_ENTRY}")
        await rig.store.put("servers", "i-other", FOREIGN_ENTRY)
    await asyncio.sleep(3 * HEARTBEAT_S)
    # The store removes an entry after three heartbeats of silence.
    await rig.store.remove("servers", "i-other")
    await asyncio.sleep(1)
    for number in range(6):
        server = Server(rig, "llm", f"i-llm{number}", ZONES[number % 3], 134, "l4")
        await server.listen()
        await server.register()
        rig.models.append(server)
    rig.record("six empty model servers have started")
    # Servers take 0.3 s to load here.
    await asyncio.sleep(10)
    tasks = []
    for _ in range(120):
        for node in rig.nodes:
            tasks.append(rig.spawn(send(node.client(), "draft")))
            tasks.append(rig.spawn(send(node.client(), "look")))
        await asyncio.sleep(0.5)
    await asyncio.gather(*tasks)
    for server in rig.models:
        rig.record(f"server {server.id} layers={server.layers} orders={server.sequence}")
    share = {kind: served.get(kind, 0) / asked[kind] for kind in asked}
    of_all = sum(served.values()) / sum(asked.values())
    rig.record(f"served: {share}, of all {of_all:.3f}")
    if share["draft"] < of_all / 4:
        return f"Starved: draft served {share['draft']:.3f}, all requests {of_all:.3f}"
    return None


if __name__ == "__main__":
    main(lambda: Rig(Path(__file__).parent, nodes=3, plain=3, models=0), scenario)
