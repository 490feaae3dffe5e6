"""Breaches posted to the operator's own address: one at a time, tried again, never waited for."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

import httptools

from pebblepass.wire.address import Address
from pebblepass.wire.http import HttpError, HttpReader, request

MOST_WAITING = 64
TRY_S = 2.0  # for one post, connecting and all
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.25, 30.0

log = logging.getLogger("pebblepass")


class Webhook:
    """Posts each event; while the address does not answer, the oldest of a bounded queue go."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, path: str) -> None:
        self._loop, self._address, self._path = loop, address, path
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._task: asyncio.Task[None] | None = None
        self.posted = self.dropped = 0

    def send(self, body: bytes) -> None:
        """Post this, soon; returns at once."""
        self.dropped += len(self._waiting) == MOST_WAITING
        self._waiting.append(body)
        if self._task is None or self._task.done():
            self._task = self._loop.create_task(self._work())

    def close(self) -> None:
        """Stop; what waits is not posted."""
        if self._task is not None:
            self._task.cancel()

    async def _work(self) -> None:
        pause = FIRST_PAUSE_S
        while self._waiting:
            body = self._waiting[0]
            try:
                async with asyncio.timeout(TRY_S):
                    status = await self._post(body)
                if status >= 300:
                    raise HttpError(f"answered {status}")
            except (OSError, TimeoutError, HttpError, httptools.HttpParserError) as error:
                if pause == FIRST_PAUSE_S:
                    log.warning("the webhook: %s", str(error) or type(error).__name__)
                await asyncio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE_S)
                continue
            pause = FIRST_PAUSE_S
            self.posted += 1
            # While it was under way a full queue may have let it go already.
            if self._waiting and self._waiting[0] is body:
                self._waiting.popleft()

    async def _post(self, body: bytes) -> int:
        post = _Post(self._loop)
        transport, _ = await self._loop.create_connection(lambda: post, *self._address)
        try:
            host = f"{self._address[0]}:{self._address[1]}"
            transport.write(request("POST", self._path, host, b"Content-Type: application/json\r\n", body))
            return await post.status_came
        finally:
            transport.abort()


class _Post(asyncio.Protocol, HttpReader):
    """One connection for one post."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        HttpReader.__init__(self)
        self.status_came: asyncio.Future[int] = loop.create_future()

    def data_received(self, data: bytes) -> None:
        try:
            whole = self.read(data)
        except HttpError as error:
            self._fail(error)
            return
        if whole and not self.status_came.done():
            self.status_came.set_result(self.status)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("closed without an answer"))

    def _fail(self, error: Exception) -> None:
        if not self.status_came.done():
            self.status_came.set_exception(error)

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        pass
