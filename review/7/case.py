"""A new configuration moves discovery; for a while the new address refuses requests for the list (503). Meanwhile an
endpoint goes, and its address is taken by an endpoint of another destination."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from standins import TROUBLE, CannotRun, Clients, Endpoint, Node, Platform, free_port, keyed_class, main, settings  # noqa: E402

REFUSES = 16.0  # seconds from SIGHUP on
TOLD = 6.0      # a change counts as told so long after discovery had it and could be reached
SLACK = 0.25 + 0.05 + 0.15  # the grace of drains, the slack of sockets, a node that is held up


async def case(record):
    before = await Platform(record, "old").open()
    after = await Platform(record, "new").open()
    port = free_port()
    going = await Endpoint(record, "s-1", 7, port=port).open()
    control = await Endpoint(record, "s-2", 8).open()
    for platform in (before, after):
        platform.set(going.entry(), control.entry())
    node = Node(record, "n0", settings(classes=[keyed_class("notice", 20000)]), before.address)
    process = await node.start("only")
    clients = Clients(record, node.port)
    stop = False

    async def traffic():
        while not stop:
            for destination in (7, 8):
                await clients.hand_in("c=notice,t=acme", destination, 20000)
            await asyncio.sleep(0.1)

    try:
        task = asyncio.create_task(traffic())
        await asyncio.sleep(1.5)
        after.refuse = TROUBLE
        node.config["discovery"] = after.address
        node.write_config()
        node.signal(process, signal.SIGHUP, "only")
        moved_at = record.now()
        before.stop_listening()
        await asyncio.sleep(1.5)
        before.close_connections()
        await asyncio.sleep(0.5)
        after.set(going.entry("Terminating"))
        await asyncio.sleep(1.5)
        going.close()
        replacement = await Endpoint(record, "s-3", 7).open()
        after.set(going.entry("Gone"), replacement.entry())
        gone_at = record.now()
        await asyncio.sleep(1.0)
        foreign = await Endpoint(record, "s-9", 9, port=port).open()
        after.set(foreign.entry())
        await asyncio.sleep(moved_at + REFUSES - record.now())
        after.refuse = False
        await asyncio.sleep(4)
        stop = True
        await task
        if len(control.calls) < 50:
            raise CannotRun("the traffic to another destination did not flow")
        if not replacement.calls:
            raise CannotRun("the node never heard of the change")
        wrong = [at for at, _, _ in foreign.calls]
        late = [at for at in wrong if at > gone_at + TOLD + SLACK]
        text = (f"{len(late)} calls went to the address of an endpoint that was gone for more than {TOLD + SLACK:.2f} s, "
                f"where an endpoint of another destination serves ({len(wrong)} with those before); the last "
                f"{max(wrong, default=gone_at) - gone_at:.2f} s after it was gone")
        return bool(late), text
    finally:
        await node.clean_up()


main(case, FOLDER)
