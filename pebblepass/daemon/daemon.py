"""One running router: its listener, its pool, its watch of the list, and the order of their start and end."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from pebblepass.connection_limits.descriptors import callers, own, split
from pebblepass.control.operations import CALLERS, ControlAddress, Told
from pebblepass.daemon.clients import ClientServer
from pebblepass.daemon.config import Config, ConfigError, reload_discovery
from pebblepass.daemon.inherited import adopt
from pebblepass.daemon.router import RouterHost
from pebblepass.daemon.upstream import Pool
from pebblepass.decisions import ListKind
from pebblepass.decisions.interface import NS_PER_S
from pebblepass.discovery.registry import Clock, Discovery, Listing, read_listing
from pebblepass.wire.address import Address

if TYPE_CHECKING:
    from pebblepass.daemon.fleet import FleetPart
    from pebblepass.daemon.succession import Succession
    from pebblepass.operator_config import FleetSection, ManyKeysSection

READY_S = 1.0  # the wait for discovery's first list, after which the known one must do
START_SHARE = 0.4  # of the cores that it has, that the start may have taken when clients come
MOST_SETTLING_S = 0.4
ACCEPT_S = 0.5
MIDWAY_S = 0.65
SERVED_SHARE = 0.5  # of the longest deadline: for so long after that what crosses a close is still served
ANSWER_SLACK_S = 0.55  # beyond the longest deadline: then what is open still gets its final answer
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
RELOAD_TRIES, RELOAD_STEP_S = 20, 0.1  # for a file that is still being written
BUDGET_SHARE = 0.2  # of the memory, for clients' long commands
GATHER_SHARE = 0.15  # and for long values that come without a length

log = logging.getLogger("pebblepass")


def settling(spent: float, cores: float) -> float:
    """Seconds until a start that took so many of CPU has had no more than its share of the time."""
    return min(max(spent / (cores * START_SHARE) - spent, 0.0), MOST_SETTLING_S)


async def news() -> None:
    """Return once the sockets have been read: after a hold-up timers run first."""
    # The first turn may come before the sockets are looked at, the second can't.
    for _ in range(2):
        await asyncio.sleep(0)


class Daemon:
    """A router on a loop that it need not have for itself; the loop's time is its clock.

    `start` it, `drain` it where what it has taken is to be answered first, and `stop` it.
    """

    host_class: type[RouterHost] = RouterHost
    """What carries out the module's actions; a rehearsal of a broken router puts another here."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        unix_ns: Callable[[], int] = time.time_ns,
        spent: float = 0.0,
        beside: int = 0,
    ) -> None:
        """`spent`: the seconds of CPU that the start has taken so far.

        `beside`: descriptors that the operator's sections take.
        """
        self._loop, self._config = loop, config
        self._callers = callers(config.sockets, CALLERS) if config.ops is not None else 0
        inherited = config.inherited is not None
        self._split = split(config.sockets, own(self._callers, inherited, beside))
        dial_timeout, idle_close = config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S
        reports = bool(config.settings.load_fields)
        gather = int(config.memory * GATHER_SHARE)
        self._pool = Pool(loop, self._split.servers, dial_timeout, idle_close, reports, gather)
        self.host = self.host_class(loop, config.settings, config.seed, self._pool, config.max_open)
        budget = int(config.memory * BUDGET_SHARE)
        self.clients = ClientServer(loop, self.host, self._split.served, budget, self._split.refusers)
        clock = self._clock = Clock(self.host.now(), unix_ns())
        self._succession: Succession | None = None
        self._settled_at = loop.time() + settling(spent, config.cores)
        asked, draws = config.settings.must_subscribe, random.Random(config.seed)
        self._discovery = Discovery(
            config.discovery, asked, clock, self._take, self.host.discovery_failed, draws
        )
        self.host.subscribe = self._discovery.subscribe
        if config.known is not None:
            known = read_listing(config.known, clock, ListKind.CACHED)
            self._discovery.generation = known.generation
            self.host.servers_changed(known)
        self._reloading: asyncio.Task[None] | None = None
        self._control: ControlAddress | None = None
        self._fleet: FleetPart | None = None

    def read_many(self, section: ManyKeysSection) -> None:
        """Take reads of many keys; before the start."""
        # Loaded only where the operator wants it.
        from pebblepass.daemon.multi_get.registry import MultiGetRegistry

        many = MultiGetRegistry(self._loop, self.host, self._pool, section, self._config.memory)
        self.host.many = self.clients.many = many

    def join_fleet(self, section: FleetSection) -> FleetPart:
        """Be one of a fleet of routers; before the start. Raises ConfigError."""
        # Loaded only where the operator wants it.
        from pebblepass.daemon.fleet import FleetPart

        self._fleet = FleetPart(self._loop, self.host, self._config, section)
        return self._fleet

    async def start(self) -> None:
        """Listen for clients and follow the list; raises OSError where the address can't be had."""
        if self._config.ops is not None:
            fleet = self._fleet.answer if self._fleet is not None else None
            told = Told(self.is_ready, self.host.figures, fleet)
            self._control = ControlAddress(self._loop, told, self._callers)
            await self._control.listen(self._config.ops)
        if self._fleet is not None:
            await self._fleet.start()
        if self._config.inherited is None:
            await self.clients.listen(self._config.listen)
        else:
            await self._succeed(adopt(self._config.inherited, self._config.listen))
        # Where lists are asked for the module does so, once it has been told of the list that is known.
        if self._config.known is None or not self._config.settings.must_subscribe:
            self._discovery.start()
        if self._config.known is not None:
            self._loop.call_later(READY_S, self._make_do)

    async def _succeed(self, listener: socket.socket) -> None:
        """Begin beside a process that is there, or alone; clients are accepted once the servers are known."""
        # Loaded only where the platform holds the clients' socket.
        import tempfile

        from pebblepass.daemon.succession import Routed, Succession

        folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
        budget = int(self._config.memory * BUDGET_SHARE)
        routed = Routed(self._loop, self.host, self.clients, self._pool, self._discovery, self._clock, budget)
        self._succession = Succession(routed, listener, folder, self._split.own + self._split.refusers)
        await self._succession.begin()
        if self._succession.told:
            self._loop.call_later(READY_S, self._make_do)

    def is_ready(self) -> bool:
        """Whether it knows its servers, and takes requests still."""
        joined = self._fleet is None or self._fleet.ready()
        return self.host.ready and self.clients.listening and joined

    def _take(self, listing: Listing) -> None:
        if not self.host.servers_changed(listing):
            raise RuntimeError("the decisions failed over a list")
        self._make_do()

    def _make_do(self) -> None:
        if self.host.ready:
            return
        left = self._settled_at - self._loop.time()
        if left > 0:
            # Danger: a start takes all of a part of a core at once, and the platform holds the process up for
            # as long afterwards, with the clients that it has accepted.
            self._loop.call_later(left, self._make_do)
            return
        self.host.ready = True
        if self._succession is not None:
            self._succession.ready()

    def move_discovery(self, address: Address) -> None:
        """Follow the list at another address; the list held stays until that one has spoken."""
        self._discovery.move(address)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Take discovery's address from the file anew, soon."""
        if self._reloading is not None:
            self._reloading.cancel()
        self._reloading = self._loop.create_task(self._reload(environ))

    async def _reload(self, environ: Mapping[str, str]) -> None:
        """A file that can't be used changes nothing."""
        for tries_left in reversed(range(RELOAD_TRIES)):
            try:
                self.move_discovery(reload_discovery(environ))
                return
            except ConfigError as error:
                if not tries_left:
                    log.error("the configuration stays as it was: %s", error)
            await asyncio.sleep(RELOAD_STEP_S)

    async def drain(self) -> None:
        """Take what still comes for a moment, then nothing new, and answer what was taken."""
        begun, succession = self._loop.time(), self._succession
        longest = max(cls.deadline for cls in self._config.settings.classes) / NS_PER_S
        if succession is None or not succession.leave():
            await asyncio.sleep(ACCEPT_S)
            await news()
            if succession is None:  # else the platform's socket goes on listening, and they wait there
                while self.clients.accept_pending() and self._loop.time() < begun + MIDWAY_S:
                    await asyncio.sleep(0)
                await news()
            self.clients.stop_accepting()
            self.clients.finish(even_midway=False)
        while self.clients.connected and self._loop.time() < begun + longest + KILL_SLACK_S:
            await asyncio.sleep(DRAIN_STEP_S)
            # Those that another process takes over are closed by nobody.
            if self._loop.time() >= begun + MIDWAY_S and self.clients.on_handover is None:
                await news()
                self.clients.finish(even_midway=True)
                # Guards the end against a client that goes on asking on a connection that it keeps busy.
                self.clients.shutting_down = self._loop.time() >= begun + MIDWAY_S + longest * SERVED_SHARE
            if self._loop.time() >= begun + longest + ANSWER_SLACK_S:
                # Danger: a client may wait for longer than its class does, and SIGKILL does not.
                self.host.end_open()

    def stop(self) -> None:
        """Break every connection, as the end of the process would: nothing is sent any more."""
        if self._reloading is not None:
            self._reloading.cancel()
        if self._fleet is not None:
            self._fleet.let_go()
        self.host.lag.close()
        self.host.abandon()
        self._pool.close()
        self.clients.close()
        self._discovery.close()
        if self._control is not None:
            self._control.close()
        if self._succession is not None:
            self._succession.close()
