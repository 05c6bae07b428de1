"""A process is replaced while it holds large messages for destinations that hang: what the state folder holds against
`disk_mb`."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIBRARY = os.path.join(os.path.dirname(FOLDER), "lib-2")
sys.path.insert(0, LIBRARY)
from standins import TROUBLE, CannotRun, Clients, Endpoint, Node, Platform, keyed_class, main, settings  # noqa: E402

DISK_MB = 3
LIMIT = DISK_MB * 1_000_000
BODY = b"x" * 60000  # a body holds at most 64 KiB


async def case(record):
    platform = await Platform(record).open()
    hanging = [await Endpoint(record, f"s-{block}", block, lambda *_: None).open() for block in range(1, 7)]
    platform.set(*(endpoint.entry() for endpoint in hanging))
    node = Node(record, "n0", settings(classes=[keyed_class("notice", 20000, aim_ms=1000.0)]), platform.address,
                {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": DISK_MB})
    old = await node.start("old")
    watch = await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(LIBRARY, "folder_watch.py"), node.state, str(LIMIT),
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
    try:
        clients = Clients(record, node.port)
        for i in range(30):
            await clients.hand_in("c=notice,t=acme", 1 + i % 6, 20000, BODY)
            await asyncio.sleep(0.03)
        by_old = len(clients.taken)
        if TROUBLE:
            await node.start("new")
        for i in range(40):
            await clients.hand_in("c=notice,t=acme", 1 + i % 6, 20000, BODY)
            await asyncio.sleep(0.1)
        if TROUBLE:
            node.signal(old, signal.SIGTERM, "old")
            if await node.wait_end(old, "old", 3.7) is None:
                raise CannotRun("the old process did not end")
        await asyncio.sleep(4)
        watch.stdin.close()
        seen = json.loads(await watch.stdout.read())
        await watch.wait()
        record("folder", **{name: str(value).replace(" ", "") for name, value in seen.items()})
        return seen["over"] > 0, (
            f"the state folder held up to {seen['largest']} bytes of {LIMIT} (over it at {seen['over']} of "
            f"{seen['looks']} looks; {by_old} messages taken on before, {len(clients.taken) - by_old} after); files "
            f"{seen['files']}")
    finally:
        if watch.returncode is None:
            watch.kill()
            await watch.wait()
        await node.clean_up()


main(case, FOLDER)
