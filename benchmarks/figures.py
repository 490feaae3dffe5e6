"""Measures a router's CPU per request with `[figures]` off and on, in alternating batches.

    .venv/bin/python benchmarks/figures.py [--pairs 60] [--requests 2000] [--breaches 50]

Routers run as deployed, against nodes that answer at once (stand.py); all reads hit. It also measures scrapes
under load, and the time from a breach until it is reported.
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

WARM_UP_REQUESTS = 2000
CASE = Case("hits", namespaces=tuple(f"ns{number}" for number in range(50)))


async def batch(router: Process, requests: int) -> tuple[float, Load]:
    """Send a batch of requests; returns the router's CPU seconds, and the load with its results."""
    load, before = Load(CASE, requests), router.cpu()
    await load.run(router.port)
    return router.cpu() - before, load


async def p99(router: Process, requests: int) -> float:
    """The 99th percentile of the response times of a batch, in seconds."""
    _, load = await batch(router, requests)
    return sorted(load.times)[len(load.times) * 99 // 100]


async def measure_cost(site: Site, pairs: int, requests: int) -> None:
    """Send batches in turn to two routers that differ only in their figures section."""
    listen = take_port()
    off = await site.router(CASE)
    on = await site.router(CASE, f'[figures]\nlisten = "127.0.0.1:{listen}"\n')
    both = (off, on)
    try:
        for router in both:
            await batch(router, WARM_UP_REQUESTS)
        cpu, served, ratios = {off: 0.0, on: 0.0}, {off: 0, on: 0}, []
        for number in range(pairs):
            cpu_s: dict[Process, float] = {}
            # The order alternates between pairs, because the machine's speed drifts.
            for router in both if number % 2 == 0 else both[::-1]:
                cpu_s[router], load = await batch(router, requests)
                cpu[router] += cpu_s[router]
                served[router] += len(load.times)
            ratios.append(cpu_s[on] / cpu_s[off])
        total = pairs * requests
        low, median, high = statistics.quantiles(ratios, n=4)
        for name, router in (("off", off), ("on", on)):
            print(
                f"figures {name}: {cpu[router] / total * 1e6:.1f} us of CPU a request, "
                f"{router.memory_mb():.1f} MB, served {served[router] / total:.4f}"
            )
        print(
            f"on/off over {pairs} pairs of {requests}: of the sums {cpu[on] / cpu[off]:.3f}, median "
            f"{median:.3f}, half of the pairs from {low:.3f} to {high:.3f}"
        )
        await measure_scrapes(on, listen, requests * 5)
    finally:
        for router in both:
            router.end()


async def measure_scrapes(router: Process, listen: int, requests: int) -> None:
    """Measure scrapes under full load, and the response times with and without them."""
    without_scrapes = await p99(router, requests)
    times: list[float] = []

    async def scrape() -> None:
        while True:
            start = time.perf_counter()
            reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            await reader.read(-1)
            writer.close()
            times.append(time.perf_counter() - start)
            await asyncio.sleep(0.1)

    scraping = asyncio.create_task(scrape())
    with_scrapes = await p99(router, requests)
    scraping.cancel()
    print(
        f"{len(times)} scrapes, ten a second at full load: median {statistics.median(times) * 1e3:.1f} ms, "
        f"longest {max(times) * 1e3:.1f} ms; p99 of the requests {without_scrapes * 1e3:.1f} ms without, "
        f"{with_scrapes * 1e3:.1f} ms with them"
    )


async def measure_breaches(breaches: int) -> None:
    """Measure the time from a breach to its report by stream, webhook and page.

    The ledger finds a breach when it records a request, or in its audit.
    """
    loop = asyncio.get_running_loop()
    delays: dict[str, list[float]] = {sink: [] for sink in ("stream", "webhook", "page")}
    arrived: dict[str, asyncio.Future[None]] = {}

    def mark_arrived(sink: str) -> None:
        if sink in arrived and not arrived[sink].done():
            arrived[sink].set_result(None)

    def record_delay(sink: str, breach_time: float, _: asyncio.Future[None]) -> None:
        delays[sink].append(loop.time() - breach_time)

    async def take_post(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        mark_arrived("webhook")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    webhook_server = await asyncio.start_server(take_post, "127.0.0.1", 0)
    port = webhook_server.sockets[0].getsockname()[1]
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
            mark_arrived("stream")

    async def page(number: int) -> None:
        while b'"breaches":%d,' % number not in await _get(address, "/figures"):
            pass
        mark_arrived("page")

    streaming = asyncio.create_task(stream())
    for kind in ("in a move", "by the audit"):
        for number in range(breaches):
            arrived.update({sink: loop.create_future() for sink in delays})
            # Random offset, so that breaches fall at any time between two audits.
            await asyncio.sleep(random.random() * AUDIT_INTERVAL_S)
            breach_time = loop.time()
            if kind == "in a move":
                service.ledger.record_served(f"{kind} {number}", time.monotonic_ns(), 0)
            else:
                open_requests.add(f"{kind} {number}")
            polling = asyncio.create_task(page(service.ledger.breach_count + (kind == "by the audit")))
            for sink, future in arrived.items():
                future.add_done_callback(partial(record_delay, sink, breach_time))
            await asyncio.gather(*arrived.values())
            await polling
        for sink, times in delays.items():
            print(
                f"a breach found {kind}, told by the {sink}: median {statistics.median(times) * 1e3:.1f} ms, "
                f"longest {max(times) * 1e3:.1f} ms of {len(times)}"
            )
            times.clear()
    streaming.cancel()
    writer.close()
    service.stop(closing=False)
    webhook_server.close()


async def _get(address: tuple[str, int], page: str) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"GET %b HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n" % page.encode())
    body = await reader.read(-1)
    writer.close()
    return body


async def measure(site: Site, pairs: int, requests: int, breaches: int) -> None:
    """Run all measurements, and print them."""
    await measure_breaches(breaches)
    await measure_cost(site, pairs, requests)


def main() -> None:
    """Start the nodes, and measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--pairs", type=int, default=60)
    parser.add_argument("--requests", type=int, default=2_000, help="in each batch")
    parser.add_argument("--breaches", type=int, default=50)
    options = parser.parse_args()
    with stand.site() as site, asyncio.Runner(loop_factory=DaemonLoop) as runner:
        runner.run(measure(site, options.pairs, options.requests, options.breaches))


if __name__ == "__main__":
    main()
