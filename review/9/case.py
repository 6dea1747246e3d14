"""A planned restart while a host gives a long answer slowly."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import *  # noqa: E402,F403

PIECE, PIECES, EVERY_S = 40_000, 60, 0.1  # 2.4 MB in 6 s
KILL_AFTER_S = 8.0


async def answer(host, message, writer):
    if not message.get("req-id").startswith("9b1f"):
        body = host.body_for(message.get("req-id"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
    try:
        for _ in range(PIECES):
            writer.write(b"x" * PIECE)
            await writer.drain()
            await asyncio.sleep(EVERY_S)
    except ConnectionError:
        host.record(f"{host.id}: the gateway ended the connection of {message.get('req-id')}")
        return False
    host.record(f"{host.id}: gave all of the answer to {message.get('req-id')}")
    return True


async def scenario(record, folder):
    discovery = Discovery(record)
    await discovery.start()
    hosts = [Host(record, f"s-{i}", answer=answer) for i in range(3)]
    for host in hosts:
        await host.start()
        discovery.put(host.id, host.address)
    gateway = Gateway(record, "n0", discovery.address, make_settings(), folder,
                      known=json.loads(discovery.list_text()))
    process = gateway.start()
    await gateway.wait_up()
    await asyncio.sleep(0.5)
    for i in range(6):
        await ask(record, gateway.listen, f"warm{i:012x}", "plan-view", 1500)
    asks = [asyncio.create_task(ask(record, gateway.listen, f"9b1f03aa5c7e{i:04x}", "plan-view", 1500,
                                    patience_s=20)) for i in range(4)]
    await asyncio.sleep(1.0)
    killed = False
    if TROUBLE:
        gateway.signal(process, signal.SIGTERM)
        if not await wait_end(process, KILL_AFTER_S):
            gateway.signal(process, signal.SIGKILL)
            killed = True
        else:
            record("platform: the process has ended by itself")
    answers = await asyncio.gather(*asks)
    breaks = []
    for i, a in enumerate(answers):
        if a.status == 200 and not a.whole:
            breaks.append(f"request {i}: its answer was cut off after {len(a.message.body)} of {PIECE * PIECES} "
                          f"bytes, {'at SIGKILL' if killed else 'by the gateway, before any SIGKILL'}")
    if any(a.status != 200 for a in answers):
        raise CantRun("a request got no long answer")
    return breaks if not killed else []


main(__file__, scenario)
