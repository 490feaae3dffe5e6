"""Admission to the origin: fetches of reads that missed, and writes."""

from __future__ import annotations

import random

from pebblepass.decisions import interface as api
from pebblepass.decisions.attempts import Attempts
from pebblepass.decisions.completion import FETCHES_PER_COMMAND, Completion
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.fetch_queue import FetchQueue
from pebblepass.decisions.health import Node, is_connection_failure
from pebblepass.decisions.interface import Outcome, Reason
from pebblepass.decisions.origin_limits import SLOW_FETCH_FRACTION, OriginLimits
from pebblepass.decisions.requests import Request
from pebblepass.decisions.single_flight import SingleFlight
from pebblepass.decisions.slot_table import SlotTable


class OriginRequests:
    """Starts, queues, delays or rejects fetches and writes, according to the origin's limits.

    Inputs: the limits (OriginLimits), the tenant's Suppressor, the flight of the key, the command's fetches
    and the time left. Reason: the origin is one slow server, and requests that it cannot answer in time serve
    no client.
    """

    def __init__(
        self,
        origins: SlotTable,
        limits: OriginLimits,
        flights: SingleFlight,
        queue: FetchQueue,
        attempts: Attempts,
        completion: Completion,
        context: EventContext,
        rng: random.Random,
    ) -> None:
        self._origins, self._limits, self._flights, self._queue = origins, limits, flights, queue
        self._attempts, self._completion = attempts, completion
        self._context, self._rng = context, rng
        self._waiting_writes: list[Request] = []  # the newest is sent first

    def fetch_or_wait(self, request: Request) -> None:
        """Fetch, or wait for a fetch of the same key or for another fetch of the same command."""
        if not self._flights.join(request):
            command = request.command
            if command is None or command.fetches < FETCHES_PER_COMMAND:
                self.submit(request)
                return
            command.queued.append(request)
            request.in_command_queue = True
        self._wait(request, request.deadline - self._context.now)

    def submit(self, request: Request) -> None:
        """Send a read's fetch or a write to the origin if the limits admit it; else queue or reject it."""
        request.is_waiting = False
        now = self._context.now
        origins = self._origins.rank(request.slot, now)
        if not origins or not self._attempts.may_attempt(request) or not request.may_send(origins[0], now):
            self._give_up_exhausted(request, has_origin=bool(origins))
        elif request.is_write:
            self._start_write(request, origins[0])
        else:
            self._start_fetch(request, origins[0])

    def timer_fired(self, request: Request) -> None:
        """End a request's wait: in the queue, until the deadline, or before a write's next attempt."""
        if request.in_origin_queue:
            self._completion.give_up(request, Reason.RATE_LIMITED)
        elif request.is_waiting and self._context.now >= request.deadline:
            self._completion.give_up(request, Reason.DEADLINE)
        elif request.is_waiting and request.is_write:
            self.submit(request)

    def record_attempt(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Tune the limits by the end of a fetch or write, and start requests that waited for an end."""
        target = request.request_class.latency_target
        self._limits.record_fetch(node, event, event.latency > target, target)
        self._start_queued()
        self._resume_writes(node)

    def fetch_failed(self, request: Request, event: api.AttemptEnded) -> None:
        """Retry a write after a pause; reject a read, which the client may retry.

        A lost attempt is repeated once, immediately, as the origin was not at fault.
        """
        late = event.latency > request.request_class.latency_target
        lost = is_connection_failure(event, late) or (event.outcome is Outcome.TIMEOUT and not late)
        if lost and not request.is_refetch:
            request.is_refetch = True
            self.submit(request)
            return
        pause = int(self._limits.fetch_latency.mean * self._rng.uniform(0.5, 1.5))
        in_time = self._context.now + pause < request.deadline
        if request.is_write and in_time and event.outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._completion.give_up(request, Reason.ORIGIN_FAILED)

    def _start_write(self, request: Request, origin: Node) -> None:
        if origin.attempts_in_flight >= self._limits.write_limit:
            self._waiting_writes.append(request)
            self._wait(request, request.deadline - self._context.now)
            return
        request.suppressor.record_call(self._context.now)
        self._begin(request, origin)

    def _start_fetch(self, request: Request, origin: Node) -> None:
        now = self._context.now
        is_repeat = request.is_retry or request.is_refetch
        if not (request.suppressor.admit(now, is_repeat) or self._limits.outage.take_probe(now)):
            self._completion.give_up(request, Reason.RATE_LIMITED)
            return
        if request.key is not None:
            self._flights.lead(request, request.key)
            if origin.attempts_in_flight >= self._limits.fetch_window and not request.is_refetch:
                self._enqueue(request)
                return
        self._begin(request, origin)

    def _begin(self, request: Request, origin: Node) -> None:
        request.is_fetching = True
        request.take_command_slot()
        self._attempts.send(request, origin)

    def _enqueue(self, request: Request) -> None:
        """Queue a fetch while the window is full, if it can still be in time.

        If the queue is full too, a queued fetch that no other read waits for is rejected to make room.
        """
        target = request.request_class.latency_target
        time_left = min(request.deadline - self._context.now, int(target * SLOW_FETCH_FRACTION))
        time_left -= int(self._limits.fetch_latency.mean)
        if self._queue.is_full(self._limits.fetch_window):
            evicted = self._queue.with_fewest_waiters()
            if time_left > 0 and not self._flights.waiter_count(evicted):
                self._completion.give_up(evicted, Reason.RATE_LIMITED)
            else:
                time_left = 0
        if time_left <= 0:
            self._completion.give_up(request, Reason.RATE_LIMITED)
            return
        request.take_command_slot()
        self._queue.add(request)
        self._wait(request, time_left)

    def _start_queued(self) -> None:
        """Start queued fetches while the window has room, the key with most waiters first."""
        while self._queue:
            next_fetch = self._queue.with_most_waiters()
            origins = self._origins.rank(next_fetch.slot, self._context.now)
            if origins and origins[0].attempts_in_flight >= self._limits.fetch_window:
                return
            self._queue.remove(next_fetch)
            next_fetch.is_waiting = False
            if origins and self._attempts.may_attempt(next_fetch):
                self._begin(next_fetch, origins[0])
            else:
                self._give_up_exhausted(next_fetch, has_origin=bool(origins))

    def _resume_writes(self, node: Node) -> None:
        """Send waiting writes, the newest first, while the write limit has room."""
        while self._waiting_writes and node.attempts_in_flight < self._limits.write_limit:
            waiter = self._waiting_writes.pop()
            if waiter.is_waiting:
                self.submit(waiter)
            if self._waiting_writes and self._waiting_writes[-1] is waiter:
                # It was queued again: the list has replaced the origin's entry, and the new one is full.
                break

    def _give_up_exhausted(self, request: Request, has_origin: bool) -> None:
        reason = self._attempts.exhaustion_reason(request) if has_origin else Reason.NO_SERVER
        self._completion.give_up(request, reason)

    def _wait(self, request: Request, delay: int) -> None:
        request.is_waiting = True
        self._context.actions.append(api.SetTimer(delay, request.id))
