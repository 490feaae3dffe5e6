"""The client of the discovery service: fetches the full list once, then watches it without a gap."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from pebblepass.discovery.call_schedule import POLL_TIMING, PUSH_TIMING, CallSchedule
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList
from pebblepass.discovery.watch import Watch
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
        self._needs_full_list = False  # the next watch begins with the full list
        self._watch: Watch | None = None
        self._next: Watch | None = None  # at a new address, until its first response

    def start(self) -> None:
        """Begin a watch with the full list, unless `change_address` has already begun one."""
        if self._watch is None:
            self._watch = self._begin(full=True)

    def subscribe(self) -> None:
        """Begin a watch, unless there is one at the current address."""
        if self._next is not None:
            return
        if self._watch is None:
            self._watch = self._begin(full=self._needs_full_list or self._list_origin != self._address)
        elif self._watch.address != self._address:
            self._next = self._begin(full=True)

    def change_address(self, address: Address) -> None:
        """Switch to another address. The watch at the old one continues until the new one has responded."""
        if address == self._address:
            return
        self._address = address
        if self._next is not None:
            self._next.close()
            self._next = None
        if self._watch is not None and self._watch.address == address:
            self._schedule = self._watch.schedule
            return
        self._schedule = self._new_schedule()
        if self._watch is not None:
            self._next = self._begin(full=True)
        elif not self._polled:
            self.start()

    def close(self) -> None:
        """End all calls."""
        for watch in (self._watch, self._next):
            if watch is not None:
                watch.close()
        self._watch = self._next = None

    def _new_schedule(self) -> CallSchedule:
        return CallSchedule(POLL_TIMING if self._polled else PUSH_TIMING, self._rng)

    def _begin(self, full: bool) -> Watch:
        watch = Watch(self._address, self._clock, self._schedule, self.generation, full)
        run = self._run_polled(watch) if self._polled else self._run_pushed(watch)
        watch.task = asyncio.get_running_loop().create_task(run)
        return watch

    async def _run_pushed(self, watch: Watch) -> None:
        while True:
            try:
                await self._poll_and_apply(watch)
            except Exception as error:
                watch.failed(error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _run_polled(self, watch: Watch) -> None:
        next_is_due = True
        while next_is_due:
            try:
                await self._poll_and_apply(watch)
            except Exception as error:
                next_is_due = watch.failed(error)
        # After an error response the connection is still open, and the next watch opens another one.
        watch.close_connection()
        self._needs_full_list = self._needs_full_list or watch.needs_full_list
        if watch is self._next:
            # Warning: the watch at the old address may last long, and no other watch polls the new address.
            self._next = None
        else:
            self._watch = None
        if self._next is None:
            self._failed()

    async def _poll_and_apply(self, watch: Watch) -> None:
        listed = await watch.poll()
        if not self._apply_list(watch, listed):
            await asyncio.sleep(REJECTED_LIST_DELAY_S)

    def _apply_list(self, watch: Watch, listed: EndpointList) -> bool:
        """Put a list in force; return False if that failed, and the watch then requests the full list."""
        if watch is self._next:
            self._switch_to_next(watch)
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
        return True

    def _switch_to_next(self, watch: Watch) -> None:
        # The old watch is closed only now, after the new address has responded, to avoid a gap.
        if self._watch is not None:
            self._watch.close()
        self._watch, self._next = watch, None
        log.info("discovery: switched to %s:%d", *watch.address)
