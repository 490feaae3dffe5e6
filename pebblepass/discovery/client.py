"""The client of the discovery service: fetches the full list once, then watches it without a gap."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from pebblepass.discovery.call_schedule import POLL_TIMING, PUSH_TIMING, RELOAD_RETRIES, CallSchedule
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.discovery.watch import ReceivedList, Watch
from pebblepass.wire.address import Address

RETRY_DELAY_S = 0.1  # a service that pushes takes a watch for interrupted after 0.2 s without a call
REJECTED_LIST_DELAY_S = 0.5  # after a list that could not be applied; a later one may be valid

log = logging.getLogger("pebblepass")


class DiscoveryClient:
    """Keeps the endpoint list up to date. A failed call leaves the list in force unchanged.

    A service that pushes is watched all the time. A polled service is called when the decision module
    subscribes; the watch continues while calls succeed or time out, and ends with any other failure.
    """

    def __init__(
        self,
        address: Address,
        polled: bool,
        clock: ClockOffset,
        apply: Callable[[EndpointList], None],
        failed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """`apply` puts a list in force; `failed` is called when a polled watch ends.

        `rng`: a generator with another seed in each router, so that their calls spread.
        """
        self.generation = 0
        self._address, self._polled, self._clock = address, polled, clock
        self._apply, self._failed = apply, failed
        self._rng = rng
        self._schedule = self._new_schedule()
        self._list_origin = address  # the address from which the list in force was received
        self._list_applied_at = -math.inf
        self._needs_full_list = False  # the next watch begins with the full list
        self._watches: list[Watch] = []
        """By the age of their configurations; only the first may have had a response.

        The last is at the current address, unless the decision module has to subscribe there.
        """

    def start(self) -> None:
        """Begin a watch with the full list, unless `change_address` has already begun one."""
        if not self._watches:
            self._begin(full=True)

    def subscribe(self) -> None:
        """Begin a watch, unless there is one at the current address."""
        if self._current_watch is None:
            is_elsewhere = bool(self._watches) or self._list_origin != self._address
            self._begin(full=self._needs_full_list or is_elsewhere)

    def change_address(self, address: Address) -> None:
        """Switch to another address.

        Calls to earlier addresses go on until a later address has responded: that of the list in force, and
        the one that has waited longest for its first response.
        """
        if address == self._address:
            return
        self._address = address
        self._schedule = self._new_schedule(RELOAD_RETRIES)
        for watch in self._watches:
            watch.supersede()
        for watch in self._watches[2:]:
            watch.close()
        del self._watches[2:]
        self._begin(full=True)

    def close(self) -> None:
        """End all calls."""
        for watch in self._watches:
            watch.close()
        self._watches.clear()

    def diagnostic_lines(self) -> list[str]:
        """Return figures of the list in force and of the open calls, one line each: a name and a number."""
        lines = [
            f"discovery.list_generation {self.generation}",
            f"discovery.open_calls {self.open_calls}",
            f"discovery.earlier_addresses_called {sum(watch.is_superseded for watch in self._watches)}",
        ]
        if self._list_applied_at > -math.inf:
            age_s = asyncio.get_running_loop().time() - self._list_applied_at
            lines.append(f"discovery.list_received_seconds_ago {age_s:.3f}")
        return lines

    @property
    def open_calls(self) -> int:
        """How many calls have no response yet, at all addresses."""
        return sum(watch.open_calls for watch in self._watches)

    @property
    def _current_watch(self) -> Watch | None:
        """The watch at the current address."""
        return self._watches[-1] if self._watches and not self._watches[-1].is_superseded else None

    def _new_schedule(self, retries: int = 0) -> CallSchedule:
        return CallSchedule(POLL_TIMING if self._polled else PUSH_TIMING, self._rng, retries)

    def _begin(self, full: bool) -> None:
        watch = Watch(self._address, self._clock, self._schedule, self.generation, full)
        self._watches.append(watch)
        run = self._run_polled(watch) if self._polled else self._run_pushed(watch)
        watch.task = asyncio.get_running_loop().create_task(run)

    async def _run_pushed(self, watch: Watch) -> None:
        while True:
            try:
                await self._poll_and_apply(watch)
            except Exception as error:
                watch.failed(error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _run_polled(self, watch: Watch) -> None:
        delay_s: float | None = 0.0
        while delay_s is not None:
            await asyncio.sleep(delay_s)
            try:
                await self._poll_and_apply(watch)
            except Exception as error:
                delay_s = watch.failed(error)
            else:
                delay_s = 0.0
        # After an error response the connection is still open, and the next watch opens another one.
        watch.close_connection()
        self._needs_full_list = self._needs_full_list or watch.needs_full_list
        self._watches.remove(watch)
        if not watch.is_superseded:
            # Warning: a watch at an old address may last long, and no other watch polls the current one.
            self._failed()

    async def _poll_and_apply(self, watch: Watch) -> None:
        received = await watch.poll()
        if self._may_be_outdated(received):
            watch.rejected()
        elif not self._apply_list(watch, received.listed):
            await asyncio.sleep(REJECTED_LIST_DELAY_S)

    def _may_be_outdated(self, received: ReceivedList) -> bool:
        """Whether a list has a lower generation than one that another address sent while its call was open.

        Either it is older, or the service counts generations from the start again: a call begun now tells.
        """
        is_older = received.listed.generation < self.generation
        return is_older and received.call_started_at < self._list_applied_at

    def _apply_list(self, watch: Watch, listed: EndpointList) -> bool:
        """Put a list in force; return False if that failed, and the watch then requests the full list."""
        self._close_earlier(watch)
        try:
            self._apply(listed)
        except Exception:
            log.exception(
                "discovery: list %d from %s:%d could not be applied; requesting the full list again",
                listed.generation,
                *watch.address,
            )
            watch.rejected()
            return False
        watch.accepted(listed)
        self.generation = listed.generation
        self._list_origin, self._needs_full_list = watch.address, False
        self._list_applied_at = asyncio.get_running_loop().time()
        return True

    def _close_earlier(self, watch: Watch) -> None:
        """Close the watches at earlier addresses: only now, as a later one has responded, to avoid a gap."""
        index = self._watches.index(watch)
        for earlier in self._watches[:index]:
            earlier.close()
        del self._watches[:index]
        if watch.address != self._list_origin:
            log.info("discovery: switched to %s:%d", *watch.address)
