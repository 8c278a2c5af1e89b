"""A part of a prompt crashes each server that begins to write an answer on it, at the sixth event."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import *  # noqa: E402,F403

SHARED_PART, DEADLY_PART = "5c1e07a2:40", "e4402b7d:250"
PER_SECOND = 20
DEADLY_FROM_S, DEADLY_END_S = 25.0, 45.0
DEADLY_GAP_S = 1.7  # 0.03 of the requests of the route.
EVENTS_BEFORE_CRASH = 6
END_S = 65.0
DOWN_S = 3.0
STABLE_WINDOW_S = 3.0


class DeadlyRig(Rig):
    """Model servers crash shortly after they began to write an answer on the deadly part."""

    crashes = ()
    deadly_runs = ()

    async def begins(self, server, request):
        if DEADLY_PART in request.headers.get("X-Prompt-Prefix"):
            self.deadly_runs += ((self.record.now, request.id),)

    async def wrote(self, server, request, count):
        deadly = DEADLY_PART in request.headers.get("X-Prompt-Prefix")
        if not deadly or count < EVENTS_BEFORE_CRASH or not server.alive:
            return
        self.crashes += (self.record.now,)
        self.record(f"request={request.id} crashes server={server.id} after {count} events")
        await server.crash()

        async def back():
            await asyncio.sleep(DOWN_S)
            await server.start_again(f"{server.id.split('-x')[0]}-x{len(self.crashes)}")
        self.spawn(back())


async def scenario(rig):
    sent = []  # (time, whether deadly, answer)

    async def send(client, deadly):
        parts = [SHARED_PART] + [DEADLY_PART] * deadly + [f"{random.getrandbits(32):08x}:700"]
        headers = [("X-Model", "daka51"), ("X-Token-Counts", "800,86"),
                   ("X-Prompt-Prefix", ",".join(parts))]
        answer = await client.send("POST", "/draft/2f", 20000, b"", headers=headers,
                                   note="deadly" if deadly else "sound")
        sent.append((answer.sent, deadly, answer))

    async def deadly():
        at, number = DEADLY_FROM_S, 0
        while at < DEADLY_END_S:
            await asyncio.sleep(at - rig.record.now)
            rig.spawn(send(rig.nodes[number % len(rig.nodes)].client(), True))
            number, at = number + 1, at + DEADLY_GAP_S

    await asyncio.sleep(15 - rig.record.now)
    rig.record("traffic starts")
    if rig.trouble:
        rig.spawn(deadly())
    tasks, number = [], 0
    while rig.record.now < END_S:
        tasks.append(rig.spawn(send(rig.nodes[number % len(rig.nodes)].client(), False)))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    rig.record(f"{len(rig.crashes)} crashes at {[f'{at:.1f}' for at in rig.crashes]}")
    for name, low, high in (("before", 0, DEADLY_FROM_S),
                            ("meanwhile", DEADLY_FROM_S, DEADLY_END_S),
                            ("10 s after the last", DEADLY_END_S + 10, END_S)):
        group = [a for at, is_deadly, a in sent if not is_deadly and low <= at < high]
        served = sum(a.status == 200 and a.complete for a in group)
        broken = sum(a.status == 200 and not a.complete for a in group)
        rig.record(f"sound requests {name}: {len(group)}, served {served}, broken off {broken}")
    if len(rig.crashes) < 5:
        return None
    fifth, broken = rig.crashes[4], []
    times = {a.id: at for at, is_deadly, a in sent if is_deadly}
    late = {request for at, request in rig.deadly_runs
            if times.get(request, 0) > fifth + STABLE_WINDOW_S}
    rig.record(f"deadly requests that were sent later than {fifth + STABLE_WINDOW_S:.1f} and "
               f"reached servers: {len(late)}")
    if len(late) > 3:
        broken.append(f"BUDGET: {len(late)} deadly requests reached servers after the fifth crash")
    runs = {request for server in rig.models for _, request in server.ran}
    sound = [(at, a) for at, is_deadly, a in sent if not is_deadly]
    groups = ([a for at, a in sound if at < DEADLY_FROM_S],
              [a for at, a in sound if fifth + 2 * STABLE_WINDOW_S <= at < DEADLY_END_S])
    begun = [sum(a.id in runs for a in group) / max(1, len(group)) for group in groups]
    rig.record(f"sound requests began at the first attempt: before {begun[0]:.3f}, later "
               f"{begun[1]:.3f}, of {[len(group) for group in groups]}")
    if min(map(len, groups)) >= 20 and begun[1] < begun[0] / 2:
        broken.append(f"LOST: sound requests began {begun[1]:.3f} as often, {begun[0]:.3f} before")
    return "; ".join(broken) or None


def rig():
    made = DeadlyRig(Path(__file__).parent, nodes=3, plain=3, models=24, layers=80,
                     card_mb=42000.0)
    for server in made.models:
        server.load_s = 2.5
    return made


if __name__ == "__main__":
    main(rig, scenario)
