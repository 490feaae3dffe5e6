"""A watch at one address of the discovery service: fetches the full list once, then waits for changes."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import NamedTuple

import msgspec

from pebblepass.decisions import ListKind
from pebblepass.discovery.call import Call
from pebblepass.discovery.call_schedule import CallSchedule, PlannedCall
from pebblepass.discovery.connection import DiscoveryConnection, Response
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList, parse_endpoint_list
from pebblepass.wire.address import Address

LIST_PATH = "/registry/instances"
HTTP_OK = 200
MAX_OPEN_CALLS = 3

log = logging.getLogger("pebblepass")


class DiscoveryError(Exception):
    """The discovery service responded without a usable list."""


class ReceivedList(NamedTuple):
    """A list, and when the call that returned it was started, in seconds of the loop's clock."""

    listed: EndpointList
    call_started_at: float


class Watch:
    """Calls one address of the discovery service, and tracks the generation of the list received from it."""

    def __init__(
        self, address: Address, clock: ClockOffset, schedule: CallSchedule, generation: int, full: bool
    ) -> None:
        """`generation`: of the list in force; `full`: begin with the full list."""
        self.address, self.schedule = address, schedule
        self.needs_full_list = full
        self.is_superseded = False
        """Whether the address is no longer the configured one."""
        self.task: asyncio.Task[None] | None = None
        self._generation, self._clock = generation, clock
        self._connection: DiscoveryConnection | None = None  # idle, for the next call
        self._calls: list[Call] = []  # the open ones, oldest first
        self._given_up = 0  # calls without a response that are no longer open, since the last response

    async def poll(self) -> ReceivedList:
        """Call until the first usable response and return its list; raises the last call's error.

        While a call has no response, others begin beside it, as the schedule has it; of those that fail at
        once, one is repeated.
        """
        loop = asyncio.get_running_loop()
        self._given_up, failure = 0, None
        next_at = self._begin_call(self.schedule.plan(self.needs_full_list), self._take_connection())
        while self._calls or not self.is_superseded:
            await self._wait_for_a_call(math.inf if self.is_superseded else next_at)
            if (ended := self._take_ended()) is not None:
                try:
                    return self._finish(ended)
                except TimeoutError as timeout:
                    # If the next call is due at some time, it begins in place of this one.
                    if not self._calls and next_at == math.inf:
                        raise failure or timeout from None
                except Exception as error:
                    if not self._calls:
                        raise
                    delay_s = self.schedule.record_failure_beside_open_call()
                    next_at = math.inf if failure else min(next_at, loop.time() + delay_s)
                    failure = error.with_traceback(None)  # it would keep this frame, and with it the response
            elif not self.is_superseded:
                self._log_overdue()
                planned = self.schedule.plan_immediate(self.needs_full_list, self._unanswered)
                next_at = self._begin_call(planned)
        raise failure or DiscoveryError("no call is open, and another address is configured")

    def accepted(self, listed: EndpointList) -> None:
        """Continue after this list, which is now in force."""
        self._generation, self.needs_full_list = listed.generation, False

    def rejected(self) -> None:
        """Request the full list next, because it is unknown how much of the last one was applied."""
        self.needs_full_list = True

    def failed(self, error: Exception) -> float | None:
        """Record that the last open call failed; return the delay before the next one in seconds, if any."""
        if not self.schedule.is_failing:
            log.warning(
                "discovery: a call to %s:%d failed; keeping list %d in force and retrying: %s",
                *self.address,
                self._generation,
                str(error) or type(error).__name__,
            )
        delay_s = self.schedule.record_failure(timed_out=isinstance(error, TimeoutError))
        return delay_s if not self.is_superseded or delay_s == 0.0 else None

    def supersede(self) -> None:
        """Begin no call beside the oldest open one, as another address is configured."""
        self.is_superseded = True
        for call in self._calls[1:]:
            call.close()
        del self._calls[1:]

    def close_connection(self) -> None:
        """Close the open calls and the idle connection."""
        for call in self._calls:
            call.close()
        self._calls.clear()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def close(self) -> None:
        """Cancel the calls and close their connections."""
        if self.task is not None:
            self.task.cancel()
        self.close_connection()

    @property
    def open_calls(self) -> int:
        """How many calls have no response yet."""
        return len(self._calls)

    @property
    def _unanswered(self) -> int:
        """How many calls have had no response, open or not, since the last one."""
        return self._given_up + len(self._calls)

    def _begin_call(self, planned: PlannedCall, connection: DiscoveryConnection | None = None) -> float:
        """Begin a call, and return when another one is to begin beside it."""
        if len(self._calls) == MAX_OPEN_CALLS:
            self._calls.pop(0).close()
            self._given_up += 1
        timeout_s = self.schedule.timing.connect_timeout_s
        call = Call(self.address, self._target(planned), planned, timeout_s, connection, self._unanswered)
        self._calls.append(call)
        return call.started_at + planned.overlap_after_s

    def _take_connection(self) -> DiscoveryConnection | None:
        connection, self._connection = self._connection, None
        return connection

    async def _wait_for_a_call(self, until: float) -> None:
        """Wait until a call has ended, at most until that time."""
        timeout_s = None if until == math.inf else max(until - asyncio.get_running_loop().time(), 0.0)
        if tasks := [call.task for call in self._calls if call.task is not None]:
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(timeout_s or 0.0)

    def _take_ended(self) -> Call | None:
        for call in self._calls:
            if call.has_ended:
                self._calls.remove(call)
                return call
        return None

    def _finish(self, ended: Call) -> ReceivedList:
        """Return the list of an ended call and close the others; raises an error of any type."""
        try:
            listed = self._parse(ended.result())
        except BaseException as error:
            self._given_up += isinstance(error, TimeoutError)
            ended.close()
            raise
        self.schedule.record_success(ended.unanswered)
        self.close_connection()
        self._connection = ended.connection
        return ReceivedList(listed, ended.started_at)

    def _log_overdue(self) -> None:
        if len(self._calls) == 1:
            oldest = self._calls[0]
            log.info(
                "discovery: no response from %s:%d after %.1f s; list %d stays in force, calling again",
                *self.address,
                asyncio.get_running_loop().time() - oldest.started_at,
                self._generation,
            )

    def _target(self, call: PlannedCall) -> str:
        if call.wait_s is None:
            return LIST_PATH
        return f"{LIST_PATH}?index={self._generation}&wait={int(call.wait_s * 1000)}"

    def _parse(self, response: Response) -> EndpointList:
        if response.status != HTTP_OK:
            raise DiscoveryError(f"the response has status {response.status}")
        listed = parse_endpoint_list(msgspec.json.decode(response.body), self._clock)
        if listed.change.kind is ListKind.DELTA and listed.generation < self._generation:
            # Warning: the service has lost the list in force, so its changes refer to a different list.
            self.needs_full_list = True
            raise DiscoveryError(f"the list went back from version {self._generation} to {listed.generation}")
        return listed
