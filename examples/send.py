#!/usr/bin/env python3
"""Sends one message to a delivery node and prints its id and the node's answer: send.py BODY [ADDRESS]."""

import secrets
import socket
import sys


def main():
    body = (sys.argv[1] if len(sys.argv) > 1 else "hello").encode()
    host, port = (sys.argv[2] if len(sys.argv) > 2 else "127.0.0.1:6379").rsplit(":", 1)
    message, key = secrets.token_hex(8), secrets.token_hex(8)
    parts = [b"ENQUEUE", b"0" * 16, message.encode(), f"c=notice,t=acme,d=20000,k={key},dest=7".encode(), body]
    request = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
    with socket.create_connection((host, int(port)), timeout=10) as node:
        node.sendall(request)
        print(message, node.makefile().readline().strip())


if __name__ == "__main__":
    main()
