"""During an upgrade, a bad client sends the id of another client's open charge, which the new process takes."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import *  # noqa: E402,F403

WORK_S = 0.75  # of a charge, within its wanted time of 0.8 s
EVERY_S = 0.1


async def answer(host, message, writer):
    request_id = message.get("req-id")
    await asyncio.sleep(WORK_S if message.get("req-kind") == "charge-ship" else 0.05)
    body = host.body_for(request_id)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    await writer.drain()
    return True


async def scenario(record, folder):
    discovery = Discovery(record)
    await discovery.start()
    hosts = [Host(record, f"s-{i}", answer=answer) for i in range(4)]
    for host in hosts:
        await host.start()
        discovery.put(host.id, host.address)
    gateway = Gateway(record, "n0", discovery.address, make_settings(), folder,
                      known=json.loads(discovery.list_text()))
    old = gateway.start()
    await gateway.wait_up()
    await asyncio.sleep(0.5)
    for i in range(10):
        await ask(record, gateway.listen, f"warm{i:012x}", "plan-view", 1500)

    charges, stop = {}, asyncio.Event()  # usual clients: id -> task, one charge every 0.1 s

    async def send_charges():
        while not stop.is_set():
            request_id = f"9b1f03aa5c7e{len(charges):04x}"
            charges[request_id] = asyncio.create_task(ask(record, gateway.listen, request_id, "charge-ship", 4000,
                                                          b"amount=1", who="usual client"))
            await asyncio.sleep(EVERY_S)
    sending = asyncio.create_task(send_charges())
    await asyncio.sleep(1.5)
    if TROUBLE:
        new = gateway.start()
        if not await gateway.wait_status(new):
            raise CantRun("the new process said no yes in 6 s")
    # Charges that a host had before the yes and that are not answered yet: only the old process can have sent them.
    now = record.now()
    at_hosts = {run[1] for host in hosts for run in host.runs if run[0] < now - 20}
    repeated = [i for i in charges if i in at_hosts and not charges[i].done()][-3:]
    stop.set()
    record(f"open at the old process: {repeated}")
    if not repeated:
        raise CantRun("no charge was open at the old process when the new one said yes")
    bad = asyncio.gather(*[ask(record, gateway.listen, i, "charge-ship", 4000, b"amount=1", patience_s=3,
                               who="bad client") for i in repeated])
    if TROUBLE:
        gateway.signal(old, signal.SIGTERM)
    bad = await bad
    await sending
    await asyncio.gather(*charges.values())
    breaks = []
    for request_id, answer_to_bad in zip(repeated, bad):
        runs = sorted((round(run[0]), host.id) for host in hosts for run in host.runs if run[1] == request_id)
        record(f"{request_id}: runs {runs}; usual client got {charges[request_id].result().status}, bad client got "
               f"{answer_to_bad.status}")
        if len(runs) > 1:
            breaks.append(f"charge-ship {request_id} ran {len(runs)} times: {runs}")
        if answer_to_bad.status == 200:
            breaks.append(f"the bad client was served with {request_id}, the id of another client's open request")
    return breaks


main(__file__, scenario)
