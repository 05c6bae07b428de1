"""Stand-ins on loopback for the systems around the delivery nodes of one case, and the node's processes.

One asyncio program plays the endpoints, the platform (discovery and notices), the clients and, if a case needs
it, a proxy. The stand-ins follow PROTOCOL.md. Every event goes into `record.txt` with the time since the
start. Only Python's standard library is used."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.time()


class CannotRun(Exception):
    """The case could not be played; its result says nothing about the rule."""


def deploy_command(name):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == name:
                return value.strip().strip('"')
    raise CannotRun("deploy/balancer.toml has no " + name)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.time() - START, text))
        self.file.flush()


# ---- HTTP, the server's side --------------------------------------------------------------------------------


async def read_request(reader):
    """Returns (method, target, headers, body, first-byte time), or None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    first = time.time()
    method, target, _ = line.decode("latin1").split(" ", 2)
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body, first


class Endpoint:
    """One endpoint of a destination. `behave(call)` is awaited for each call and returns the status to answer
    with, or bytes to write as they are, or None for no answer; it may sleep first. A call runs once it was
    read whole and is not turned away: `call["ran"]` may be set False by `behave`."""

    def __init__(self, world, host, dest, behave=None, site="here", kind="shop", latency=0.05, hangs=False):
        self.world, self.host, self.dest, self.site, self.kind = world, host, dest, site, kind
        self.latency = latency
        self.behave = behave or (self.hang if hangs else self.serve)
        self.address = None
        self.connections = set()

    async def serve(self, call):
        await asyncio.sleep(self.latency)
        return 200

    async def hang(self, call):
        return None

    async def start(self):
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, health="Ready"):
        return {"host": self.host, "dial": self.address, "site": self.site, "class": self.kind,
                "block": self.dest, "health": health, "share": 1.0, "born_ms": 0}

    async def handle(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                _, _, headers, body, first = request
                call = {"id": headers.get("x-trace-id"), "key": headers.get("idempotency-key"), "body": body,
                        "endpoint": self.host, "dest": self.dest, "first": first, "at": time.time(),
                        "ran": True, "status": None}
                self.world.calls.append(call)
                self.world.record("call %s at %s (dest %d) body %s" % (call["id"], self.host, self.dest,
                                                                      body[:60].decode("latin1")))
                answer = await self.behave(call)
                if answer is None:
                    await asyncio.sleep(3600)
                if isinstance(answer, int):
                    call["status"] = answer
                    answer = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % answer
                writer.write(answer)
                await writer.drain()
                call["answered"] = time.time()
                self.world.record("answered %s at %s: %s" % (call["id"], self.host, answer[:40]))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Platform:
    """Discovery with a pushed list, and the receiver of notices."""

    def __init__(self, world):
        self.world, self.seq, self.entries, self.history = world, 1, {}, []
        self.changed = asyncio.Event()
        self.down = False  # discovery is silent; notices are answered all the same
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def whole_list(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def set(self, entry):
        self.seq += 1
        if entry["health"] == "Gone":
            self.entries.pop(entry["host"], None)
        else:
            self.entries[entry["host"]] = entry
        self.history.append((self.seq, entry))
        self.world.record("list %d: %s is %s" % (self.seq, entry["host"], entry["health"]))
        self.changed.set()
        self.changed = asyncio.Event()

    def line(self, whole, hosts):
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode() + b"\n"

    def up(self):
        self.down = False
        self.world.record("discovery is back at " + self.address)
        self.changed.set()
        self.changed = asyncio.Event()

    def refuse_new(self):
        self.server.close()
        self.world.record("the old address of discovery accepts no new connection")

    def cut(self):
        """Closes the open connections of an address that accepts no new ones any more."""
        for writer in list(self.connections):
            writer.close()

    async def served(self):
        while self.down:
            await self.changed.wait()

    async def handle(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, headers, body, _ = request
                if method == "POST":
                    for line in body.decode().splitlines():
                        notice = json.loads(line)
                        notice["at"] = time.time()
                        self.world.notices.append(notice)
                        self.world.record("notice " + line)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    if headers.get("connection", "").lower() == "close":
                        break
                    continue
                await self.served()
                if "watch=1" not in target:
                    body = self.line(True, list(self.entries.values()))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                seen = -1
                for part in target.partition("?")[2].split("&"):
                    if part.startswith("from="):
                        seen = int(part[5:] or -1)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                first = True
                while True:
                    await self.served()
                    changed = self.changed
                    if seen < 0 or seen > self.seq:
                        line = self.line(True, list(self.entries.values()))
                    elif first or seen < self.seq:
                        line = self.line(False, [e for s, e in self.history if s > seen])
                    else:
                        line = b"\n"
                    seen, first = self.seq, False
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    try:
                        await asyncio.wait_for(changed.wait(), 2.0)
                    except asyncio.TimeoutError:
                        pass
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


# ---- The node ------------------------------------------------------------------------------------------------


class Node:
    """One delivery node: its name, folder and addresses; its processes are started by `start`."""

    def __init__(self, world, name, config):
        self.world, self.name, self.config = world, name, config
        self.state = os.path.join(world.folder, name + "-state")
        self.tmp = os.path.join(world.folder, name + "-tmp")
        self.config_path = os.path.join(world.folder, name + ".json")
        os.makedirs(self.state)
        os.makedirs(self.tmp)
        self.port = free_port()
        self.processes = []

    def write_config(self):
        """Replaces the configuration file in one step."""
        self.config["discovery"] = self.world.platform.address
        text = json.dumps(self.config)
        with open(self.config_path + ".part", "w") as file:
            file.write(text)
        os.rename(self.config_path + ".part", self.config_path)

    async def start(self, wait=True):
        """Starts `run` of the deploy file. Returns the process once it has answered PING (or says yes on its
        second address)."""
        control = free_port()
        self.config.update({"name": self.name, "listen": "127.0.0.1:%d" % self.port,
                            "control": "127.0.0.1:%d" % control})
        self.write_config()
        environment = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN="127.0.0.1:%d" % self.port,
                           EDGE_DISCOVERY=self.world.platform.address, EDGE_STATE=self.state,
                           EDGE_CONFIG=self.config_path, EDGE_CONTROL="127.0.0.1:%d" % control,
                           TMPDIR=self.tmp)
        log = open(os.path.join(self.world.logs, "%s-%d.log" % (self.name, len(self.processes) + 1)), "wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, start_new_session=True)
        log.close()
        process.control = control
        process.label = "%s process %d" % (self.name, len(self.processes) + 1)
        self.processes.append(process)
        self.world.record("started %s" % process.label)
        if wait:
            await self.ready(process)
        return process

    async def ready(self, process, within=10.0):
        end = time.time() + within
        while time.time() < end:
            if process.returncode is not None:
                raise CannotRun("%s ended with %d at its start" % (process.label, process.returncode))
            if await self.health(process) == 200:
                self.world.record("ready: %s" % process.label)
                return
            await asyncio.sleep(0.02)
        raise CannotRun("%s was not ready in %g s" % (process.label, within))

    async def admin(self, process, method, path):
        """One call at the second address; returns (status, body), or None without an answer in 1 s."""
        async def call():
            reader, writer = await asyncio.open_connection("127.0.0.1", process.control)
            writer.write(("%s %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n" % (method, path)).encode())
            data = await reader.read()
            writer.close()
            return int(data.split()[1]), data.partition(b"\r\n\r\n")[2]
        try:
            return await asyncio.wait_for(call(), 1.0)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None

    async def health(self, process):
        answer = await self.admin(process, "GET", "/admin/health")
        return answer[0] if answer else None

    def signal(self, process, number):
        """Returns when it was sent."""
        if process.returncode is None:
            self.world.record("%s to %s" % (signal.Signals(number).name, process.label))
            os.kill(process.pid, number)
        return time.time()

    async def kill(self, process):
        self.signal(process, signal.SIGKILL)
        await process.wait()

    async def end(self, process, grace=3.7):
        """SIGTERM, and SIGKILL once the grace is over."""
        self.signal(process, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace)
        except asyncio.TimeoutError:
            self.signal(process, signal.SIGKILL)
            await process.wait()
        self.world.record("%s ended with %s" % (process.label, process.returncode))


# ---- Clients -------------------------------------------------------------------------------------------------


class Client:
    """One connection of a client, one request at a time."""

    def __init__(self, world, port):
        self.world, self.port, self.reader, self.writer = world, port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, id, cls, dest, d, body, tenant="acme", key=None, order=b"0000000000000000", extra=""):
        """Hands in one message. A connection that ends under the request is opened anew and the request sent
        once more, as PROTOCOL.md allows."""
        names = "c=%s,t=%s,d=%d" % (cls, tenant, d) + (",k=%s" % key if key else "") + ",dest=%d" % dest + extra
        parts = [b"ENQUEUE", order, id.encode(), names.encode(), body]
        command = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
        message = {"id": id, "class": cls, "dest": dest, "d": d, "body": body, "key": key,
                   "sent": time.time(), "answer": None}
        self.world.messages[id] = message
        self.world.record("send %s class %s dest %d d %d" % (id, cls, dest, d))
        for attempt in range(2):
            try:
                if self.writer is None:
                    await self.open()
                self.writer.write(command)
                line = await asyncio.wait_for(self.reader.readline(), 0.4)
            except asyncio.TimeoutError:
                message["answer"] = "none in 400 ms"
                self.close()
                break
            except OSError as error:
                line, message["answer"] = b"", repr(error)
            if line.endswith(b"\r\n"):
                message["answer"] = line.decode("latin1").strip()
                message["answered"] = time.time()
                break
            self.close()
            message["answer"] = "closed with no answer"
        message["taken"] = message["answer"].startswith("+")
        self.world.record("reply %s: %s" % (id, message["answer"]))
        return message


class Traffic:
    """Messages of usual clients at a steady rate, each on a new connection, to the destinations in turn."""

    def __init__(self, world, node, deadline, per_second, destinations, cls="zone-notice", keyed=True,
                 size=0, first=1):
        self.world, self.node, self.deadline, self.gap = world, node, deadline, 1.0 / per_second
        self.destinations, self.cls, self.keyed, self.size = destinations, cls, keyed, size
        self.first = self.next = first
        self.tasks, self.loop_task = [], None

    def start(self):
        self.loop_task = asyncio.ensure_future(self.run())

    async def run(self):
        while True:
            self.tasks.append(asyncio.ensure_future(self.one(self.next)))
            self.next += 1
            await asyncio.sleep(self.gap)

    @staticmethod
    def id(number):
        return "%016x" % (0x9b1f03aa00000000 + number)

    def ids(self):
        return [self.id(number) for number in range(self.first, self.next)]

    async def one(self, number):
        client = Client(self.world, self.node.port)
        await client.send(self.id(number), self.cls, number % self.destinations + 1,
                          self.deadline, (b"notice %d" % number).ljust(self.size, b"."),
                          key="%016x" % (0x5c0f6e1a00000000 + number) if self.keyed else None)
        client.close()

    async def stop(self):
        self.loop_task.cancel()
        await asyncio.gather(*self.tasks)


# ---- The case ------------------------------------------------------------------------------------------------


class World:
    def __init__(self, folder, record):
        self.case = folder
        self.record = Record(os.path.join(folder, record))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.logs = os.environ.get("REVIEW_LOGS") or self.folder
        os.makedirs(self.logs, exist_ok=True)
        self.calls, self.notices, self.messages, self.nodes = [], [], {}, []
        self.platform = Platform(self)
        self.endpoints = []

    async def endpoint(self, *args, **more):
        endpoint = Endpoint(self, *args, **more)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.platform.set(endpoint.entry())
        return endpoint

    async def new_platform(self, down):
        """A new address of discovery and notices, with the same list; returns the old one."""
        old, self.platform = self.platform, Platform(self)
        self.platform.seq, self.platform.entries, self.platform.history = old.seq, old.entries, old.history
        self.platform.down = down
        await self.platform.start()
        self.record("discovery moves to %s%s" % (self.platform.address, ", silent" if down else ""))
        return old

    def replace_endpoints(self, new):
        """`new`: (id, destination, number from 1 of the endpoint at whose address it stands). Those that stood
        there have gone: their connections are reset, as their processes have ended."""
        for host, dest, of in new:
            endpoint = self.endpoints[of - 1]
            for writer in list(endpoint.connections):
                writer.transport.abort()
            endpoint.host, endpoint.dest = host, dest
        for host, dest, of in new:
            self.platform.set(self.endpoints[of - 1].entry())

    def node(self, name, config):
        node = Node(self, name, config)
        self.nodes.append(node)
        return node

    def clean(self):
        for node in self.nodes:
            for process in node.processes:
                if process.returncode is None:
                    try:
                        os.killpg(process.pid, signal.SIGKILL)
                    except ProcessLookupError:
                        pass
        shutil.rmtree(self.folder, ignore_errors=True)

    # The rule on lost messages: taken on, and neither delivered (a first line with 200 was written) nor ended
    # by a notice 300 ms after its time is up. `slack` is added for this machine.
    def lost(self, slack=1.0, not_before=0.0):
        """`not_before`: no notice is overdue before this instant."""
        bad = []
        ended = {}  # by id: when it was delivered, and when a notice came
        for call in self.calls:
            if call["status"] == 200 and "answered" in call:
                ended.setdefault(call["id"], []).append(call["answered"])
        for notice in self.notices:
            ended.setdefault(notice["id"], []).append(notice["at"])
        for message in self.messages.values():
            if not message["taken"]:
                continue
            due = max(message["sent"] + message["d"] / 1000.0 + 0.35, not_before) + slack
            if not any(at <= due for at in ended.get(message["id"], [])):
                bad.append("lost: %s, taken on, has neither been delivered nor ended by a notice %.2f s after "
                           "its time was up" % (message["id"], due - message["sent"] - message["d"] / 1000.0))
        return bad

    # Calls that no client handed in like this: another destination, body or key than the message's.
    def foreign(self):
        bad = []
        for call in self.calls:
            message = self.messages.get(call["id"])
            if message is None or message["dest"] != call["dest"] or message["body"] != call["body"] or \
                    message["key"] != call["key"]:
                bad.append("foreign: a call %s at dest %d that no client handed in" % (call["id"], call["dest"]))
        return bad

    def calls_since(self, seconds):
        return len([c for c in self.calls if c["at"] > time.time() - seconds])

    def summary(self, breaks):
        taken = sum(m["taken"] for m in self.messages.values())
        self.record("messages %d, taken on %d, calls %d, notices %d, breaks %d" %
                    (len(self.messages), taken, len(self.calls), len(self.notices), len(breaks)))
        if taken * 2 < len(self.messages):
            raise CannotRun("over half of the messages were not taken on")
        return breaks

    def runs(self, id):
        return [c for c in self.calls if c["id"] == id and c["ran"]]


def play(case, main, record):
    """Runs `main(world)`, which returns the list of the rule's breaks; exits with 0, 1 or 2. `record` is the file
    in the case's folder that takes what was sent, answered and run."""
    world = World(os.path.dirname(os.path.abspath(case)), record)
    result = 2

    def interrupted(number, frame):
        """Ended from outside: the processes that the case started end with it."""
        world.clean()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupted)

    async def run():
        await world.platform.start()
        return await asyncio.wait_for(main(world), 112)

    try:
        breaks = asyncio.run(run())
        for text in breaks:
            world.record("BROKEN: " + text)
        print("%d breaks%s" % (len(breaks), ": " + breaks[0] if breaks else ""))
        result = 1 if breaks else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("could not run: %r" % error)
        world.record("could not run: %r" % error)
    except Exception:
        traceback.print_exc()
    world.clean()
    world.record("exit %d" % result)
    sys.stdout.flush()
    os._exit(result)
