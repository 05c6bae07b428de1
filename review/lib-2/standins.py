"""Stand-ins for the cases of the second review: endpoints, the platform (discovery and notices) and clients, as
kit/real/PROTOCOL.md describes them, and the start of delivery nodes by `run` of deploy/balancer.toml.

One asyncio loop runs all stand-ins. Every address is on 127.0.0.1. Everything that happens goes to Record."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played as described: says nothing about the rule."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {what} {text}\n".rstrip() + "\n")
        self.file.flush()


async def read_request(reader):
    """(method, path, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers, body


def answer(status, extra="", body=b""):
    reason = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests",
              500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Other")
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} {reason}\r\n{length}{extra}\r\n".encode() + body


class Server:
    """Accepts connections on one port of 127.0.0.1 and can close the port and all connections."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20, backlog=512)
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self):
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        self.stop_listening()
        self.close_connections()


class Endpoint(Server):
    """An endpoint. `behave(endpoint, headers, body)` returns the bytes of the answer, or None for no answer."""

    def __init__(self, record, host, block, behave=None, port=None):
        super().__init__(port)
        self.record, self.host, self.block = record, host, block
        self.behave = behave or (lambda *_: answer(200))
        self.calls = []  # (time, id, body length) of each call that came whole
        self.answered = []  # (id, time) of each 200 that was written

    def entry(self, health="Ready"):
        return {"host": self.host, "dial": self.address, "site": "here", "class": "shop", "block": self.block,
                "health": health, "share": 1.0, "born_ms": 0}

    async def serve_one(self, reader, writer):
        method, path, headers, body = await read_request(reader)
        message = headers.get("x-trace-id", "")
        self.calls.append((self.record.now(), message, len(body)))
        reply = self.behave(self, headers, body)
        later = asyncio.iscoroutine(reply)
        self.record("call", endpoint=self.host, block=self.block, at=self.address, id=message, bytes=len(body),
                    answer="later" if later else "none" if reply is None else reply[9:12].decode())
        if later:
            reply = await reply
        if reply is None:
            await asyncio.sleep(3600)
        writer.write(reply)
        if reply[9:12] == b"200":
            self.answered.append((message, self.record.now()))
        await writer.drain()


class Platform(Server):
    """Discovery and notices. `refuse`: requests for the list are answered 503; notices are taken all the same."""

    def __init__(self, record, name="platform", port=None):
        super().__init__(port)
        self.record, self.name = record, name
        self.entries = {}  # by host
        self.changes = []  # (seq, entry)
        self.seq = 1
        self.refuse = False
        self.notices = {}  # id -> (time, state)
        self.waits = {}    # id -> after_ms
        self.news = asyncio.Event()

    def set(self, *entries):
        """One change of the list, with all these entries in one line."""
        self.seq += 1
        for entry in entries:
            self.changes.append((self.seq, entry))
            if entry["health"] == "Gone":
                self.entries.pop(entry["host"], None)
            else:
                self.entries[entry["host"]] = entry
            self.record("list", at=self.name, seq=self.seq, host=entry["host"], block=entry["block"],
                        dial=entry["dial"], health=entry["health"])
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    async def serve_one(self, reader, writer):
        method, path, _, body = await read_request(reader)
        if method == "POST" and path == "/v1/notices":
            for line in body.decode().splitlines():
                notice = json.loads(line)
                self.notices.setdefault(notice["id"], (self.record.now(), notice["state"]))
                if "after_ms" in notice:
                    self.waits.setdefault(notice["id"], notice["after_ms"])
                self.record("notice", at=self.name, **notice)
            writer.write(answer(204))
            return await writer.drain()
        if self.refuse:
            self.record("list.refused", at=self.name, path=path)
            writer.write(answer(503))
            return await writer.drain()
        if "watch=1" not in path:
            text = json.dumps(self.whole()).encode()
            writer.write(answer(200, body=text))
            self.record("list.whole", at=self.name, seq=self.seq)
            return await writer.drain()
        told = int(re.search(r"from=(\d+)", path).group(1))
        self.record("list.watch", at=self.name, since=told, seq=self.seq)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            news = self.news
            entries = [entry for seq, entry in self.changes if seq > told]
            if first or entries:
                line = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode() + b"\n"
            else:
                line = b"\n"
            told, first = self.seq, False
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            try:
                await asyncio.wait_for(news.wait(), 2.0)
            except asyncio.TimeoutError:
                pass


def settings(**changes):
    """Settings of a small deployment: those of examples/config.json, with the classes that a case needs."""
    with open(os.path.join(ROOT, "examples", "config.json"), encoding="utf-8") as file:
        config = json.load(file)
    result = config["settings"]
    result.update(changes)
    return result


def keyed_class(name, deadline_ms, aim_ms=2500.0, key_ttl_ms=20000.0):
    return {"name": name, "effect": "idempotency_key", "group": "all", "keyTtl": key_ttl_ms, "aim": aim_ms,
            "deadline": float(deadline_ms), "worth": 1.0, "lateValue": 0.4}


class Node:
    """Processes of one delivery node, started as the deploy file says."""

    def __init__(self, record, name, node_settings, discovery, limits=None):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            self.run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.state = os.path.join(self.folder, "state")
        os.mkdir(self.state)
        self.port = free_port()
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "5eed",
                       "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
                       "settings": node_settings}
        self.path = os.path.join(self.folder, "config.json")
        self.processes = []
        self.controls = {}

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.rename(self.path + ".new", self.path)

    async def start(self, label):
        """Starts `run` once more and waits until that process says yes at its second address."""
        control = f"127.0.0.1:{free_port()}"
        self.config["control"] = control
        self.write_config()
        temporary = os.path.join(self.folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": temporary,
                       "EDGE_NAME": self.name, "EDGE_LISTEN": f"127.0.0.1:{self.port}",
                       "EDGE_DISCOVERY": self.config["discovery"], "EDGE_STATE": self.state,
                       "EDGE_CONFIG": self.path, "EDGE_CONTROL": control}
        log = open(os.path.join(self.folder, f"log-{label}"), "wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        self.record("process.started", label=label)
        until = time.monotonic() + 6
        while time.monotonic() < until:
            if process.returncode is not None:
                raise CannotRun(f"{label} ended at its start with {process.returncode}: {self.log(label)[-500:]}")
            if await http_status(control, "GET", "/admin/health") == 200:
                self.record("process.ready", label=label)
                return process
            await asyncio.sleep(0.02)
        raise CannotRun(f"{label} was not ready within 6 s: {self.log(label)[-500:]}")

    def log(self, label):
        with open(os.path.join(self.folder, f"log-{label}"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, process, number, label):
        self.record("signal", label=label, number=signal.Signals(number).name)
        process.send_signal(number)

    async def wait_end(self, process, label, seconds):
        try:
            code = await asyncio.wait_for(process.wait(), seconds)
        except asyncio.TimeoutError:
            return None
        self.record("process.ended", label=label, code=code)
        return code

    async def clean_up(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http_status(address, method, path):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1)
        return int(line.split(b" ")[1]) if line else 0
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0
    finally:
        writer.close()


def command(*words):
    parts = [word if isinstance(word, bytes) else str(word).encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Clients:
    """Clients: each message on a connection of its own (`fresh`) or on one that is kept."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.taken = {}  # id -> (time handed in, time answered, d in s, destination)
        self.refused, self.unanswered = [], []
        self.count = 0

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def hand_in(self, fields, destination, time_ms, body=b"hello", connection=None, key=True, prefix="m",
                      order="0" * 16):
        self.count += 1
        message = f"{prefix}{self.count:06d}"
        text = f"{fields},d={time_ms},dest={destination}" + (f",k={message}" if key else "")
        at = self.record.now()
        own = connection is None
        try:
            reader, writer = connection or await asyncio.wait_for(self.connect(), 0.4)
        except (OSError, asyncio.TimeoutError):
            self.record("client.no_connection", id=message)
            return message, None
        line = b""
        try:
            writer.write(command("ENQUEUE", order, message, text, body))
            line = await asyncio.wait_for(reader.readline(), 0.4)
        except (OSError, asyncio.TimeoutError):
            pass
        if own:
            writer.close()
        self.record("client", id=message, key=order.lstrip("0") or "none", dest=destination, d=time_ms, bytes=len(body),
                    answer=line.decode().strip() or "none")
        if line.startswith(b"+") or line.startswith(b"$"):
            self.taken[message] = (at, self.record.now(), time_ms / 1000, destination)
        elif line:
            self.refused.append(message)
        else:
            self.unanswered.append(message)
        return message, line


def main(case, folder):
    """Plays `case(record)`, a coroutine that returns (broken, text). Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    record("case", folder=os.path.basename(folder), trouble=int(TROUBLE))

    async def play():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record), 110)

    try:
        broken, text = asyncio.run(play())
        code = BROKEN if broken else HELD
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        code, text = COULD_NOT_RUN, f"could not run: {type(error).__name__} {error}"
    record("result", code=code, text=text)
    print(text)
    sys.exit(code)
