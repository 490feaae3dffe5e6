"""The graceful shutdown of a router: carries out the plan of `shutdown_plan`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from pebblepass.daemon.client_server import ClientServer
from pebblepass.daemon.last_replies import LastReplies
from pebblepass.daemon.router import RouterHost
from pebblepass.daemon.shutdown_plan import plan_shutdown
from pebblepass.daemon.untaken_bytes import untaken_bytes

if TYPE_CHECKING:
    from pebblepass.daemon.upgrade import RouterUpgrade

STEP_S = 0.01
OBSERVATION_INTERVAL_S = 0.1

log = logging.getLogger("pebblepass")


async def sockets_polled() -> None:
    """Wait until the sockets have been read: a late event loop runs timers before it polls its sockets."""
    # The first iteration may begin before the sockets are polled, the second can't.
    for _ in range(2):
        await asyncio.sleep(0)


class Shutdown:
    """One shutdown, from SIGTERM on.

    With a successor, connections are handed over as they become idle. Without one:

    | from | change |
    | --- | --- |
    | SIGTERM | none: open requests keep their attempts, retries and fetches to the end |
    | accept_until | idle connections are closed, and only pending ones are accepted |
    | close_partial_commands_at | none is accepted; those with a partial command are closed too |
    | serve_until | new commands are rejected |
    | fail_open_at | open requests fail, and nothing more is read; it ends once every reply is taken |
    | end_at | only long values, and replies behind them, are still passed on |

    The platform may send SIGKILL after the plan's end. Until it does, long values are passed on to their end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: RouterHost,
        clients: ClientServer,
        upgrade: RouterUpgrade | None,
        longest_deadline: float,
        on_overtime: Callable[[], None],
    ) -> None:
        """`longest_deadline`: of the classes, in seconds; `upgrade`: None if the listener is its own.

        `on_overtime`: called if long values are incomplete at the plan's end: SIGKILL may come at any time.
        """
        self._loop, self._host, self._clients, self._upgrade = loop, host, clients, upgrade
        self._plan, self._on_overtime = plan_shutdown(longest_deadline), on_overtime
        self._started_at = loop.time()
        self._last_replies, self._observed_at = LastReplies(untaken_bytes), float("-inf")

    async def run(self) -> None:
        """Return once all is answered, and the clients that go on reading have their replies."""
        if self._upgrade is None or not self._upgrade.terminate():
            await self._stop_accepting()
        while self._clients.connected and not self._is_past(self._plan.fail_open_at):
            await asyncio.sleep(STEP_S)
            await self._close_idle()
            self._observe_replies()
        await self._end_connections()

    def _is_past(self, step: float) -> bool:
        return self._loop.time() >= self._started_at + step

    async def _stop_accepting(self) -> None:
        await asyncio.sleep(self._plan.accept_until)
        await sockets_polled()
        if self._upgrade is None:  # else pending connections stay in the backlog of the platform's socket
            await self._accept_pending()
        self._clients.stop_accepting()
        self._clients.finish(with_partial_commands=False)

    async def _accept_pending(self) -> None:
        """Accept the connections that the kernel has accepted, before the listener closes."""
        while self._clients.accept_pending() and not self._is_past(self._plan.close_partial_commands_at):
            await asyncio.sleep(0)
        await sockets_polled()

    async def _close_idle(self) -> None:
        # Connections that another process takes over are not closed.
        if not self._is_past(self._plan.close_partial_commands_at) or self._clients.on_handover is not None:
            return
        await sockets_polled()
        self._clients.finish(with_partial_commands=True)
        # A client that keeps its connection busy must not prolong the shutdown.
        self._clients.shutting_down = self._is_past(self._plan.serve_until)

    def _observe_replies(self) -> None:
        now = self._loop.time()
        if now - self._observed_at >= OBSERVATION_INTERVAL_S:
            self._observed_at = now
            self._last_replies.observe(self._clients.connections, now)

    async def _end_connections(self) -> None:
        """End each connection after its last reply."""
        clients, last_replies = self._clients, self._last_replies
        clients.shutting_down = True
        last_replies.observe(clients.connections, self._loop.time())
        last_replies.stop_reading()
        is_reported = False
        while self._end_finished():
            if self._is_past(self._plan.end_at) and not is_reported:
                is_reported = True
                log.info("shutdown: long values are still being passed on to %d clients", clients.connected)
                self._on_overtime()
            await asyncio.sleep(STEP_S)
            last_replies.observe(clients.connections, self._loop.time())

    def _end_finished(self) -> bool:
        """Fail what is open, and end the connections that are owed nothing; returns whether some are left."""
        # Warning: a request may have a later deadline than that, but SIGKILL would end it without a reply.
        self._host.end_open()
        is_owing = self._host.open_request_count > 0 or self._clients.owes_replies
        is_overtime = self._is_past(self._plan.end_at)
        return self._last_replies.end_finished(self._loop.time(), not is_owing, is_overtime)
