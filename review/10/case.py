"""Discovery has moved by SIGHUP; a later file is spoilt and turned down; then a new version takes over."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import *  # noqa: E402,F403

# Whatever discovery tells counts as told 6 s later at the latest; then 1 s, and 50 ms on sockets.
DRAINED_BY_MS = 6000 + 1000 + 50


async def scenario(record, folder):
    first, second = Discovery(record, "discovery 1"), Discovery(record, "discovery 2")
    await first.start()
    await second.start()
    hosts = [Host(record, f"s-{i}", 0.03) for i in range(4)]
    for host in hosts:
        await host.start()
        for discovery in (first, second):
            discovery.put(host.id, host.address)
    gateway = Gateway(record, "n0", first.address, make_settings(), folder,
                      known=json.loads(first.list_text()))
    old = gateway.start()
    await gateway.wait_up()
    stop = asyncio.Event()
    asks = []

    async def load():
        number = 0
        while not stop.is_set():
            kind = "charge-ship" if number % 3 == 0 else "plan-view"
            asks.append(asyncio.create_task(ask(record, gateway.listen, f"9b1f03aa{number:08x}", kind, 1500, b"a=1")))
            number += 1
            await asyncio.sleep(0.06)
    loading = asyncio.create_task(load())
    await asyncio.sleep(1.5)

    # Discovery moves, as on a day with SIGHUP.
    gateway.document["discovery"] = second.address
    gateway.write()
    gateway.signal(old, signal.SIGHUP)
    await first.retire()
    await asyncio.sleep(3)
    if TROUBLE:
        gateway.write(json.dumps(gateway.document)[:200])
        record("operator: replaces the file by one that is cut short")
        gateway.signal(old, signal.SIGHUP)
        await asyncio.sleep(1)
        _, figures = await call(old.admin, "GET", "/status/metrics")
        figures = json.loads(figures)
        record(f"conf_loaded {figures['conf_loaded']}, conf_invalid {figures['conf_invalid']}")
        if figures["conf_invalid"] < 1:
            raise CantRun("the spoilt file was not turned down")

    # A new version under load.
    new = gateway.start()
    if not await gateway.wait_status(new):
        raise CantRun("the new process said no yes in 6 s")
    gateway.signal(old, signal.SIGTERM)
    if not await wait_end(old, 4.7):
        gateway.signal(old, signal.SIGKILL)
    record("platform: the old process has ended")
    await asyncio.sleep(1)

    drained = hosts[:2]
    for host in drained:
        second.put(host.id, host.address, "draining")
    drained_at = record.now()
    await asyncio.sleep(DRAINED_BY_MS / 1000 + 6)
    stop.set()
    await loading
    await asyncio.gather(*asks)
    breaks, all_late = [], 0
    for host in hosts:
        late = [run for run in host.runs if run[0] > drained_at + DRAINED_BY_MS]
        all_late += len(late)
        record(f"{host.id}: {len(late)} requests after the drain counts as told and 1 s more")
        if host in drained and late:
            breaks.append(f"{len(late)} requests went to {host.id} more than {DRAINED_BY_MS} ms after it began to drain, "
                          f"the last {late[-1][0] - drained_at:.0f} ms after")
    if all_late < 30:
        raise CantRun("too little traffic")
    return breaks


main(__file__, scenario)
