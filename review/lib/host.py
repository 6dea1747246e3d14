#!/usr/bin/env python3
"""Stand-in for a host: HTTP/1.1 over TCP as the protocol page describes it. One process per host, so that a test can
stop or kill it. Each request that has come whole is written to the record file, one JSON object a line.

    host.py ID ADDRESS:PORT RECORD [--work-ms N] [--answer-bytes N]

ID and ADDRESS:PORT may be lists of equal length, with commas: then one process stands for so many hosts.
"""
import json
import selectors
import socket
import sys
import threading
import time


def read_request(stream):
    """The next request as (method, target, fields, body length), or None at the end of the connection."""
    line = stream.readline(65536)
    if not line or not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    fields = {}
    while True:
        line = stream.readline(65536)
        if not line.endswith(b"\r\n"):
            return None
        if line == b"\r\n":
            break
        name, value = line.decode("latin-1").split(":", 1)
        fields[name.strip().lower()] = value.strip()
    size = 0
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = stream.readline(65536)
            if not line.endswith(b"\r\n"):
                return None
            length = int(line.split(b";")[0], 16)
            if length == 0:
                while True:
                    line = stream.readline(65536)
                    if not line.endswith(b"\r\n"):
                        return None
                    if line == b"\r\n":
                        break
                break
            if not skip(stream, length + 2):
                return None
            size += length
    else:
        size = int(fields.get("content-length", "0"))
        if not skip(stream, size):
            return None
    return method, target, fields, size


def skip(stream, length):
    while length > 0:
        piece = stream.read(min(length, 65536))
        if not piece:
            return False
        length -= len(piece)
    return True


class Host:
    def __init__(self, name, record, work, answer_bytes):
        self.name, self.work, self.answer_bytes = name, work, answer_bytes
        self.record = record

    lock = threading.Lock()

    def write(self, **what):
        with self.lock:
            self.record.write(json.dumps({"t": round(time.time(), 4), "host": self.name, **what}) + "\n")

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb", 262144)
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    return
                method, target, fields, size = request
                if target in ("/alive", "/metrics/load"):
                    status, body, extra = "200 OK", b"alive\n", ""
                elif "req-id" not in fields:
                    status, body, extra = "404 Not Found", b"no id\n", ""
                else:
                    answer = "answer to %s by %s\n" % (fields["req-id"], self.name)
                    self.write(id=fields["req-id"], method=method, kind=fields.get("req-kind"), body=size,
                               says_ms=fields.get("req-deadline"))
                    time.sleep(self.work)
                    status, body, extra = "200 OK", answer.encode().ljust(self.answer_bytes, b"."), ""
                connection.sendall(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, extra, len(body))).encode() + body)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()


def listen(address):
    ip, port = address.rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, int(port)))
    listener.listen(128)
    return listener


def main():
    names, addresses, record = sys.argv[1:4]
    options = dict(zip(sys.argv[4::2], sys.argv[5::2]))
    work, answer_bytes = float(options.get("--work-ms", 20)) / 1000, int(options.get("--answer-bytes", 0))
    record = open(record, "a", buffering=1)
    selector = selectors.DefaultSelector()
    for name, address in zip(names.split(","), addresses.split(",")):
        selector.register(listen(address), selectors.EVENT_READ, Host(name, record, work, answer_bytes))
    print("ready", flush=True)
    while True:
        for key, _ in selector.select():
            connection, _ = key.fileobj.accept()
            threading.Thread(target=key.data.serve, args=(connection,), daemon=True).start()


main()
