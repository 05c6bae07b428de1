"""The process that is to replace another one is killed outright while both serve; the other one serves on."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from standins import TROUBLE, CannotRun, Clients, Endpoint, Node, Platform, keyed_class, main, settings  # noqa: E402

SECONDS = 3.0   # for which messages are handed in while both processes serve
TIME_MS = 8000  # of each message
LATE = 0.3 + 0.05 + 1.5  # after its time is up, a message without an end is lost; 1.5 s more than the rule asks


async def case(record):
    platform = await Platform(record).open()
    endpoint = await Endpoint(record, "s-1", 7).open()
    platform.set(endpoint.entry())
    node = Node(record, "n0", settings(classes=[keyed_class("notice", TIME_MS)]), platform.address)
    old = await node.start("old")
    try:
        clients = Clients(record, node.port)
        for _ in range(5):
            await clients.hand_in("c=notice,t=acme", 7, TIME_MS)
        new = await node.start("new")
        until = record.now() + SECONDS
        while record.now() < until:
            await clients.hand_in("c=notice,t=acme", 7, TIME_MS)
            await asyncio.sleep(0.05)
        if TROUBLE:
            node.signal(new, signal.SIGKILL, "new")
            await new.wait()
        else:
            node.signal(old, signal.SIGTERM, "old")
        _, line = await clients.hand_in("c=notice,t=acme", 7, TIME_MS)
        serving = line is not None and line.startswith(b"+")
        await asyncio.sleep(TIME_MS / 1000 + LATE + 0.2)
        if not TROUBLE and old.returncode != 0:
            raise CannotRun("the old process did not end")
        _, line = await clients.hand_in("c=notice,t=acme", 7, TIME_MS)
        if not serving or line is None or not line.startswith(b"+"):
            raise CannotRun("the node does not take messages after the disruption")
        await asyncio.sleep(1)
        ended = {message: at for at, message, _ in endpoint.calls}
        for message, (at, _) in platform.notices.items():
            ended.setdefault(message, at)
        lost = [m for m, (at, _, d, _) in clients.taken.items()
                if m not in ended or ended[m] > at + d + LATE]
        for message in lost:
            record("lost", id=message, ended=ended.get(message, "never"))
        return bool(lost), f"{len(lost)} of {len(clients.taken)} messages that were taken on got no end in their time"
    finally:
        await node.clean_up()


main(case, FOLDER)
