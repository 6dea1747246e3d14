"""Answers above 64 KiB in chunks, which their hosts write slowly in pieces."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import *  # noqa: E402,F403

PIECE, PIECES, EVERY_S = 3_000, 70, 0.05  # 210 kB in 3.5 s, 60 kB a second; with TROUBLE=0 at once
REQUESTS = 12


async def answer(host, message, writer):
    request_id = message.get("req-id")
    await asyncio.sleep(0.02)
    try:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(PIECES):
            writer.write(b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n")
            await writer.drain()
            if TROUBLE:
                await asyncio.sleep(EVERY_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except ConnectionError:
        host.record(f"{host.id}: the gateway ended the connection of {request_id} while its answer was being given")
        host.cut.append(request_id)
        return False
    host.record(f"{host.id}: gave all of the answer to {request_id}")
    return True


async def scenario(record, folder):
    discovery = Discovery(record)
    await discovery.start()
    hosts = [Host(record, f"s-{i}", answer=answer) for i in range(3)]
    for host in hosts:
        host.cut = []
        await host.start()
        discovery.put(host.id, host.address)
    gateway = Gateway(record, "n0", discovery.address, make_settings(), folder,
                      known=json.loads(discovery.list_text()))
    gateway.start()
    await gateway.wait_up()
    await asyncio.sleep(0.5)
    asks = []
    for i in range(REQUESTS):
        kind, deadline = ("charge-ship", 4000) if i % 2 else ("plan-view", 1500)
        asks.append(asyncio.create_task(ask(record, gateway.listen, f"9b1f03aa5c7e{i:04x}", kind, deadline, b"a=1",
                                            patience_s=12)))
        await asyncio.sleep(0.5)
    answers = await asyncio.gather(*asks)
    breaks, whole, ran = [], 0, 0
    for i, a in enumerate(answers):
        request_id = f"9b1f03aa5c7e{i:04x}"
        if not any(run[1] == request_id for host in hosts for run in host.runs):
            continue  # refused before any attempt: nothing was given
        ran += 1
        if a.status == 200 and a.whole and len(a.message.body) == PIECE * PIECES:
            whole += 1
        elif any(request_id in host.cut for host in hosts):
            breaks.append(f"{request_id}: answer {a.status} after {a.took:.0f} ms; the gateway cut off what the host "
                          "still gave")
    record(f"requests {REQUESTS}, run by a host {ran}, passed on whole {whole}")
    if ran < 3:
        raise CantRun("too few requests reached a host")
    return breaks


main(__file__, scenario)
