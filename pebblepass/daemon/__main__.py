"""Starts the router, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from pebblepass.daemon.clients import REFUSERS, ClientServer
from pebblepass.daemon.config import Config, ConfigError, load_config, reload_discovery
from pebblepass.daemon.log import make_logger
from pebblepass.daemon.router import RouterHost
from pebblepass.daemon.upstream import Pool
from pebblepass.decisions import ListKind
from pebblepass.decisions.interface import NS_PER_S
from pebblepass.membership.registry import Clock, Discovery, Listing, read_listing

READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
ACCEPT_S = 0.5
MIDWAY_S = 0.65
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
RELOAD_TRIES, RELOAD_STEP_S = 20, 0.1  # for a file that is still being written
OWN_DESCRIPTORS = 32  # standard streams, the listener, the event loop, discovery
CLIENT_SHARE = 0.6
BUDGET_SHARE = 0.2  # of the memory, for clients' long commands

GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("pebblepass")


async def serve(config: Config) -> None:
    """Run until SIGTERM, and then until all that was taken is answered."""
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    descriptors = max(config.sockets - OWN_DESCRIPTORS, 8)
    for_clients = int(descriptors * CLIENT_SHARE)
    pool = Pool(loop, descriptors - for_clients, config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S)
    host = RouterHost(loop, config.settings, config.seed, pool, config.max_open)
    # Those that are only refused need descriptors too: beyond the share they would be missing for servers.
    served = max(for_clients - REFUSERS, for_clients // 2)
    clients = ClientServer(loop, host, served, int(config.memory * BUDGET_SHARE))

    def take(listing: Listing) -> None:
        host.servers_changed(listing)
        host.ready = True

    def make_do() -> None:
        host.ready = True

    clock = Clock()
    asked = config.settings.must_subscribe
    discovery = Discovery(config.discovery, asked, clock, take, host.discovery_failed)
    host.subscribe = discovery.subscribe
    if config.known is not None:
        known = read_listing(config.known, clock, ListKind.CACHED)
        discovery.generation = known.generation
        host.servers_changed(known)
    reloads: set[asyncio.Task[None]] = set()

    def reload() -> None:
        for earlier in reloads:
            earlier.cancel()
        task = loop.create_task(_reload(discovery))
        reloads.add(task)
        task.add_done_callback(reloads.discard)

    # Danger: where nobody takes SIGHUP, it ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload)
    await clients.listen(config.listen)
    if not asked:
        discovery.start()
    if config.known is not None:
        loop.call_later(READY_S, make_do)
    await terminated.wait()
    await _drain(loop, config, host, clients)
    clients.close()
    discovery.close()
    pool.close()
    await asyncio.sleep(0)


async def _reload(discovery: Discovery) -> None:
    """Take discovery's address from the file anew; a file that can't be used changes nothing."""
    for tries_left in reversed(range(RELOAD_TRIES)):
        try:
            discovery.move(reload_discovery(os.environ))
            return
        except ConfigError as error:
            if not tries_left:
                log.error("the configuration stays as it was: %s", error)
        await asyncio.sleep(RELOAD_STEP_S)


async def _drain(
    loop: asyncio.AbstractEventLoop, config: Config, host: RouterHost, clients: ClientServer
) -> None:
    begun = loop.time()
    longest = max(cls.deadline for cls in config.settings.classes) / NS_PER_S
    await asyncio.sleep(ACCEPT_S)
    clients.stop_accepting()
    while clients.connected and loop.time() < begun + longest + KILL_SLACK_S:
        await asyncio.sleep(DRAIN_STEP_S)
        if loop.time() >= begun + MIDWAY_S:
            clients.finish(even_midway=True)


def main() -> int:
    """Run the router; what can't be used is one plain line and exit code 2."""
    try:
        config = load_config(os.environ)
        if config.known is not None:
            read_listing(config.known, Clock())
    except (ConfigError, ValueError) as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 2
    make_logger(config.name)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
