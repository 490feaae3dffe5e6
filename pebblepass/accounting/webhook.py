"""Posts breaches to the operator's webhook, one at a time and with retries, without blocking requests."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

import httptools

from pebblepass.wire.address import Address
from pebblepass.wire.http import HttpError, HttpReader, request

MAX_QUEUED = 64
POST_TIMEOUT_S = 2.0  # for one post, including the connection setup
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.25, 30.0

log = logging.getLogger("pebblepass")


class Webhook:
    """Posts each event, retrying with exponential backoff; a full queue drops its oldest event."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, path: str) -> None:
        self._loop, self._address, self._path = loop, address, path
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED)
        self._task: asyncio.Task[None] | None = None
        self.posted = self.dropped = 0

    def send(self, body: bytes) -> None:
        """Queue a JSON body for posting, and return immediately."""
        self.dropped += len(self._queue) == MAX_QUEUED
        self._queue.append(body)
        if self._task is None or self._task.done():
            self._task = self._loop.create_task(self._post_queue())

    def close(self) -> None:
        """Stop posting and discard the queue."""
        if self._task is not None:
            self._task.cancel()

    async def _post_queue(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while self._queue:
            body = self._queue[0]
            try:
                async with asyncio.timeout(POST_TIMEOUT_S):
                    status = await self._post(body)
                if status >= 300:
                    raise HttpError(f"expected an HTTP status below 300, got {status}")
            except (OSError, TimeoutError, HttpError, httptools.HttpParserError) as error:
                if backoff_s == MIN_BACKOFF_S:
                    log.warning(
                        "posting a breach to the webhook at %s:%d failed; retrying with backoff: %s",
                        *self._address,
                        str(error) or type(error).__name__,
                    )
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = MIN_BACKOFF_S
            self.posted += 1
            # The queue may have dropped this event while it was posted.
            if self._queue and self._queue[0] is body:
                self._queue.popleft()

    async def _post(self, body: bytes) -> int:
        post = _PostConnection(self._loop)
        transport, _ = await self._loop.create_connection(lambda: post, *self._address)
        try:
            host = f"{self._address[0]}:{self._address[1]}"
            transport.write(request("POST", self._path, host, b"Content-Type: application/json\r\n", body))
            return await post.status_received
        finally:
            transport.abort()


class _PostConnection(asyncio.Protocol, HttpReader):
    """The connection of one post."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        HttpReader.__init__(self)
        self.status_received: asyncio.Future[int] = loop.create_future()

    def data_received(self, data: bytes) -> None:
        try:
            complete = self.read(data)
        except HttpError as error:
            self._fail(error)
            return
        if complete and not self.status_received.done():
            self.status_received.set_result(self.status)

    def connection_lost(self, exc: Exception | None) -> None:
        self.release_parser()
        self._fail(ConnectionResetError("connection closed without a response"))

    def _fail(self, error: Exception) -> None:
        if not self.status_received.done():
            self.status_received.set_exception(error)

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        pass
