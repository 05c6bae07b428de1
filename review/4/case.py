"""SIGHUP moves discovery to an address that tells no list for 8 s and answers notices at once. Until it has told
the list, the node posts notices to the old address, which accepts no connection any more."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from settings import configuration, notice_class  # noqa: E402
from world import TROUBLE, Traffic, play  # noqa: E402

DEADLINE = 4000  # of a message, ms
SILENT = 8.0     # how long discovery is down, s


async def main(world):
    for dest in range(1, 20):
        await world.endpoint("s-%d" % dest, dest, latency=0.05)
    await world.endpoint("s-20", 20, hangs=True)  # one of twenty endpoints hangs
    node = world.node("n0", configuration([notice_class(deadline=float(DEADLINE))], slots=16))
    process = await node.start()
    traffic = Traffic(world, node, DEADLINE, per_second=34, destinations=20)
    traffic.start()
    await asyncio.sleep(2)
    if TROUBLE:
        old = await world.new_platform(down=True)
        node.write_config()
        old.refuse_new()
        node.signal(process, signal.SIGHUP)
        await asyncio.sleep(1.5)
        old.cut()
        await asyncio.sleep(SILENT - 1.5)
        world.platform.up()
    else:
        await asyncio.sleep(SILENT)
    await asyncio.sleep(1)
    await traffic.stop()
    await asyncio.sleep(DEADLINE / 1000 + 3)
    return world.summary(world.lost())


play(__file__, main, record="record.txt")
