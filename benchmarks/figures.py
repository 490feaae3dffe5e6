"""What the ledger costs a router: CPU a request with figures off and on, in one run, pair by pair.

    .venv/bin/python benchmarks/figures.py [--pairs 60] [--requests 2000] [--breaches 50]

Routers as deployed, against nodes that answer at once (stand.py); all reads hit.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import time
from functools import partial

import stand
from stand import Case, Load, Process, Site, settings

from pebblepass.accounting.service import AUDIT_INTERVAL_S, AccountingService
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.decisions.settings import read_settings
from pebblepass.emulators.ports import take_port
from pebblepass.operator_config import AccountingSection

WARM = 2000
CASE = Case("hits", namespaces=tuple(f"ns{number}" for number in range(50)))


async def batch(router: Process, requests: int) -> tuple[float, Load]:
    """Ask so often; returns the router's CPU in seconds, and what became of the requests."""
    load, before = Load(CASE, requests), router.cpu()
    await load.run(router.port)
    return router.cpu() - before, load


async def p99(router: Process, requests: int) -> float:
    """The time in which 99% of the requests are answered, in seconds."""
    _, load = await batch(router, requests)
    return sorted(load.times)[len(load.times) * 99 // 100]


async def measure_cost(site: Site, pairs: int, requests: int) -> None:
    """Two routers that differ in their figures alone, asked in turn, batch by batch."""
    listen = take_port()
    off = await site.router(CASE)
    on = await site.router(CASE, f'[figures]\nlisten = "127.0.0.1:{listen}"\n')
    both = (off, on)
    try:
        for router in both:
            await batch(router, WARM)
        cpu, served, ratios = {off: 0.0, on: 0.0}, {off: 0, on: 0}, []
        for number in range(pairs):
            took: dict[Process, float] = {}
            # Which goes first changes from pair to pair: the machine's speed drifts.
            for router in both if number % 2 == 0 else both[::-1]:
                took[router], load = await batch(router, requests)
                cpu[router] += took[router]
                served[router] += len(load.times)
            ratios.append(took[on] / took[off])
        total = pairs * requests
        low, middle, high = statistics.quantiles(ratios, n=4)
        for name, router in (("off", off), ("on", on)):
            print(
                f"figures {name}: {cpu[router] / total * 1e6:.1f} us of CPU a request, "
                f"{router.memory_mb():.1f} MB, served {served[router] / total:.4f}"
            )
        print(
            f"on/off over {pairs} pairs of {requests}: of the sums {cpu[on] / cpu[off]:.3f}, median "
            f"{middle:.3f}, half of the pairs from {low:.3f} to {high:.3f}"
        )
        await measure_scrapes(on, listen, requests * 5)
    finally:
        for router in both:
            router.end()


async def measure_scrapes(router: Process, listen: int, requests: int) -> None:
    """How long a scrape takes under full load, and what it does to the requests beside it."""
    alone = await p99(router, requests)
    took: list[float] = []

    async def scrape() -> None:
        while True:
            begun = time.perf_counter()
            reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            await reader.read(-1)
            writer.close()
            took.append(time.perf_counter() - begun)
            await asyncio.sleep(0.1)

    scraping = asyncio.create_task(scrape())
    beside = await p99(router, requests)
    scraping.cancel()
    print(
        f"{len(took)} scrapes, ten a second at full load: median {statistics.median(took) * 1e3:.1f} ms, "
        f"longest {max(took) * 1e3:.1f} ms; p99 of the requests {alone * 1e3:.1f} ms without, "
        f"{beside * 1e3:.1f} ms with them"
    )


async def measure_breaches(breaches: int) -> None:
    """Real time from a breach to each way of telling, sockets and all; found in a move, or by the audit."""
    loop = asyncio.get_running_loop()
    told: dict[str, list[float]] = {way: [] for way in ("stream", "webhook", "page")}
    arrived: dict[str, asyncio.Future[None]] = {}

    def came(way: str) -> None:
        if way in arrived and not arrived[way].done():
            arrived[way].set_result(None)

    def note(way: str, at: float, _: asyncio.Future[None]) -> None:
        told[way].append(loop.time() - at)

    async def take_post(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        came("webhook")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    hook = await asyncio.start_server(take_post, "127.0.0.1", 0)
    port = hook.sockets[0].getsockname()[1]
    section = AccountingSection(listen=f"127.0.0.1:{take_port()}", webhook=f"http://127.0.0.1:{port}/")
    service = AccountingService(
        loop, section, "r0", read_settings(settings(CASE.namespaces)), time.time_ns, "a"
    )
    open_requests: set[str] = set()
    address = await service.start(time.monotonic_ns, lambda: open_requests)
    assert address is not None
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET /breaches HTTP/1.1\r\nHost: r\r\n\r\n")
    await reader.readuntil(b": open\n\n")

    async def stream() -> None:
        while True:
            await reader.readuntil(b"\n\n")
            came("stream")

    async def page(number: int) -> None:
        while b'"breaches":%d,' % number not in await _get(address, "/figures"):
            pass
        came("page")

    streaming = asyncio.create_task(stream())
    for kind in ("in a move", "by the audit"):
        for number in range(breaches):
            arrived.update({way: loop.create_future() for way in told})
            # At any time between two audits, as requests are forgotten.
            await asyncio.sleep(random.random() * AUDIT_INTERVAL_S)
            at = loop.time()
            if kind == "in a move":
                service.ledger.record_served(f"{kind} {number}", time.monotonic_ns(), 0)
            else:
                open_requests.add(f"{kind} {number}")
            polling = asyncio.create_task(page(service.ledger.breach_count + (kind == "by the audit")))
            for way, future in arrived.items():
                future.add_done_callback(partial(note, way, at))
            await asyncio.gather(*arrived.values())
            await polling
        for way, times in told.items():
            print(
                f"a breach found {kind}, told by the {way}: median {statistics.median(times) * 1e3:.1f} ms, "
                f"longest {max(times) * 1e3:.1f} ms of {len(times)}"
            )
            times.clear()
    streaming.cancel()
    writer.close()
    service.stop(closing=False)
    hook.close()


async def _get(address: tuple[str, int], page: str) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET %b HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n" % page.encode())
    body = await reader.read(-1)
    writer.close()
    return body


async def measure(site: Site, pairs: int, requests: int, breaches: int) -> None:
    """Run all and print it."""
    await measure_breaches(breaches)
    await measure_cost(site, pairs, requests)


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=60)
    parser.add_argument("--requests", type=int, default=2_000, help="in each batch")
    parser.add_argument("--breaches", type=int, default=50)
    told = parser.parse_args()
    with stand.site() as site, asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(measure(site, told.pairs, told.requests, told.breaches))


if __name__ == "__main__":
    main()
