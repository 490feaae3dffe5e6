"""The end of a request: its final answer, and resuming the requests that waited for it."""

from __future__ import annotations

import random
from collections.abc import Callable

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.fetch_queue import FetchQueue
from pebblepass.decisions.interface import Reason
from pebblepass.decisions.open_requests import OpenRequests
from pebblepass.decisions.requests import Command, Request
from pebblepass.decisions.single_flight import SingleFlight

FETCHES_PER_COMMAND = 4  # of one command's keys, in flight or queued: one scan must not fill the queue

Resume = Callable[[Request], None]
"""The next step of a request that has waited."""


class Completion:
    """Gives up and finishes requests, and resumes those that waited for them."""

    def __init__(
        self,
        settings: api.Settings,
        requests: OpenRequests,
        flights: SingleFlight,
        queue: FetchQueue,
        context: EventContext,
        rng: random.Random,
    ) -> None:
        self._retry_after, self._max_retry_after = settings.retry_after, settings.max_retry_after
        self._requests, self._flights, self._queue = requests, flights, queue
        self._context, self._rng = context, rng
        self._route: Resume
        self._fetch_or_wait: Resume

    def resume_with(self, route: Resume, fetch_or_wait: Resume) -> None:
        """Set the next step of waiters: `route` if a cache now has their key, else `fetch_or_wait`."""
        self._route, self._fetch_or_wait = route, fetch_or_wait

    def give_up(self, request: Request, reason: Reason) -> None:
        """Give a final answer without a result: reject if a retry is harmless, else fail.

        The Retry-After (nanoseconds) is random, so that clients do not retry at the same time.
        """
        if request.may_reject():
            wait = int(self._rng.uniform(0.5, 1.0) * self._max_retry_after)
            self._context.actions.append(api.Reject(request.id, wait if self._retry_after else 0, reason))
        else:
            self._context.actions.append(api.Fail(request.id, reason))
        self.finish(request)

    def key_missing(self, request: Request) -> None:
        """Fail this request and all that wait for its fetch: the origin has no such key."""
        waiters = self._flights.waiters(request) if request.leads_flight else ()
        for waiter in (*waiters, request):
            if not waiter.is_done:
                self._context.actions.append(api.Fail(waiter.id, Reason.NOT_FOUND))
                self.finish(waiter)

    def finish(self, request: Request, stored: bool = False) -> None:
        """Close a request that has its final answer; `stored`: a cache now has its key."""
        request.is_done, request.is_waiting = True, False
        freed_command = None
        if request.in_origin_queue:
            self._queue.remove(request)
            freed_command = request.free_command_slot()
        if not request.in_flight and request.hedge_node is None:
            self._requests.remove(request)
        if request.leads_flight:
            self._end_flight(request, stored)
        if freed_command is not None:
            self.resume_command(freed_command)

    def resume_command(self, command: Command) -> None:
        """Start queued fetches of a command, up to its limit."""
        while command.queued and command.fetches < FETCHES_PER_COMMAND:
            waiter = command.queued.popleft()
            if waiter.in_command_queue and waiter.is_waiting:
                waiter.in_command_queue = waiter.is_waiting = False
                self._fetch_or_wait(waiter)

    def _end_flight(self, request: Request, stored: bool) -> None:
        """Resume the waiters of a shared fetch: at the cache if it now has the key, else with a fetch."""
        for waiter in self._flights.end(request):
            if not waiter.is_done:
                waiter.is_waiting = False
                (self._route if stored else self._fetch_or_wait)(waiter)
        if stored and request.key is not None and self._requests.commands:
            self._resume_key(request.key)

    def _resume_key(self, key: str) -> None:
        """Route the requests that wait in their command's queue for a key that is now cached."""
        commands = self._requests.commands.values()
        queued = [waiter for command in commands for waiter in command.queued if waiter.key == key]
        for waiter in queued:
            if waiter.in_command_queue and waiter.is_waiting:
                waiter.in_command_queue = waiter.is_waiting = False
                self._route(waiter)
