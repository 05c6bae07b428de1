"""A process is replaced while messages of a class in order come: two of each key, one after the other, on connections of
their own."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from standins import TROUBLE, CannotRun, Clients, Endpoint, Node, Platform, answer, keyed_class, main, settings  # noqa: E402

KEYS = 80
TIME_MS = 16000


async def after(seconds):
    await asyncio.sleep(seconds)
    return answer(200)


async def case(record):
    platform = await Platform(record).open()
    endpoint = await Endpoint(record, "s-1", 7, lambda *_: after(0.1)).open()  # 84 to 140 ms at usual pace
    platform.set(endpoint.entry())
    booking = dict(keyed_class("booking", TIME_MS, 3000.0, 4000.0), sequential=True)
    ordered = settings(classes=[booking])
    ordered["guarantees"]["turnGap"] = 100.0
    node = Node(record, "n0", ordered, platform.address)
    old = await node.start("old")
    clients = Clients(record, node.port)
    taken = []  # pairs (first, second) of ids, by key

    async def household(number):
        """Hands two messages of one key in, the second once the first is taken on."""
        key, pair = f"{0xb00c0000 + number:016x}", []
        for step in ("book", "move"):
            message, line = await clients.hand_in("c=booking,t=acme", 7, TIME_MS, step.encode(), order=key)
            if line is None or not line.startswith(b"+"):
                return
            pair.append(message)
            await asyncio.sleep(0.01)
        taken.append((key, *pair))

    try:
        for number in range(KEYS // 4):
            await household(number)
            await asyncio.sleep(0.05)
        if TROUBLE:
            await node.start("new")
        for number in range(KEYS // 4, KEYS):
            await household(number)
            await asyncio.sleep(0.05)
        if TROUBLE:
            node.signal(old, signal.SIGTERM, "old")
            if await node.wait_end(old, "old", 3.7) != 0:
                raise CannotRun("the old process did not end as told")
        for _ in range(150):
            await asyncio.sleep(0.1)
            if len(endpoint.calls) >= 2 * KEYS:
                break
        if len(taken) < KEYS / 2:
            raise CannotRun("too few messages were taken on")
        begun = {}
        for at, message, _ in endpoint.calls:
            begun.setdefault(message, at)
        wrong = []
        for key, first, second in taken:
            ends = [at for message, at in endpoint.answered if message == first]
            if first in platform.notices:
                ends.append(platform.notices[first][0])
            ended = min(ends, default=float("inf"))
            if second in begun and begun[second] < ended:
                wrong.append(key)
                record("out_of_order", key=key, first=first, second=second, second_begun=f"{begun[second]:.3f}",
                       first_ended="never" if ended == float("inf") else f"{ended:.3f}")
        return bool(wrong), (f"of {len(taken)} keys {len(wrong)} had their second message sent before the first one was "
                             f"over")
    finally:
        await node.clean_up()


main(case, FOLDER)
