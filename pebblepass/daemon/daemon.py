"""One running router: its listener, pool and watch of the endpoint list, and their start and shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from pebblepass.connection_limits.descriptors import allocate, caller_limit, own_descriptors
from pebblepass.control.control_server import MAX_CONNECTIONS, ControlServer, ControlSources
from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.config import Config, ConfigError, reload_discovery
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.inherited_listener import adopt
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import ListKind
from pebblepass.decisions.interface import NS_PER_S
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList, parse_endpoint_list
from pebblepass.wire.address import Address

if TYPE_CHECKING:
    from pebblepass.daemon.fleet import FleetMember
    from pebblepass.daemon.upgrade import Succession
    from pebblepass.operator_config import FleetSection, MultiGetSection

READY_S = 1.0  # wait for discovery's first endpoint list, before the cached one is used
START_SHARE = 0.4  # maximum fraction of its cores that the start has used when it accepts clients
MAX_SETTLING_S = 0.4  # maximum pause before accepting clients, for a start that has used much CPU
# The shutdown, see Daemon.drain; seconds from SIGTERM.
ACCEPT_S = 0.5  # connections are accepted as before
PARTIAL_COMMANDS_S = 0.65  # from then on connections in the middle of a command are closed too
SERVED_SHARE = 0.5  # fraction of the longest deadline for which requests are still accepted in a shutdown
ANSWER_SLACK_S = 0.55  # beyond the longest deadline; then every open request is failed
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s
DRAIN_STEP_S = 0.01
RELOAD_TRIES, RELOAD_STEP_S = 20, 0.1  # for a file that is still being written
BUDGET_SHARE = 0.2  # fraction of the memory for clients' long commands
GATHER_SHARE = 0.15  # fraction of the memory for long values of unknown length

log = logging.getLogger("pebblepass")


def settling_delay(spent: float, cores: float) -> float:
    """Seconds to wait after a start that took `spent` seconds of CPU, so that it is not throttled later."""
    return min(max(spent / (cores * START_SHARE) - spent, 0.0), MAX_SETTLING_S)


async def sockets_polled() -> None:
    """Return once the sockets have been read: after a lag of the event loop timers run first."""
    # The first iteration may begin before the sockets are polled, the second can't.
    for _ in range(2):
        await asyncio.sleep(0)


class Daemon:
    """A router on an event loop that it may share; the loop's time is its clock.

    Call `start`, then `drain` for a graceful shutdown, then `stop`.
    """

    host_class: type[RouterHost] = RouterHost
    """The class of the decision module's host; the simulation replaces it for mutants."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        unix_ns: Callable[[], int] = time.time_ns,
        startup_cpu_s: float = 0.0,
        beside: int = 0,
    ) -> None:
        """`startup_cpu_s`: seconds of CPU time that the start has used so far.

        `beside`: descriptors that the operator's sections take.
        """
        self._loop, self._config = loop, config
        self._callers = caller_limit(config.sockets, MAX_CONNECTIONS) if config.ops is not None else 0
        inherited = config.inherited is not None
        self._allocation = allocate(config.sockets, own_descriptors(self._callers, inherited, beside))
        dial_timeout, idle_close = config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S
        reports = bool(config.settings.load_fields)
        gather = int(config.memory * GATHER_SHARE)
        self._pool = Pool(loop, self._allocation.servers, dial_timeout, idle_close, reports, gather)
        self.host = self.host_class(loop, config.settings, config.seed, self._pool, config.max_open)
        budget = int(config.memory * BUDGET_SHARE)
        self.clients = ClientServer(
            loop, self.host, self._allocation.served, budget, self._allocation.rejected
        )
        clock = self._clock = ClockOffset(self.host.now(), unix_ns())
        self._upgrade: Succession | None = None
        self._settled_at = loop.time() + settling_delay(startup_cpu_s, config.cores)
        asked, draws = config.settings.must_subscribe, random.Random(config.seed)
        self._discovery = DiscoveryClient(
            config.discovery, asked, clock, self._take, self.host.discovery_failed, draws
        )
        self.host.subscribe = self._discovery.subscribe
        if config.known is not None:
            known = parse_endpoint_list(config.known, clock, ListKind.CACHED)
            self._discovery.generation = known.generation
            self.host.servers_changed(known)
        self._reloading: asyncio.Task[None] | None = None
        self._control: ControlServer | None = None
        self._fleet: FleetMember | None = None

    def enable_multi_get(self, section: MultiGetSection) -> None:
        """Enable multi-gets; call it before `start`."""
        # Imported only if the operator has configured it.
        from pebblepass.daemon.multi_get.registry import MultiGetRegistry

        many = MultiGetRegistry(self._loop, self.host, self._pool, section, self._config.memory)
        self.host.multi_gets = self.clients.multi_gets = many

    def join_fleet(self, section: FleetSection) -> FleetMember:
        """Join a fleet of routers; call it before `start`. Raises ConfigError."""
        # Imported only if the operator has configured it.
        from pebblepass.daemon.fleet import FleetMember

        self._fleet = FleetMember(self._loop, self.host, self._config, section)
        return self._fleet

    async def start(self) -> None:
        """Listen for clients and watch the endpoint list; raises OSError if it can't listen."""
        if self._config.ops is not None:
            fleet = self._fleet.answer if self._fleet is not None else None
            sources = ControlSources(self.is_ready, self.host.figures, fleet)
            self._control = ControlServer(self._loop, sources, self._callers)
            await self._control.listen(self._config.ops)
        if self._fleet is not None:
            await self._fleet.start()
        if self._config.inherited is None:
            await self.clients.listen(self._config.listen)
        else:
            await self._succeed(adopt(self._config.inherited, self._config.listen))
        # If lists have to be requested, the decision module does so once it has the cached one.
        if self._config.known is None or not self._config.settings.must_subscribe:
            self._discovery.start()
        if self._config.known is not None:
            self._loop.call_later(READY_S, self._become_ready)

    async def _succeed(self, listener: socket.socket) -> None:
        """Start beside a running process, or alone; clients are accepted once the servers are known."""
        # Imported only if the platform holds the clients' listening socket.
        import tempfile

        from pebblepass.daemon.upgrade import Routed, Succession

        folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
        budget = int(self._config.memory * BUDGET_SHARE)
        routed = Routed(self._loop, self.host, self.clients, self._pool, self._discovery, self._clock, budget)
        self._upgrade = Succession(routed, listener, folder, self._allocation.own + self._allocation.rejected)
        await self._upgrade.begin()
        if self._upgrade.told:
            self._loop.call_later(READY_S, self._become_ready)

    def is_ready(self) -> bool:
        """Whether it knows its servers and accepts requests."""
        joined = self._fleet is None or self._fleet.ready()
        return self.host.ready and self.clients.listening and joined

    def _take(self, listing: EndpointList) -> None:
        if not self.host.servers_changed(listing):
            raise RuntimeError("the decision module failed to handle an endpoint list")
        self._become_ready()

    def _become_ready(self) -> None:
        if self.host.ready:
            return
        left = self._settled_at - self._loop.time()
        if left > 0:
            # Danger: a start uses its CPU quota up, and the platform throttles the process afterwards, with
            # the clients that it has accepted.
            self._loop.call_later(left, self._become_ready)
            return
        self.host.ready = True
        if self._upgrade is not None:
            self._upgrade.ready()

    def move_discovery(self, address: Address) -> None:
        """Watch the endpoint list at another address; the current list stays until the first from there."""
        self._discovery.change_address(address)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read discovery's address from the file again, in a task."""
        if self._reloading is not None:
            self._reloading.cancel()
        self._reloading = self._loop.create_task(self._reload(environ))

    async def _reload(self, environ: Mapping[str, str]) -> None:
        """Retry while the file is invalid, as it may still be being written; then keep the old address."""
        for tries_left in reversed(range(RELOAD_TRIES)):
            try:
                self.move_discovery(reload_discovery(environ))
                return
            except ConfigError as error:
                if not tries_left:
                    log.error(
                        "reloading the configuration failed, discovery's address is unchanged: %s", error
                    )
            await asyncio.sleep(RELOAD_STEP_S)

    async def drain(self) -> None:
        """Shut down gracefully. Without a successor that takes the connections over, after SIGTERM:

        | from (seconds) | what changes |
        | --- | --- |
        | 0 | nothing: open requests keep their attempts, retries and fetches to the end |
        | ACCEPT_S | no new connection but those pending (until PARTIAL_COMMANDS_S); idle ones are closed |
        | PARTIAL_COMMANDS_S | connections in the middle of a command are closed too |
        | PARTIAL_COMMANDS_S + SERVED_SHARE of the longest deadline | new commands are rejected |
        | longest deadline + ANSWER_SLACK_S | open requests fail |
        | longest deadline + KILL_SLACK_S, or no client left | it returns; `stop` aborts the rest |

        With a successor connections are handed over as they become idle.
        """
        begun, succession = self._loop.time(), self._upgrade
        longest = max(cls.deadline for cls in self._config.settings.classes) / NS_PER_S
        if succession is None or not succession.leave():
            await asyncio.sleep(ACCEPT_S)
            await sockets_polled()
            if succession is None:  # else they wait at the platform's socket, which stays open
                while self.clients.accept_pending() and self._loop.time() < begun + PARTIAL_COMMANDS_S:
                    await asyncio.sleep(0)
                await sockets_polled()
            self.clients.stop_accepting()
            self.clients.finish(with_partial_commands=False)
        while self.clients.connected and self._loop.time() < begun + longest + KILL_SLACK_S:
            await asyncio.sleep(DRAIN_STEP_S)
            # Connections that another process takes over are not closed.
            if self._loop.time() >= begun + PARTIAL_COMMANDS_S and self.clients.on_handover is None:
                await sockets_polled()
                self.clients.finish(with_partial_commands=True)
                # Guards the shutdown against a client that keeps its connection busy.
                self.clients.shutting_down = (
                    self._loop.time() >= begun + PARTIAL_COMMANDS_S + longest * SERVED_SHARE
                )
            if self._loop.time() >= begun + longest + ANSWER_SLACK_S:
                # Danger: a client may wait for longer than its class's deadline, but SIGKILL comes.
                self.host.end_open()

    def stop(self) -> None:
        """Abort every connection, as the end of the process would; nothing is sent any more."""
        if self._reloading is not None:
            self._reloading.cancel()
        if self._fleet is not None:
            self._fleet.close()
        self.host.lag.close()
        self.host.abandon()
        self._pool.close()
        self.clients.close()
        self._discovery.close()
        if self._control is not None:
            self._control.close()
        if self._upgrade is not None:
            self._upgrade.close()
