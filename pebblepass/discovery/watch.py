"""A watch at one address of the discovery service: fetches the full list once, then waits for changes."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from pebblepass.decisions import ListKind
from pebblepass.discovery.call_schedule import CallSchedule, PlannedCall
from pebblepass.discovery.connection import DiscoveryConnection, Response
from pebblepass.discovery.endpoint_list import ClockOffset, EndpointList, parse_endpoint_list
from pebblepass.wire.address import Address

LIST_PATH = "/registry/instances"
HTTP_OK = 200

log = logging.getLogger("pebblepass")


class DiscoveryError(Exception):
    """The discovery service responded without a usable list."""


class Watch:
    """Calls one address of the discovery service, and tracks the generation of the list received from it."""

    def __init__(
        self, address: Address, clock: ClockOffset, schedule: CallSchedule, generation: int, full: bool
    ) -> None:
        """`generation`: of the list in force; `full`: begin with the full list."""
        self.address, self.schedule = address, schedule
        self.needs_full_list = full
        self.task: asyncio.Task[None] | None = None
        self._generation, self._clock = generation, clock
        self._connection: DiscoveryConnection | None = None

    async def poll(self) -> EndpointList:
        """Make one call and return its list; raises an exception of any type if the call failed."""
        call = self.schedule.plan(self.needs_full_list)
        try:
            async with asyncio.timeout(call.timeout_s):
                connection = await self._connect()
                response = await connection.get(self._target(call), "{}:{}".format(*self.address))
        except BaseException:
            self.close_connection()
            raise
        listed = self._parse(response)
        self.schedule.record_success()
        return listed

    def accepted(self, listed: EndpointList) -> None:
        """Continue after this list, which is now in force."""
        self._generation, self.needs_full_list = listed.generation, False

    def rejected(self) -> None:
        """Request the full list next, because it is unknown how much of the last one was applied."""
        self.needs_full_list = True

    def failed(self, error: Exception) -> bool:
        """Record a failed call; return whether the next is due immediately."""
        if not self.schedule.is_failing:
            log.warning(
                "discovery: a call to %s:%d failed; keeping the list in force and retrying: %s",
                *self.address,
                str(error) or type(error).__name__,
            )
        return self.schedule.record_failure(timed_out=isinstance(error, TimeoutError))

    def close_connection(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()

    def close(self) -> None:
        """Cancel the calls and close the connection."""
        if self.task is not None:
            self.task.cancel()
        self.close_connection()

    def _target(self, call: PlannedCall) -> str:
        if call.wait_s is None:
            return LIST_PATH
        return f"{LIST_PATH}?index={self._generation}&wait={int(call.wait_s * 1000)}"

    async def _connect(self) -> DiscoveryConnection:
        if self._connection is not None and self._connection.is_usable:
            return self._connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.schedule.timing.connect_timeout_s):
                _, self._connection = await loop.create_connection(DiscoveryConnection, *self.address)
        except TimeoutError:
            raise ConnectionError("connecting timed out") from None
        return self._connection

    def _parse(self, response: Response) -> EndpointList:
        if response.status != HTTP_OK:
            raise DiscoveryError(f"the response has status {response.status}")
        listed = parse_endpoint_list(msgspec.json.decode(response.body), self._clock)
        if listed.change.kind is ListKind.DELTA and listed.generation < self._generation:
            # Warning: the service has lost the list in force, so its changes refer to a different list.
            self.needs_full_list = True
            raise DiscoveryError(f"the list went back from version {self._generation} to {listed.generation}")
        return listed
