"""A new version under load while hosts are out for maintenance, in front of 1,600 hosts: do these hosts stay out?"""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import testbed
from testbed import LOOPBACK, category, request_head, read_answer
import socket
import threading

HOSTS, IN_A_PROCESS = 1600, 400   # the pages have fleets of up to 3,200 hosts
OUT = 80                          # one of twenty is taken out
GRACE_S = 1.0 + 0.05              # of a drain, and the 50 ms by which limits are longer on sockets
RATE, CLIENTS = 100, 10           # requests a second


def client(bed, port, number, until, counts):
    """One request at a time on a connection that is kept; a request that the gateway's close crosses is sent again."""
    connection, stream, count = None, None, 0
    while time.time() < until:
        due = time.time() + CLIENTS / RATE
        for _ in range(2):
            try:
                if connection is None:
                    connection = socket.create_connection((LOOPBACK, port), timeout=5)
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    stream = connection.makefile("rb")
                connection.sendall(request_head("c%d-%d" % (number, count), "charge-ship", 4000, "POST", 100) + b"x" * 100)
                answer = read_answer(stream)
            except OSError:
                answer = None
            if answer is not None:
                break
            connection = None
        status = answer[0] if answer else "none"
        counts[status] = counts.get(status, 0) + 1
        bed.say("c%d-%d: sent, and answered: %s" % (number, count, status))
        count += 1
        time.sleep(max(0, due - time.time()))


def play(bed):
    ports = testbed.free_ports(4)
    discovery = testbed.Discovery(bed)
    names = ["s-%08x" % (number * 2654435761 % 2**32) for number in range(HOSTS)]
    addresses = ["127.0.%d.%d:%d" % (1 + number // 200, 1 + number % 200, ports[3]) for number in range(HOSTS)]
    for first in range(0, HOSTS, IN_A_PROCESS):
        bed.host(",".join(names[first:first + IN_A_PROCESS]), ",".join(addresses[first:first + IN_A_PROCESS]), work_ms=5)
    discovery.put(*[discovery.entry(name, address) for name, address in zip(names, addresses)])
    listen, admin, next_admin = ("%s:%d" % (LOOPBACK, port) for port in ports[:3])
    old = bed.gateway("n0", {
        "name": "n0", "listen": listen, "admin": admin, "discovery": discovery.address, "seed": "%x" % time.time_ns(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.snapshot(),
        "settings": testbed.settings([category("plan-view", "pure", 600, 1500),
                                      category("charge-ship", "side_effect", 800, 4000, 5.0)])})
    testbed.wait_until(lambda: testbed.call(admin, "GET", "/status")[0] == 200, 20, "the gateway's yes")
    until, counts = time.time() + 20, {}
    clients = [threading.Thread(target=client, args=(bed, ports[0], number, until, counts)) for number in range(CLIENTS)]
    for one in clients:
        one.start()
    time.sleep(4)
    out = names[::HOSTS // OUT]
    for name in out:
        status, _ = testbed.call(admin, "PUT", "/maintenance/enter?target=" + name)
        if status != 200:
            raise testbed.CannotRun("maintenance/enter?target=%s: %d" % (name, status))
    taken_out = time.time()
    bed.say("%d of %d hosts are out for maintenance; each call was answered 200" % (len(out), HOSTS))
    time.sleep(4)
    if bed.trouble:
        bed.say("the new version is started")
        began = time.time()
        bed.gateway("n0", None, {"NODE_ADMIN": next_admin, "NODE_LISTEN": listen, "NODE_DISCOVERY": discovery.address},
                    folder=old.folder)
        testbed.wait_until(lambda: testbed.call(next_admin, "GET", "/status")[0] == 200, 6, "the new version's yes")
        bed.say("the new version says yes %.3f s after its start; SIGTERM to the old one" % (time.time() - began))
        old.send_signal(signal.SIGTERM)
    for one in clients:
        one.join()
    bed.say("answers by status: %s" % counts)
    wrong = [line for line in bed.ran() if line["host"] in out and line["t"] > taken_out + GRACE_S]
    for line in wrong:
        bed.say("WRONG: run by %s, which is out, at %s: %s" % (line["host"], bed.at(line["t"]), line["id"]))
    bed.say("%d requests went to hosts that had been out for more than %.2f s; no call has put them back"
            % (len(wrong), GRACE_S))
    return bool(wrong)


testbed.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
