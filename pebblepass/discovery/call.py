"""One call to the discovery service, from connecting to its response."""

from __future__ import annotations

import asyncio

from pebblepass.discovery.call_schedule import PlannedCall
from pebblepass.discovery.connection import DiscoveryConnection, Response
from pebblepass.wire.address import Address


class Call:
    """A call in a task of its own, which ends with the response or the call's error."""

    def __init__(
        self,
        address: Address,
        target: str,
        planned: PlannedCall,
        connect_timeout_s: float,
        connection: DiscoveryConnection | None = None,
        unanswered: int = 0,
    ) -> None:
        """`target`: of the HTTP request; `connection`: an idle one to be used again, if it is usable.

        `unanswered`: how many calls begun before it have had no response so far.
        """
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        self.planned, self.unanswered = planned, unanswered
        self.connection = connection
        self._address, self._target, self._connect_timeout_s = address, target, connect_timeout_s
        self.task: asyncio.Task[Response] | None = loop.create_task(self._run())
        """None: the call was closed."""
        self.task.add_done_callback(_retrieve_error)

    @property
    def has_ended(self) -> bool:
        """Whether there is a response or an error."""
        return self.task is None or self.task.done()

    def result(self) -> Response:
        """Return the response of a call that has ended; raises its error, of any type."""
        assert self.task is not None
        return self.task.result()

    def close(self) -> None:
        """End the call and its connection."""
        if self.task is not None:
            self.task.cancel()
        self.task = None  # its error refers to this call by its traceback
        self._close_connection()

    async def _run(self) -> Response:
        try:
            async with asyncio.timeout(self.planned.timeout_s):
                connection = await self._connect()
                return await connection.get(self._target, "{}:{}".format(*self._address))
        except TimeoutError:
            self._close_connection()
            raise TimeoutError(f"no response within {self.planned.timeout_s:.1f} s") from None
        except BaseException:
            self._close_connection()
            raise

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def _connect(self) -> DiscoveryConnection:
        if self.connection is not None and self.connection.is_usable:
            return self.connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, self.connection = await loop.create_connection(DiscoveryConnection, *self._address)
        except TimeoutError:
            raise ConnectionError("connecting timed out") from None
        return self.connection


def _retrieve_error(task: asyncio.Task[Response]) -> None:
    """Mark the error as seen: that of a call beside another one may never be looked at."""
    if not task.cancelled():
        task.exception()
