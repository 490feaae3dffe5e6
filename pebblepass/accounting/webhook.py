"""Posts breaches to the operator's address: one at a time, with retries, without blocking requests."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

import httptools

from pebblepass.wire.address import Address
from pebblepass.wire.http import HttpError, HttpReader, request

MAX_QUEUED = 64
POST_TIMEOUT_S = 2.0  # for one post, with its connection
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.25, 30.0

log = logging.getLogger("pebblepass")


class Webhook:
    """Posts each event; while the address does not answer, a full queue drops its oldest."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, path: str) -> None:
        self._loop, self._address, self._path = loop, address, path
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED)
        self._task: asyncio.Task[None] | None = None
        self.posted = self.dropped = 0

    def send(self, body: bytes) -> None:
        """Queue a body (JSON) to be posted; return at once."""
        self.dropped += len(self._queue) == MAX_QUEUED
        self._queue.append(body)
        if self._task is None or self._task.done():
            self._task = self._loop.create_task(self._work())

    def close(self) -> None:
        """Stop posting; the queue is dropped."""
        if self._task is not None:
            self._task.cancel()

    async def _work(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while self._queue:
            body = self._queue[0]
            try:
                async with asyncio.timeout(POST_TIMEOUT_S):
                    status = await self._post(body)
                if status >= 300:
                    raise HttpError(f"answered {status}")
            except (OSError, TimeoutError, HttpError, httptools.HttpParserError) as error:
                if backoff_s == MIN_BACKOFF_S:
                    log.warning(
                        "the webhook: posting a breach to %s:%d failed, it is retried: %s",
                        *self._address,
                        str(error) or type(error).__name__,
                    )
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = MIN_BACKOFF_S
            self.posted += 1
            # A full queue may have dropped it meanwhile.
            if self._queue and self._queue[0] is body:
                self._queue.popleft()

    async def _post(self, body: bytes) -> int:
        post = _Post(self._loop)
        transport, _ = await self._loop.create_connection(lambda: post, *self._address)
        try:
            host = f"{self._address[0]}:{self._address[1]}"
            transport.write(request("POST", self._path, host, b"Content-Type: application/json\r\n", body))
            return await post.status_received
        finally:
            transport.abort()


class _Post(asyncio.Protocol, HttpReader):
    """One connection for one post."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        HttpReader.__init__(self)
        self.status_received: asyncio.Future[int] = loop.create_future()

    def data_received(self, data: bytes) -> None:
        try:
            whole = self.read(data)
        except HttpError as error:
            self._fail(error)
            return
        if whole and not self.status_received.done():
            self.status_received.set_result(self.status)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("closed without an answer"))

    def _fail(self, error: Exception) -> None:
        if not self.status_received.done():
            self.status_received.set_exception(error)

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        pass
