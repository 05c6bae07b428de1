"""Some answers of endpoints have heads of very many short fields that never end: the memory of the node against
`memory_mb`."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from standins import TROUBLE, CannotRun, Clients, Endpoint, Node, Platform, answer, keyed_class, main, read_request, settings  # noqa: E402

MEMORY_MB = 32
LIMIT_KB = MEMORY_MB * 1024  # in units of 1,024 bytes: a little more than 32,000,000 bytes
RATE = 360.0                 # messages a second, from all clients
SECONDS = 12.0
SPOILT = 0.25               # share of the answers
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"


def short_fields(count):
    """Lines of a head with so many names of one to three letters, and no values."""
    names = list(LETTERS) + [a + b for a in LETTERS for b in LETTERS]
    names += [a + b + c for a in LETTERS[:3] for b in LETTERS for c in LETTERS]
    return "".join(name + ":\r\n" for name in names[:count]).encode()


HEAD = b"HTTP/1.1 200 OK\r\n" + short_fields(6000)


class Spoiling(Endpoint):
    random = random.Random(65)
    spoilt = 0

    async def serve_one(self, reader, writer):
        _, _, headers, body = await read_request(reader)
        self.calls.append((self.record.now(), headers["x-trace-id"], len(body)))
        spoil = TROUBLE and self.random.random() < SPOILT
        self.record("call", endpoint=self.host, id=headers["x-trace-id"], answer="endless head" if spoil else 200)
        if spoil:
            Spoiling.spoilt += 1
            writer.write(HEAD)  # the call has run; the head never ends, the connection stays open
            await writer.drain()
            await reader.read(1)
            raise ConnectionError
        await asyncio.sleep(0.2)  # 160 to 280 ms at usual pace
        writer.write(answer(200))
        await writer.drain()


async def case(record):
    platform = await Platform(record).open()
    endpoints = [await Spoiling(record, f"s-{block}", block).open() for block in range(26)]
    platform.set(*(endpoint.entry() for endpoint in endpoints))
    busy = settings(classes=[keyed_class("notice", 12000)])
    busy["caps"].update(attemptsCap=12, maxOpen=1000)
    busy["familyInfo"]["callSlots"] = 180  # 1.9 to 2.6 times what 360 messages a second keep busy
    node = Node(record, "n0", busy, platform.address,
                {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 3})
    process = await node.start("only")

    def memory(name):
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            return int(file.read().split(f"{name}:")[1].split()[0])

    try:
        clients = Clients(record, node.port)
        began, number, largest = record.now(), 0, 0

        async def client():
            nonlocal number
            connection = await clients.connect()
            while record.now() < began + SECONDS:
                due = began + number / RATE
                number += 1
                await asyncio.sleep(max(0.0, due - record.now()))
                _, line = await clients.hand_in("c=notice,t=acme", number % len(endpoints), 12000,
                                                connection=connection)
                if not line:
                    connection = await clients.connect()

        record("memory", anonymous_kb=memory("RssAnon"), resident_kb=memory("VmRSS"))
        tasks = [asyncio.create_task(client()) for _ in range(16)]
        while record.now() < began + SECONDS:
            await asyncio.sleep(0.05)
            if process.returncode is not None:
                return True, f"the process ended with {process.returncode}"
            now = memory("RssAnon")
            if now > largest + 500:
                record("memory", anonymous_kb=now, resident_kb=memory("VmRSS"))
            largest = max(largest, now)
        await asyncio.gather(*tasks, return_exceptions=True)
        calls = sum(len(endpoint.calls) for endpoint in endpoints)
        if len(clients.taken) < 1000 or calls < 1000:
            raise CannotRun(f"too little traffic: {len(clients.taken)} messages, {calls} calls")
        return largest > LIMIT_KB, (
            f"anonymous memory reached {largest} kB of {LIMIT_KB} ({len(clients.taken)} messages taken on, {calls} calls, "
            f"{Spoiling.spoilt} spoilt answers)")
    finally:
        await node.clean_up()


main(case, FOLDER)
