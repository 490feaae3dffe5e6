"""One running router: its listener, connection pool and discovery client, and their start and shutdown."""

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
from pebblepass.daemon.inherited_listener import adopt_listener
from pebblepass.daemon.memory_account import MemoryAccount, account_bytes
from pebblepass.daemon.memory_monitor import MemoryMonitor, MemorySources, MemoryUse
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions import ListKind
from pebblepass.decisions.interface import NS_PER_S
from pebblepass.discovery.client import DiscoveryClient
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList, parse_endpoint_list
from pebblepass.wire.address import Address

if TYPE_CHECKING:
    from pebblepass.daemon.fleet import FleetMember
    from pebblepass.daemon.upgrade import RouterUpgrade
    from pebblepass.operator_config import FleetSection, MultiGetSection

READY_S = 1.0  # time to wait for discovery's first endpoint list before the cached one is used
UPGRADE_READY_S = 1.8
"""The same for the list of the process before: a change has to be known 2 s after this process is ready, and
the first list comes up to 3.8 s after the start if its first call is lost."""
START_SHARE = 0.4  # fraction of the CPU quota; clients are accepted once the start has used no more than this
MAX_SETTLING_S = 0.4  # maximum delay before clients are accepted after a start that used much CPU time
RELOAD_TRIES, RELOAD_STEP_S = 20, 0.1  # the file may be incomplete while it is written
MULTI_GET_MEMORY_FACTOR = 2  # multi-gets may take a quarter of it: at most half of the account
OWN_MEMORY_BYTES = 24 << 20
"""Of a process without a request, where it can't be measured."""

log = logging.getLogger("pebblepass")


def settling_delay(startup_cpu_s: float, cores: float) -> float:
    """Return for how many seconds to delay clients after a start, so that the CPU quota is not exhausted."""
    return min(max(startup_cpu_s / (cores * START_SHARE) - startup_cpu_s, 0.0), MAX_SETTLING_S)


class Daemon:
    """A router on an event loop, which it may share; its clock is the loop's time.

    Call `start`, then `drain` for a graceful shutdown, then `stop`.
    """

    host_class: type[RouterHost] = RouterHost
    """The class of the decision module's host; tests with injected faults replace it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        unix_ns: Callable[[], int] = time.time_ns,
        startup_cpu_s: float = 0.0,
        reserved_descriptors: int = 0,
        own_memory: int = OWN_MEMORY_BYTES,
    ) -> None:
        """`startup_cpu_s`: seconds of CPU time that the start has used so far.

        `reserved_descriptors`: number of descriptors that accounting and the fleet need.
        `own_memory`: bytes that the process uses without a request.
        """
        self._loop, self._config = loop, config
        self._control_limit = caller_limit(config.sockets, MAX_CONNECTIONS) if config.ops is not None else 0
        inherited = config.inherited is not None
        self._allocation = allocate(
            config.sockets, own_descriptors(self._control_limit, inherited, reserved_descriptors)
        )
        if self._allocation.warning:
            log.warning("%s", self._allocation.warning)
        dial_timeout, idle_close = config.dial_timeout / NS_PER_S, config.idle_close / NS_PER_S
        reports = bool(config.settings.load_fields)
        self._own_memory, self._multi_get_memory = own_memory, 0
        self._account = MemoryAccount(self._account_bytes())
        self._pool = Pool(loop, self._allocation.servers, dial_timeout, idle_close, reports, self._account)
        self.host = self.host_class(loop, config.settings, config.seed, self._pool, config.max_open)
        self.clients = ClientServer(
            loop, self.host, self._allocation.served, self._account, self._allocation.rejected
        )
        sources = MemorySources(self._memory_uses, self.clients.figures, lambda: self.host.open_request_count)
        self._memory = MemoryMonitor(config.memory, sources)
        self.clients.on_sweep = self._memory.check
        clock = self._clock = ClockOffset(self.host.now(), unix_ns())
        self._upgrade: RouterUpgrade | None = None
        self._settled_at = loop.time() + settling_delay(startup_cpu_s, config.cores)
        must_subscribe, rng = config.settings.must_subscribe, random.Random(config.seed)
        self._discovery = DiscoveryClient(
            config.discovery,
            must_subscribe,
            clock,
            self._apply_endpoint_list,
            self.host.discovery_failed,
            rng,
        )
        self.host.subscribe = self._discovery.subscribe
        if config.known is not None:
            cached = parse_endpoint_list(config.known, clock, ListKind.CACHED)
            self._discovery.generation = cached.generation
            self.host.servers_changed(cached)
        self.on_overtime: Callable[[], None] = lambda: None
        """Called when a shutdown takes longer than the platform has to wait; set by its owner."""
        self._reload_task: asyncio.Task[None] | None = None
        self._control: ControlServer | None = None
        self._fleet: FleetMember | None = None

    def _account_bytes(self, processes: int = 1) -> int:
        """Return the bytes that peers' bytes may take in one of `processes` processes."""
        allocation = self._allocation
        connections = allocation.served + allocation.rejected + allocation.servers
        limit = self._config.memory - self._multi_get_memory
        return account_bytes(limit, self._own_memory, connections, processes)

    def _memory_uses(self) -> list[MemoryUse]:
        return self._account.uses()

    def _diagnostic_lines(self) -> list[str]:
        return [*self._memory.lines(), *self.clients.closes.lines(), *self._discovery.diagnostic_lines()]

    def enable_multi_get(self, section: MultiGetSection) -> None:
        """Enable multi-gets; call it before `start`."""
        # Imported only if the operator has configured it.
        from pebblepass.daemon.multi_get.registry import MultiGetRegistry

        memory = min(self._config.memory, self._account_bytes() * MULTI_GET_MEMORY_FACTOR)
        registry = MultiGetRegistry(self._loop, self.host, self._pool, section, memory)
        self.host.multi_gets = self.clients.multi_gets = registry
        self._multi_get_memory = registry.allocator.bounds.memory
        self._account.resize(self._account_bytes())

    def join_fleet(self, section: FleetSection) -> FleetMember:
        """Join a fleet of routers; call it before `start`. Raises ConfigError."""
        # Imported only if the operator has configured it.
        from pebblepass.daemon.fleet import FleetMember

        self._fleet = FleetMember(self._loop, self.host, self._config, section)
        return self._fleet

    async def start(self) -> None:
        """Listen for clients and watch the endpoint list; raises OSError if an address can't be bound."""
        if self._config.ops is not None:
            fleet = self._fleet.answer if self._fleet is not None else None
            sources = ControlSources(self.is_ready, self.host.metrics_lines, fleet, self._diagnostic_lines)
            self._control = ControlServer(self._loop, sources, self._control_limit)
            await self._control.listen(self._config.ops)
        if self._fleet is not None:
            await self._fleet.start()
        if self._config.inherited is None:
            await self.clients.listen(self._config.listen)
        else:
            await self._start_upgrade(adopt_listener(self._config.inherited, self._config.listen))
        is_successor = self._upgrade is not None and self._upgrade.has_imported_state
        # If lists have to be requested, the decision module requests one after it has received the cached
        # one. A successor can't wait for that.
        if self._config.known is None or not self._config.settings.must_subscribe or is_successor:
            self._discovery.start()
        if is_successor:
            self._loop.call_later(UPGRADE_READY_S, self._become_ready)
        elif self._config.known is not None:
            self._loop.call_later(READY_S, self._become_ready)

    async def _start_upgrade(self, listener: socket.socket) -> None:
        """Take over from a running process, if any; clients are accepted once the servers are known."""
        # Imported only if the platform holds the clients' listening socket.
        import tempfile

        from pebblepass.daemon.upgrade import RouterParts, RouterUpgrade

        folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
        parts = RouterParts(
            self._loop,
            self.host,
            self.clients,
            self._pool,
            self._discovery,
            self._clock,
            self._account,
            self._account_bytes,
        )
        self._upgrade = RouterUpgrade(
            parts, listener, folder, self._allocation.own + self._allocation.rejected
        )
        await self._upgrade.begin()

    def is_ready(self) -> bool:
        """Whether it has an endpoint list, accepts requests, and is ready in its fleet if it has one."""
        fleet_is_ready = self._fleet is None or self._fleet.ready()
        return self.host.ready and self.clients.listening and fleet_is_ready

    def _apply_endpoint_list(self, listing: EndpointList) -> None:
        if not self.host.servers_changed(listing):
            raise RuntimeError("the decision module failed to handle an endpoint list")
        self._become_ready()

    def _become_ready(self) -> None:
        if self.host.ready:
            return
        delay_s = self._settled_at - self._loop.time()
        if delay_s > 0:
            # Warning: after a start that has used up the CPU quota the platform throttles the process, and
            # with it the clients that it has accepted.
            self._loop.call_later(delay_s, self._become_ready)
            return
        self.host.ready = True
        if self._upgrade is not None:
            self._upgrade.ready()

    def move_discovery(self, address: Address) -> None:
        """Watch the endpoint list at another address; until its first list the current one is used."""
        self._discovery.change_address(address)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read discovery's address from the file again, in a task."""
        if self._reload_task is not None:
            self._reload_task.cancel()
        self._reload_task = self._loop.create_task(self._reload(environ))

    async def _reload(self, environ: Mapping[str, str]) -> None:
        """Retry while the file is invalid, as it may still be being written; then keep the old address."""
        for retries_left in reversed(range(RELOAD_TRIES)):
            try:
                self.move_discovery(reload_discovery(environ))
                return
            except ConfigError as error:
                if not retries_left:
                    log.error(
                        "reloading the configuration failed, discovery's address is unchanged: %s", error
                    )
            await asyncio.sleep(RELOAD_STEP_S)

    async def drain(self) -> None:
        """Shut down gracefully, before the platform's earliest SIGKILL; see `Shutdown`."""
        # Imported only at the end of a process.
        from pebblepass.daemon.shutdown import Shutdown

        longest = max(cls.deadline for cls in self._config.settings.classes) / NS_PER_S
        shutdown = Shutdown(
            self._loop, self.host, self.clients, self._upgrade, longest, lambda: self.on_overtime()
        )
        await shutdown.run()

    def stop(self) -> None:
        """Abort every connection, as an exit of the process does; nothing is sent from now on."""
        if self._reload_task is not None:
            self._reload_task.cancel()
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
