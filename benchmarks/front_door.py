#!/usr/bin/env python3
"""Measures the built node as its operators meet it ("front door"), with examples/toy_world.py on loopback: time
to start, memory, time to apply a configuration change and to roll back a bad one, and latency while nobody reads
the log.

    benchmarks/front_door.py build/indigosaddle [--before OLD_PROGRAM]

OLD_PROGRAM, an older build to compare with, is started with examples/config.json, as builds older than this
benchmark were. Takes about a minute."""
import json, os, re, socket, subprocess, sys, tempfile, threading, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def start_platform():
    process = subprocess.Popen([sys.executable, ROOT + "/examples/toy_world.py", "0"], stdout=subprocess.PIPE, text=True)
    for line in process.stdout:
        if line.startswith("discovery "):
            threading.Thread(target=lambda: [None for _ in process.stdout], daemon=True).start()
            return process, line.split()[1]
    sys.exit("examples/toy_world.py did not start")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def command(*parts):
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in (x.encode() for x in parts))


def wait_until_ready(port, began):
    while time.time() - began < 10:
        try:
            with socket.create_connection(("127.0.0.1", port)) as s:
                s.sendall(command("PING"))
                if s.recv(64) == b"+PONG\r\n":
                    return (time.time() - began) * 1e3
        except OSError:
            time.sleep(0.0005)
    sys.exit("the node did not start")


def memory(pid):
    text = open(f"/proc/{pid}/status").read()
    return {name: int(re.search(name + r":\s+(\d+)", text)[1]) for name in ("VmHWM", "RssAnon", "RssFile")}


class Control:
    def __init__(self, path):
        self.socket = socket.socket(socket.AF_UNIX)
        self.socket.connect(path)
        self.file = self.socket.makefile("r")

    def ask(self, **request):
        self.socket.sendall(json.dumps(request).encode() + b"\n")
        return json.loads(self.file.readline())


def send_messages(port, seconds, rate, busy, latencies):
    """Open loop: sends messages on a fixed schedule; a latency runs from the scheduled instant to the answer."""
    s = socket.create_connection(("127.0.0.1", port))
    count, began, sent, buffer = int(seconds * rate), time.time(), [], b""

    def read():
        nonlocal buffer
        for i in range(count):
            while b"\r\n" not in buffer:
                more = s.recv(65536)
                if not more:
                    return
                buffer += more
            line, buffer = buffer.split(b"\r\n", 1)
            latencies.append((time.time() - (began + i / rate)) * 1e3)
            busy.append(line.startswith(b"-BUSY"))

    reader = threading.Thread(target=read)
    reader.start()
    for i in range(count):
        wait = began + i / rate - time.time()
        if wait > 0:
            time.sleep(wait)
        message_id = os.urandom(8).hex()
        s.sendall(command("ENQUEUE", "0" * 16, message_id, f"c=notice,t=acme,d=20000,k={message_id},dest=7", "x"))
    reader.join(10)
    s.close()


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def start(program, arguments, environment, log):
    began = time.time()
    return subprocess.Popen([program, *arguments], env={**os.environ, **environment}, stderr=log), began


def main():
    program = os.path.abspath(sys.argv[1])
    before = sys.argv[sys.argv.index("--before") + 1] if "--before" in sys.argv else None
    platform, discovery = start_platform()
    work = tempfile.mkdtemp()
    config = open(ROOT + "/examples/config.json").read().replace("127.0.0.1:8500", discovery)
    open(work + "/config.json", "w").write(config)
    toml = open(ROOT + "/examples/indigosaddle.toml").read().replace("127.0.0.1:8500", discovery)
    toml = toml.replace('trial = "10s"', 'trial = "2s"\nbefore = "10s"\n[log]\nlevel = "debug"\nlines_per_second = 100000')
    open(work + "/node.toml", "w").write(toml)
    try:
        for name, path, arguments in [("before", before, []), ("now", program, []),
                                      ("now, with an operator's file", program, ["serve", "--config", work + "/node.toml"])]:
            if path is None:
                continue
            starts, sizes = [], []
            for i in range(11):
                state, port = tempfile.mkdtemp(), free_port()
                environment = {"EDGE_STATE": state, "EDGE_LISTEN": f"127.0.0.1:{port}"}
                if not arguments:
                    environment["EDGE_CONFIG"] = work + "/config.json"
                node, began = start(path, arguments, environment, subprocess.DEVNULL)
                starts.append(wait_until_ready(port, began))
                time.sleep(0.2)
                sizes.append(memory(node.pid))
                node.kill()
                node.wait()
            size = {k: percentile([s[k] for s in sizes], 0.5) for k in sizes[0]}
            print(f"{name}: start to PONG {percentile(starts, 0.5):.1f} ms (median of 11); {size} kB")

        state, port = tempfile.mkdtemp(), free_port()
        environment = {"EDGE_STATE": state, "EDGE_LISTEN": f"127.0.0.1:{port}"}
        arguments = ["serve", "--config", work + "/node.toml"]
        for name, log in [("log read", subprocess.DEVNULL), ("log not read for 5 s", subprocess.PIPE)]:
            node, began = start(program, arguments, environment, log)
            wait_until_ready(port, began)
            time.sleep(0.5)
            latencies, busy = [], []
            send_messages(port, 5, 1000, busy, latencies)
            status = Control(state + "/control.sock").ask(op="status")
            print(f"{name}: 1000 messages/s for 5 s: answers p50 {percentile(latencies, .5):.2f} ms, p99 "
                  f"{percentile(latencies, .99):.2f} ms; {len(latencies)} answers, {sum(busy)} busy; "
                  f"log lines {status['log']['lines']}, lost {status['log']['dropped']}")
            node.kill()
            node.wait()

        node, began = start(program, arguments, environment, subprocess.DEVNULL)
        wait_until_ready(port, began)
        control = Control(state + "/control.sock")
        applies = []
        for i in range(21):
            began = time.time()
            answer = control.ask(op="apply", document=toml.replace("call_slots = 8", f"call_slots = {9 + i % 2}"), author="bench")
            applies.append((time.time() - began) * 1e3)
            assert answer["ok"], answer
            began = time.time()
            assert control.ask(op="rollback", author="bench")["ok"]
        print(f"apply to in force {percentile(applies, .5):.2f} ms (median of 21, most {max(applies):.2f})")
        trial_results = []
        for i in range(5):
            latencies, busy = [], []
            load = threading.Thread(target=send_messages, args=(port, 6, 60, busy, latencies))
            load.start()
            time.sleep(3)
            began = time.time()
            answer = control.ask(op="apply", document=toml.replace("call_slots = 8", "call_slots = 1").replace(
                "holding_room = 100", "holding_room = 1"), author="bench")
            number = answer["generation"]
            while True:
                last = control.ask(op="history")["generations"][-1]
                if last["generation"] != number or last["result"] != "on trial":
                    break
                time.sleep(0.005)
            trial_results.append((last["result"], round((time.time() - began) * 1e3)))
            load.join()
        print(f"holding room 1 at 60 messages/s: {trial_results} (result, ms from apply)")
        node.kill()
        node.wait()
    finally:
        platform.kill()


main()
