#!/usr/bin/env python3
"""Stand-ins on loopback for the systems around one delivery node: an endpoint, and a platform that serves
discovery and receives notices.

Prints every message that is delivered and every notice. The first line gives the address of discovery."""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b""):
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Endpoint(QuietHandler):
    def do_POST(self):
        body = self.body().decode("utf-8", "replace")
        print(f"delivered {self.headers['X-Trace-Id']}: {body}", flush=True)
        self.answer(200)


class Platform(QuietHandler):
    members = []

    def do_GET(self):
        if "watch=1" not in self.path:
            return self.answer(200, self.list_line(True, self.members))
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        line = self.list_line(False, [])
        try:
            while True:  # nothing ever changes here: an empty line every 2 s shows that the watch is alive
                self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                self.wfile.flush()
                time.sleep(2)
                line = b"\n"
        except OSError:
            self.close_connection = True

    def do_POST(self):
        for line in self.body().decode().splitlines():
            print(f"notice {line}", flush=True)
        self.answer(204)

    @staticmethod
    def list_line(whole, members):
        return json.dumps({"seq": 1, "whole": whole, "hosts": members}).encode() + b"\n"


def main():
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 8500
    endpoint = ThreadingHTTPServer(("127.0.0.1", 0), Endpoint)
    Platform.members = [{"host": "toy-1", "dial": "127.0.0.1:%d" % endpoint.server_port, "site": "here",
                         "class": "shop", "block": 7, "health": "Ready", "share": 1.0, "born_ms": 0}]
    platform = ThreadingHTTPServer(("127.0.0.1", port), Platform)
    endpoint.daemon_threads = platform.daemon_threads = True
    print("discovery 127.0.0.1:%d" % platform.server_port, flush=True)
    threading.Thread(target=endpoint.serve_forever, daemon=True).start()
    try:
        platform.serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
