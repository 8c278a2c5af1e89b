"""One part of a prompt crashes its servers; sound requests are refused for good beside it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import *  # noqa: E402,F403

FIRST_TEMPLATE, SECOND_TEMPLATE, DEADLY_PART = "5c1e07a2:40", "91bd3f06:6000", "e4402b7d:250"
PER_SECOND = 20
SWITCH_S = 25.0  # The callers go over to the second template.
DEADLY_S = (24.90, 24.93, 24.96, 24.99)  # The first requests with the deadly part.
DEADLY_GAP_S = 2.5  # Between the others. All are 0.03 of the requests of their route meanwhile.
DEADLY_END_S = 44.9
END_S = 60.0
DOWN_S = 3.0
STABLE_WINDOW_S = 3.0
FIRST_TOKEN_S = {"5c1e07a2": 0.06, "91bd3f06": 1.0}


class DeadlyRig(Rig):
    """Model servers crash when they begin to write an answer on the deadly part."""

    crashes = ()

    def first_token_s(self, request):
        return FIRST_TOKEN_S[request.headers.get("X-Prompt-Prefix").split(":")[0]]

    async def begins(self, server, request):
        if DEADLY_PART not in request.headers.get("X-Prompt-Prefix") or not server.alive:
            return
        self.crashes += (self.record.now,)
        self.record(f"request={request.id} crashes server={server.id}")
        await server.crash()

        async def back():
            await asyncio.sleep(DOWN_S)
            await server.start_again(f"{server.id}-{len(self.crashes)}")
        self.spawn(back())


async def scenario(rig):
    sent = []  # (time, whether sound, answer)

    async def send(client, template, deadly):
        parts = [template] + [DEADLY_PART] * deadly + [f"{random.getrandbits(32):08x}:700"]
        headers = [("X-Model", "daka51"), ("X-Token-Counts", "6950,86"),
                   ("X-Prompt-Prefix", ",".join(parts))]
        answer = await client.send("POST", "/draft/2f", 20000, b"", headers=headers,
                                   note="deadly" if deadly else "sound")
        sent.append((answer.sent, not deadly, answer))

    async def deadly():
        at, number = DEADLY_S[0], 0
        while at < DEADLY_END_S:
            await asyncio.sleep(at - rig.record.now)
            rig.spawn(send(rig.nodes[number % len(rig.nodes)].client(), SECOND_TEMPLATE, True))
            number += 1
            at = DEADLY_S[number] if number < len(DEADLY_S) else at + DEADLY_GAP_S

    await asyncio.sleep(15 - rig.record.now)
    rig.record("traffic starts")
    if rig.trouble:
        rig.spawn(deadly())
    tasks, number = [], 0
    while rig.record.now < END_S:
        client = rig.nodes[number % len(rig.nodes)].client()
        template = FIRST_TEMPLATE if rig.record.now < SWITCH_S else SECOND_TEMPLATE
        tasks.append(rig.spawn(send(client, template, False)))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    runs = {request for server in rig.models for _, request in server.ran}
    rig.record(f"crashes at {[f'{at:.1f}' for at in rig.crashes]}")
    since = (rig.crashes[:5] or (SWITCH_S,))[-1] + 2 * STABLE_WINDOW_S
    before = [a for at, sound, a in sent if sound and at < SWITCH_S]
    after = [a for at, sound, a in sent if sound and since <= at < DEADLY_END_S]
    ended = [a for at, sound, a in sent if sound and at >= DEADLY_END_S + 5]
    begun = [sum(a.id in runs for a in group) / len(group) for group in (before, after)]
    for name, group in (("before", before), ("after", after), ("5 s after the last", ended)):
        statuses = sorted({a.status for a in group}, key=str)
        counts = {status: sum(a.status == status for a in group) for status in statuses}
        rig.record(f"sound requests {name}: {len(group)}, by status {counts}")
    rig.record(f"began at the first attempt: before {begun[0]:.3f}, after {begun[1]:.3f}")
    for server in rig.models:
        rig.record(f"server {server.id} alive={server.alive} layers={server.layers}")
    if len(before) >= 20 and len(after) >= 20 and begun[1] < begun[0] / 2:
        return f"LOST: sound requests began {begun[1]:.3f} as often, {begun[0]:.3f} before"
    return None


def rig():
    made = DeadlyRig(Path(__file__).parent, nodes=3, plain=3, models=12, layers=80,
                     card_mb=42000.0, model_zones=["kafr-a"])
    for server in made.models:
        server.load_s = 2.5
    return made


if __name__ == "__main__":
    main(rig, scenario)
