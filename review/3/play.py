"""The operators' file of three gateways gets a shorter lease_ms, one gateway after the other: does one gateway at a time
hold the role?"""
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import testbed
from testbed import LOOPBACK, category

GATEWAYS, HOSTS = 3, 2
LEASE_BEFORE_MS, LEASE_AFTER_MS = 10000, 3000  # the second one is the default
STEP_S = 8                                     # from one gateway's SIGHUP to the next one's


def peers_file(path, ports, lease):
    text = "[peers]\nshare_list = true\nlease_ms = %d\n" % lease
    for index, port in enumerate(ports):
        text += '\n[[peer]]\nname = "g%d"\naddress = "%s:%d"\n' % (index, LOOPBACK, port)
    testbed.write_file(path, text)


def play(bed):
    ports = testbed.free_ports(HOSTS + 3 * GATEWAYS)
    discovery = testbed.Discovery(bed)
    for index in range(HOSTS):
        address = "%s:%d" % (LOOPBACK, ports.pop())
        bed.host("h%d" % index, address)
        discovery.put(discovery.entry("h%d" % index, address))
    listen, admin, peers = ([ports.pop() for _ in range(GATEWAYS)] for _ in range(3))
    admin = ["%s:%d" % (LOOPBACK, port) for port in admin]
    gateways, files = [], []
    for index in range(GATEWAYS):
        files.append(os.path.join(bed.tmp, "peers-g%d.toml" % index))
        peers_file(files[index], peers, LEASE_BEFORE_MS)
        gateways.append(bed.gateway("g%d" % index, {
            "name": "g%d" % index, "listen": "%s:%d" % (LOOPBACK, listen[index]), "admin": admin[index],
            "discovery": discovery.address, "seed": "%x" % (time.time_ns() + index),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.snapshot(),
            "settings": testbed.settings([category("plan-view", "pure", 600, 1500),
                                          category("charge-ship", "side_effect", 800, 4000, 5.0)],
                                         gateways=GATEWAYS, mayTell=True)}, {"MEADOWYARD_PEERS": files[index]}))

    def status(index):
        return json.loads(testbed.call(admin[index], "GET", "/status/peers")[1])["list"]

    def holders():
        return [index for index in range(GATEWAYS) if status(index)["holds"]]

    testbed.wait_until(lambda: len(holders()) == 1, 40, "a holder of the role")
    time.sleep(2)
    holder = holders()[0]
    bed.say("holder: g%d, by a lease of %d ms" % (holder, LEASE_BEFORE_MS))
    order = [index for index in range(GATEWAYS) if index != holder] + [holder]  # the holder last
    began, reloaded, both, last = time.monotonic(), 0, 0, None
    while time.monotonic() < began + STEP_S * GATEWAYS + 5:
        if bed.trouble and reloaded < GATEWAYS and time.monotonic() >= began + 2 + STEP_S * reloaded:
            index = order[reloaded]
            reloaded += 1
            peers_file(files[index], peers, LEASE_AFTER_MS)
            os.kill(gateways[index].pid, signal.SIGHUP)
            bed.say("g%d: lease_ms is %d now, SIGHUP" % (index, LEASE_AFTER_MS))
        # Each is asked twice, in opposite orders. If two say so both times, with the same tokens, then the one that was
        # asked first and last held the lease at the moment in which the other said that it did.
        first = [status(index) for index in range(GATEWAYS)]
        second = [status(index) for index in reversed(range(GATEWAYS))][::-1]
        hold = [index for index in range(GATEWAYS)
                if first[index]["holds"] and second[index]["holds"] and first[index]["token"] == second[index]["token"]]
        seen = (hold, [second[index]["turned_down"] for index in range(GATEWAYS)])
        if seen != last:
            bed.say("held by: %s; tokens %s; acts of a former holder that were turned down: %s"
                    % (["g%d" % index for index in hold], [second[index]["token"] for index in hold], seen[1]))
            last = seen
        both += len(hold) > 1
        time.sleep(0.2)
    bed.say("two gateways held the one role in %d of the looks, 0.2 s apart" % both)
    return both > 0


testbed.main(os.path.dirname(os.path.abspath(__file__)), play)
