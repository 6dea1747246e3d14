"""Long uploads while one of four hosts hangs: does each request get its final answer in its time?"""
import collections
import fcntl
import os
import signal
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import testbed
from testbed import LOOPBACK, category, request_head, read_answer

HOSTS = 4
DEADLINE_MS = 4000   # charge-ship: given up after 4 s
WARM_UP = 60         # short requests before the trouble
UPLOADS = 48
SIZES = [4_500_000 + step * 250_000 for step in range(9)]  # 4.5 to 6.5 MB; the pages have bodies of up to 32 MB
LATE_MS = 500 + 50   # the half second of the standing test, and the 50 ms by which limits are longer on sockets
SIOCOUTQ = 0x5411    # bytes in the client's socket that the other machine has not acknowledged


def small(port, number):
    with socket.create_connection((LOOPBACK, port), timeout=5) as connection:
        connection.sendall(request_head("small-%d" % number, "charge-ship", DEADLINE_MS, "POST", 100) + b"x" * 100)
        return read_answer(connection.makefile("rb"))


def upload(bed, port, number, size, lost):
    """A client that sends one request with a long body and waits for its answer until its time is up, and a bit more."""
    name = "long-%d" % number
    with socket.create_connection((LOOPBACK, port)) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(8)
        try:
            connection.sendall(request_head(name, "charge-ship", DEADLINE_MS, "POST", size) + b"x" * size)
        except OSError as error:  # the last byte was not written: the gateway has not taken this request
            return bed.say("%s: %d bytes, not written whole (%r): not judged" % (name, size, error))
        written = time.time()
        connection.settimeout((DEADLINE_MS + LATE_MS) / 1000)
        try:
            answer = read_answer(connection.makefile("rb"))
            what = "the connection ended without an answer" if answer is None else "answered %d" % answer[0]
        except TimeoutError:
            answer, what = None, "NO ANSWER"
        unseen = struct.unpack("i", fcntl.ioctl(connection, SIOCOUTQ, b"\0" * 4))[0]
        bed.say("%s: %d bytes, last byte written at %s; %s %.3f s after it (its time: %.1f s); "
                "bytes that had not reached the gateway's machine: %d"
                % (name, size, bed.at(written), what, time.time() - written, DEADLINE_MS / 1000, unseen))
        if answer is None:
            lost.append(name)


def play(bed):
    ports = testbed.free_ports(HOSTS + 1)
    discovery = testbed.Discovery(bed)
    hosts = []
    for index in range(HOSTS):
        address = "%s:%d" % (LOOPBACK, ports[index])
        hosts.append(bed.host("h%d" % index, address))
        discovery.put(discovery.entry("h%d" % index, address))
    port = ports[HOSTS]
    listen = "%s:%d" % (LOOPBACK, port)
    bed.gateway("n0", {
        "name": "n0", "listen": listen, "discovery": discovery.address, "seed": "%x" % time.time_ns(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.snapshot(),
        "settings": testbed.settings([category("plan-view", "pure", 600, 1500),
                                      category("charge-ship", "side_effect", 800, DEADLINE_MS, 5.0)])})
    testbed.wait_until(lambda: testbed.call(listen, "GET", "/up")[0] == 200, 20, "the gateway's /up")
    for number in range(WARM_UP):
        answer = small(port, number)
        if answer is None or answer[0] != 200:
            raise testbed.CannotRun("a short request with all hosts well got %s" % (answer,))
        bed.say("small-%d: sent, and answered %d" % (number, answer[0]))
    served = collections.Counter(line["host"] for line in bed.ran())
    busiest = served.most_common(1)[0][0]  # any host may hang; this one matters most to the clients
    bed.say("%d short requests served by %s" % (WARM_UP, dict(served)))
    if bed.trouble:
        hosts[int(busiest[1:])].send_signal(signal.SIGSTOP)
        bed.say("host %s hangs from now on (1 of %d)" % (busiest, HOSTS))
    lost, clients = [], []
    for number in range(UPLOADS):
        client = threading.Thread(target=upload, args=(bed, port, number, SIZES[number % len(SIZES)], lost))
        client.start()
        clients.append(client)
        time.sleep(0.15)
    for client in clients:
        client.join()
    bed.say("%d of %d requests were written whole and had no answer %.2f s after their time: %s"
            % (len(lost), UPLOADS, LATE_MS / 1000, " ".join(sorted(lost))))
    return bool(lost)


testbed.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
