"""A node that has taken nothing on yet is replaced, and replaced once more as traffic comes. The second and the
third process number their messages alike; the third mixes up its own with those that it takes over."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from settings import configuration, notice_class  # noqa: E402
from world import TROUBLE, Traffic, play  # noqa: E402

DEADLINE = 8000  # of a message, ms


async def main(world):
    for dest in range(1, 9):
        await world.endpoint("s-%d" % dest, dest, latency=0.2)
    node = world.node("n0", configuration([notice_class(deadline=float(DEADLINE))], slots=16))
    first = await node.start()
    second = third = None
    await asyncio.sleep(1)
    if TROUBLE:
        second = await node.start()
        await node.end(first)
        await asyncio.sleep(1)
        third = await node.start()
    traffic = Traffic(world, node, DEADLINE, per_second=34, destinations=8)
    traffic.start()
    await asyncio.sleep(1.5)
    if TROUBLE:
        await node.end(second)
    await asyncio.sleep(2)
    await traffic.stop()
    await asyncio.sleep(DEADLINE / 1000 + 2)
    world.record("calls in the last %g s: %d" % (DEADLINE / 1000 + 4, world.calls_since(DEADLINE / 1000 + 4)))
    return world.summary(world.lost() + world.foreign())


play(__file__, main, record="record.txt")
