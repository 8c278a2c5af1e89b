"""Around a planned stop, sound streams that pause are cut, and their answers end unfinished."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import *  # noqa: E402,F403

PER_SECOND = 12
ROUNDS_AT_S = (30.0, 45.0, 60.0)  # The nodes are stopped one after the other, as they started.
PAUSE_AFTER_S, PAUSE_S, SHORT_S = 1.0, 0.4, 0.8
GRACE_S = 8.0


async def scenario(rig):
    sent, stops = [], []  # (node, answer), (node, time of SIGTERM or of the same moment without)
    taking = list(rig.nodes)
    end = ROUNDS_AT_S[-1] + 12

    async def send(node):
        headers = [("X-Model", "daka51"), ("X-Token-Counts", "800,86"),
                   ("X-Prompt-Prefix", f"5c1e07a2:40,{random.getrandbits(32):08x}:760")]
        sent.append((node, await node.client().send("POST", "/draft/2f", 20000, b"{}",
                                                    headers=headers, note=node.name)))

    async def stop_in_turn():
        first, second = rig.models
        for node, at in zip(list(rig.nodes), ROUNDS_AT_S):
            await asyncio.sleep(at - rig.record.now)
            # Callers are told of the other nodes only from now on.
            taking.remove(node)
            stops.append((node, rig.record.now))
            if rig.trouble:
                node.signal(signal.SIGTERM)
            await asyncio.sleep(PAUSE_AFTER_S)
            first.pause_until = rig.record.now + PAUSE_S
            second.short_of_memory = True
            rig.record(f"server {first.id} prefills for {PAUSE_S} s, running={first.running}; "
                       f"{second.id} takes nothing new for {SHORT_S} s, running={second.running}")
            await asyncio.sleep(SHORT_S)
            second.short_of_memory = False
            await asyncio.sleep(at + GRACE_S + 0.5 - rig.record.now)
            if rig.trouble:
                if node.process.poll() is None:
                    node.signal(signal.SIGKILL)
                node.process.wait()
                node.start()
            while not await node.ready():
                await asyncio.sleep(0.1)
            taking.append(node)

    await asyncio.sleep(15 - rig.record.now)
    rig.record("traffic starts")
    rig.spawn(stop_in_turn())
    tasks, number = [], 0
    while rig.record.now < end:
        tasks.append(rig.spawn(send(taking[number % len(taking)])))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    lost = 0
    for node, at in stops:
        group = [a for n, a in sent if n is node and at - 5 <= a.sent <= at + 3 and a.ended > at]
        cut = [a for a in group if a.status == 200 and not a.complete
               and a.ended < at + GRACE_S * 5 / 6]
        rig.record(f"{node.name}: {len(group)} streams were running, {len(cut)} were cut, "
                   f"{[f'{a.ended - at:.2f}' for a in cut]} s after that moment")
        lost += len(cut)
    others = sum(a.status == 200 and not a.complete for _, a in sent) - lost
    rig.record(f"of {len(sent)} streams {lost} were cut on a node that was stopping or would have "
               f"been, {others} at other times")
    if rig.trouble and lost:
        return f"LOST: {lost} streams were cut within {GRACE_S:.0f} s after a SIGTERM"
    return None


def rig():
    return Rig(Path(__file__).parent, nodes=3, plain=3, models=2, events=86, event_gap=0.04,
               card_mb=120000.0, model_zones=["kafr-a"])


if __name__ == "__main__":
    main(rig, scenario)
