"""A new configuration adds a class that is not delivered in order, and the class that is there may no longer be
repeated. The node turns the file down, since the new class has no `sequential`, and goes on repeating.

KEEP=1 gives the new class `"sequential": false`, which is the only difference: then the node takes the file and
the rule holds."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from settings import configuration, notice_class  # noqa: E402
from world import TROUBLE, Traffic, play  # noqa: E402

DEADLINE = 12000  # of a message, ms
KEEP = os.environ.get("KEEP") == "1"


async def main(world):
    dice = random.Random(59)

    async def some_errors(call):
        await asyncio.sleep(0.1)
        return 500 if dice.random() < 0.3 else 200  # an error: the call has run (call["ran"] stays True)

    for dest in range(1, 9):
        await world.endpoint("s-%d" % dest, dest, some_errors)
    booking = notice_class("booking", effect="read_like", deadline=float(DEADLINE), aim=3000.0)
    booking["sequential"] = True
    node = world.node("n0", configuration([booking], slots=16))
    node.config["settings"]["guarantees"]["turnGap"] = 100.0
    process = await node.start()
    before = Traffic(world, node, DEADLINE, per_second=34, destinations=8, cls="booking", keyed=False)
    before.start()
    await asyncio.sleep(2)
    if TROUBLE:
        booking["effect"] = "non_idempotent"
        reminder = notice_class("reminder", effect="read_like", deadline=float(DEADLINE))
        if KEEP:
            reminder["sequential"] = False
        node.config["settings"]["classes"] = [booking, reminder]
        node.write_config()
        node.signal(process, signal.SIGHUP)
    # 1.2 s after SIGHUP the new rules bind; only messages handed in 4 s after it are judged.
    await asyncio.sleep(4)
    await before.stop()
    judged = Traffic(world, node, DEADLINE, per_second=34, destinations=8, cls="booking", keyed=False,
                     first=100001)
    judged.start()
    await asyncio.sleep(5)
    await judged.stop()
    await asyncio.sleep(DEADLINE / 1000 + 1)
    breaks = world.lost() + world.foreign()
    if TROUBLE:
        for id in judged.ids():
            runs = world.runs(id)
            if len(runs) > 1:
                breaks.append("duplicate: %s, which may not be repeated, ran %d times" % (id, len(runs)))
    answer = await node.admin(process, "GET", "/admin/stats")
    if answer:
        for line in answer[1].decode().splitlines():
            if "config_reload" in line:
                world.record("stats: " + line)
    return world.summary(breaks)


play(__file__, main, record="record.txt")
