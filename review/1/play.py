"""Some clients send many requests at once and go; answers are long. Does the gateway go on serving the others?"""
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import testbed
from testbed import LOOPBACK, category, request_head, read_answer

HOSTS, WORK_MS, ANSWER_BYTES = 4, 20, 100_000  # the pages have answers of up to 32 MB
SECONDS, CLIENTS, PAUSE_S = 20, 4, 0.1         # the usual clients
BAD_CLIENTS, AT_ONCE = 20, 200                 # one bad client every 0.5 s; "hundreds of requests at once"


class Usual(threading.Thread):
    """A usual client: one request at a time on a connection that it keeps."""

    def __init__(self, bed, port, number, until):
        super().__init__()
        self.bed, self.port, self.number, self.until = bed, port, number, until
        self.served, self.lost = 0, []

    def run(self):
        connection, stream, count = None, None, 0
        while time.time() < self.until:
            name = "usual%d-%d" % (self.number, count)
            count += 1
            written = False
            try:
                if connection is None:
                    connection = socket.create_connection((LOOPBACK, self.port), timeout=5)
                    stream = connection.makefile("rb")
                connection.sendall(request_head(name, "charge-ship", 4000, "POST", 100) + b"x" * 100)
                written = True
                self.bed.say("%s: sent" % name)
                answer = read_answer(stream)
            except OSError:
                answer = None
            if answer is not None:
                self.served += answer[0] == 200
                self.bed.say("%s: answered %d, %d bytes" % (name, answer[0], len(answer[1])))
            else:
                connection = None
                if written:
                    self.lost.append(name)
                    self.bed.say("%s: written whole, and its connection ended without an answer" % name)
            time.sleep(PAUSE_S)


def bad_client(port, number, stay):
    """Returns the number of bytes that it has read."""
    count = 0
    with socket.create_connection((LOOPBACK, port), timeout=5) as connection:
        connection.sendall(b"".join(request_head("bad%d-%d" % (number, index), "plan-view", 1500) for index in range(AT_ONCE)))
        connection.settimeout(0.005)
        until = time.time() + stay
        while time.time() < until:  # it reads what is sent to it, in pieces, until it goes
            try:
                count += len(connection.recv(16384))
            except TimeoutError:
                continue
            time.sleep(0.005)
    return count


def play(bed):
    ports = testbed.free_ports(HOSTS + 1)
    discovery = testbed.Discovery(bed)
    for index in range(HOSTS):
        address = "%s:%d" % (LOOPBACK, ports[index])
        bed.host("h%d" % index, address, WORK_MS, ANSWER_BYTES)
        discovery.put(discovery.entry("h%d" % index, address))
    port = ports[HOSTS]
    listen = "%s:%d" % (LOOPBACK, port)
    gateway = bed.gateway("n0", {
        "name": "n0", "listen": listen, "discovery": discovery.address, "seed": "%x" % time.time_ns(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.snapshot(),
        "settings": testbed.settings([category("plan-view", "pure", 600, 1500),
                                      category("charge-ship", "side_effect", 800, 4000, 5.0)])})
    testbed.wait_until(lambda: testbed.call(listen, "GET", "/up")[0] == 200, 20, "the gateway's /up")
    until = time.time() + SECONDS
    usual = [Usual(bed, port, number, until) for number in range(CLIENTS)]
    for client in usual:
        client.start()
    time.sleep(2)
    sent = 0
    while bed.trouble and sent < BAD_CLIENTS and gateway.poll() is None:
        stay = 0.035 + 0.007 * sent
        bed.say("bad client %d sends %d requests at once, and goes after %.3f s" % (sent, AT_ONCE, stay))
        try:
            bed.say("bad client %d has read %d bytes and is gone" % (sent, bad_client(port, sent, stay)))
        except OSError as error:
            bed.say("bad client %d: %r" % (sent, error))
        sent += 1
        time.sleep(0.5)
    if gateway.poll() is not None:
        bed.say("THE GATEWAY HAS ENDED with status %d (negative: that signal) after %d bad clients"
                % (gateway.poll(), sent))
    for client in usual:
        client.join()
    bed.say("usual clients: %d requests served, %d written whole and never answered"
            % (sum(client.served for client in usual), sum(len(client.lost) for client in usual)))
    return gateway.poll() is not None


testbed.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
