"""Clients and the load balancer in front of the routers: sends requests, retries them, records outcomes.

An operation of a client is a first request and its retries; each request has an id of its own.
"""

from __future__ import annotations

import asyncio

from pebblepass.emulators.clients import Answer, ClientPool, Request
from pebblepass.simulation.plan import Operation, Plan
from pebblepass.simulation.recovery import Recorder
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.rule_checker import ANSWER_GRACE_S, TIME_SLACK_S, RuleChecker
from pebblepass.wire.address import Address

LISTEN_S = TIME_SLACK_S + ANSWER_GRACE_S + 0.01  # after its timeout, to detect a late or missing answer
DISCONNECT_S = 0.3  # within which clients that disconnect do so, counted from the request
MIN_TIMEOUT_S = 0.005  # with less time left a client does not retry


class LoadGenerator:
    """Sends the operations of a plan to the routers; detects a dead router only after a delay."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        plan: Plan,
        count: RequestCounts,
        rule_checker: RuleChecker,
        recorder: Recorder,
        slack: float,
    ) -> None:
        self.loop, self.plan, self.count, self.rule_checker = loop, plan, count, rule_checker
        self.recorder = recorder
        self.slack = slack
        """Added to LISTEN_S in real time, where events are observed late."""
        self.classes = {cls.name: cls for cls in plan.scenario.classes}
        self.pools: list[ClientPool] = []
        self.killed_at: dict[int, float] = {}
        """When each router was last killed, by its index."""
        self.open = 0
        self.disconnect_share = 0.0
        """The share of clients that disconnect before their answer."""
        self._detected_down: set[int] = set()
        self._commands: dict[int, list[Operation]] = {}
        for operation in plan.operations:
            if operation.command >= 0:
                self._commands.setdefault(operation.command, []).append(operation)

    def add_router(self, router_index: int, address: Address) -> None:
        """Set the address at which clients connect to a router."""
        pool = ClientPool(self.loop, address)
        router = self.plan.routers[router_index].id
        pool.on_unexpected_bytes = lambda _: self.rule_checker.record_unexpected_bytes(
            router, self.loop.time()
        )
        self.pools.append(pool)

    def set_detected_down(self, router_index: int, down: bool) -> None:
        """Mark a router as detected down, or as up again."""
        (self._detected_down.add if down else self._detected_down.discard)(router_index)

    def pick(self, router_index: int) -> int:
        """Return the router for a client: its own, or the next one that is not detected down."""
        routers = len(self.pools)
        for offset in range(routers):
            if (router_index + offset) % routers not in self._detected_down:
                return (router_index + offset) % routers
        return router_index

    def start(self, operation: Operation) -> None:
        """Start an operation; the first one of a multi-key command starts all of the command."""
        if operation.command < 0:
            ClientOperation(self, operation).send_request()
        elif operation is self._commands[operation.command][0]:
            MultiGetRequest(self, self._commands[operation.command])

    def missing_answer(self, router_index: int, request: str, started_at: float, reason: str) -> str:
        """Return the outcome of a request without a final answer.

        This breaks a rule unless the router was killed after the request was sent.
        """
        now = self.loop.time()
        if self.killed_at.get(router_index, -1.0) >= started_at:
            self.rule_checker.record_abandoned(request, now)
            return "killed"
        self.rule_checker.record_lost(request, now, reason)
        return "lost"

    def close(self) -> None:
        """Close all connections of the clients."""
        for pool in self.pools:
            pool.close()


class ClientOperation:
    """One operation of a client: a first request and its retries."""

    def __init__(self, generator: LoadGenerator, operation: Operation) -> None:
        self.generator, self.operation = generator, operation
        self.cls = generator.classes[operation.request_class]
        self.started_at = generator.loop.time()
        self.deadline = self.started_at + self.cls.deadline_ms / 1000
        self.requests = 0
        self.last_outcome = ""
        """The outcome of the last request; empty before the first one has an outcome."""
        self.finished = False

    def send_request(self) -> None:
        """Send a request; its timeout is a share of the deadline, at most the time left."""
        generator, now = self.generator, self.generator.loop.time()
        share = self.operation.try_shares[self.requests]
        timeout = min(share * self.cls.deadline_ms / 1000, self.deadline - now)
        if timeout < MIN_TIMEOUT_S:
            self.finished = True
            return
        self.requests += 1
        ClientRequest(self, generator.pick(self.operation.router), timeout)

    def retry(self, not_executed: bool, retry_after_ms: int = 0) -> None:
        """Schedule a retry after a request that timed out, was refused or failed, where one is allowed.

        `not_executed`: the request had no effect. `retry_after_ms`: the delay that a refusal asks for.
        """
        if self.finished:
            return
        now = self.generator.loop.time()
        window_end = self.started_at + self.cls.window_s
        may_repeat = (
            not_executed or self.cls.effect == "safe" or (self.cls.effect == "keyed" and now < window_end)
        )
        if not may_repeat or self.requests >= len(self.operation.try_shares):
            self.finished = True
            return
        delay = max(
            self.operation.backoffs[self.requests - 1] * 2 ** (self.requests - 1), retry_after_ms / 1000
        )
        self.generator.loop.call_later(delay, self.send_request)

    def served(self) -> None:
        """Record when the operation was answered, unless it is finished already."""
        if not self.finished:
            self.finished = True
            self.generator.count.served_after[self.operation.number] = (
                self.generator.loop.time() - self.started_at
            )


class ClientRequest:
    """One request of an operation."""

    def __init__(self, client_operation: ClientOperation, router_index: int, timeout: float) -> None:
        self._client_operation, self._router_index = client_operation, router_index
        generator, operation = client_operation.generator, client_operation.operation
        self._generator = generator
        self._router = generator.plan.routers[router_index].id
        self._id = f"{operation.number:010x}{client_operation.requests:06x}"
        self._started_at = generator.loop.time()
        self._timeout = timeout
        self._timed_out = self._was_written = self._disconnecting = False
        generator.open += 1
        generator.count.record_start(operation, self._router)
        generator.recorder.record_request(self._id, operation, client_operation.last_outcome)
        self._timers = [
            generator.loop.call_later(timeout, self._time_out),
            generator.loop.call_later(timeout + LISTEN_S + generator.slack, self._stop_listening),
        ]
        if operation.leaves < generator.disconnect_share:
            after = operation.leaves / generator.disconnect_share * DISCONNECT_S
            self._timers.append(generator.loop.call_later(after, self._disconnect))
        self._send()

    def _send(self) -> None:
        operation, cls = self._client_operation.operation, self._client_operation.cls
        remaining_ms = max(1, int((self._started_at + self._timeout - self._generator.loop.time()) * 1000))
        self._stated_timeout = remaining_ms / 1000
        info = f"c={cls.name},t={operation.namespace},d={remaining_ms}"
        arguments = [b"KV.SET" if cls.write else b"KV.GET", operation.key.encode(), self._id.encode()]
        if cls.effect == "keyed":
            info += f",k={operation.number:016x}"
        arguments.append(info.encode())
        if cls.write:
            arguments.append(b"of %b" % operation.key.encode())
        expected_prefix = f"{operation.key} {self._id} ".encode()
        self._request = Request(tuple(arguments), expected_prefix, self._on_written, self._answered)
        self._generator.pools[self._router_index].send(self._request)

    def _on_written(self) -> None:
        self._was_written = True
        client_deadline = self._generator.loop.time() + self._stated_timeout
        self._generator.rule_checker.record_written(
            self._id, self._router, self._started_at + self._timeout, client_deadline
        )

    def _end(self, outcome: str, unseen: bool = False) -> None:
        for timer in self._timers:
            timer.cancel()
        self._generator.open -= 1
        self._generator.count.record_end(self._client_operation.operation, self._router, outcome, unseen)

    def _time_out(self) -> None:
        """Schedule a retry; this request is left open only to check that the router answers it."""
        self._timed_out = True
        self._client_operation.last_outcome = "timed out"
        self._client_operation.retry(not_executed=False)

    def _stop_listening(self) -> None:
        self._request.abandon()
        if self._was_written:
            self._record_missing("no answer before its deadline")
        else:
            self._end("unreached")

    def _disconnect(self) -> None:
        """Disconnect; an answer that was already on its way still counts."""
        self._client_operation.finished = self._disconnecting = True
        if not self._request.end_sending():
            self._end("gone" if self._was_written else "unreached")

    def _record_missing(self, reason: str) -> None:
        self._end(self._generator.missing_answer(self._router_index, self._id, self._started_at, reason))

    def _answered(self, answer: Answer, retry_after_ms: int) -> None:
        rule_checker, now = self._generator.rule_checker, self._generator.loop.time()
        if self._disconnecting and answer in (Answer.CLOSED, Answer.CUT):
            rule_checker.record_abandoned(self._id, now)
            self._end("gone")
        elif answer is Answer.UNREACHED:
            self._end("unreached")
        elif (
            answer is Answer.CLOSED
            and not rule_checker.was_sent(self._id)
            and not self._request.first_on_connection
        ):
            # The router closed an idle connection while the request was in transit: the protocol allows
            # sending it again.
            self._send()
            return
        elif self._close_is_answer(answer):
            rule_checker.record_answer(self._id, now)
            self._end("failed", unseen=answer is Answer.CLOSED)
        elif answer in (Answer.CLOSED, Answer.CUT):
            self._record_missing("connection closed without an answer")
        elif answer is Answer.WRONG:
            self._record_missing("answered with the value of another request")
        else:
            rule_checker.record_answer(self._id, now)
            self._end(answer.value)
            if answer is Answer.SERVED and not self._timed_out:
                self._client_operation.served()
                return
        if not self._timed_out:
            self._client_operation.last_outcome = answer.value
            self._client_operation.retry(answer in (Answer.REFUSED, Answer.UNREACHED), retry_after_ms)

    def _close_is_answer(self, answer: Answer) -> bool:
        """Whether a closed connection counts as an answer: no attempt was sent, or a server cut the value."""
        if answer is Answer.CLOSED:
            return not self._generator.rule_checker.was_sent(self._id)
        return answer is Answer.CUT and self._generator.rule_checker.has_corrupt_answer(self._id)


class MultiGetRequest:
    """One multi-key command; each of its keys is the only request of an operation."""

    def __init__(self, generator: LoadGenerator, operations: list[Operation]) -> None:
        self._generator, self._operations = generator, operations
        self._router_index = generator.pick(operations[0].router)
        self._router = generator.plan.routers[self._router_index].id
        self._cls = generator.classes[operations[0].request_class]
        self._command_id = f"{operations[0].number:016x}"
        self._request_ids = [f"{self._command_id}.{number}" for number in range(len(operations))]
        self._started_at = generator.loop.time()
        self._was_written = False
        generator.open += 1
        for operation, request in zip(operations, self._request_ids, strict=True):
            generator.count.record_start(operation, self._router)
            generator.recorder.record_request(request, operation, "")
        timeout = self._cls.deadline_ms / 1000
        self._timer = generator.loop.call_later(timeout + LISTEN_S + generator.slack, self._stop_listening)
        self._send()

    def _send(self) -> None:
        operations, cls = self._operations, self._cls
        remaining_ms = max(1, int((self._started_at - self._generator.loop.time()) * 1000 + cls.deadline_ms))
        self._stated_timeout = remaining_ms / 1000
        keys = [operation.key.encode() for operation in operations]
        info = f"c={cls.name},t={operations[0].namespace},d={remaining_ms}".encode()
        arguments = (b"KV.MGET", b"%d" % len(keys), *keys, self._command_id.encode(), info)
        self._request = Request(arguments, b"", self._on_written, self._answered)
        self._request.expected_prefixes = tuple(b"%b %b." % (key, self._command_id.encode()) for key in keys)
        self._generator.pools[self._router_index].send(self._request)

    def _on_written(self) -> None:
        self._was_written = True
        deadline = self._started_at + self._cls.deadline_ms / 1000
        client_deadline = self._generator.loop.time() + self._stated_timeout
        for request in self._request_ids:
            self._generator.rule_checker.record_written(request, self._router, deadline, client_deadline)

    def _end(self, outcomes: list[str], unseen: bool = False) -> None:
        self._timer.cancel()
        self._generator.open -= 1
        for operation, outcome in zip(self._operations, outcomes, strict=True):
            self._generator.count.record_end(operation, self._router, outcome, unseen)

    def _record_missing(self, reason: str) -> None:
        self._end(
            [
                self._generator.missing_answer(self._router_index, request, self._started_at, reason)
                for request in self._request_ids
            ]
        )

    def _stop_listening(self) -> None:
        self._request.abandon()
        if self._was_written:
            self._record_missing("no answer before its deadline")
        else:
            self._end(["unreached"] * len(self._operations))

    def _answered(self, answer: Answer, _: int) -> None:
        rule_checker, now = self._generator.rule_checker, self._generator.loop.time()
        sent = self._was_written and any(map(rule_checker.was_sent, self._request_ids))
        if answer is Answer.UNREACHED:
            self._end(["unreached"] * len(self._operations))
        elif answer is Answer.CLOSED and not sent and not self._request.first_on_connection:
            self._send()  # closed while idle, with the command in transit
        elif answer in (Answer.CLOSED, Answer.CUT) and sent:
            self._record_missing("connection closed without an answer")
        elif answer is Answer.WRONG:
            self._record_missing("answered with the value of another request")
        else:
            entries = [entry for entry, _ in self._request.entries] or [answer] * len(self._operations)
            outcomes = []
            for operation, request, entry in zip(self._operations, self._request_ids, entries, strict=True):
                if entry is Answer.WRONG:
                    reason = "answered with the value of another request"
                    outcomes.append(
                        self._generator.missing_answer(self._router_index, request, self._started_at, reason)
                    )
                    continue
                rule_checker.record_answer(request, now)
                outcomes.append("failed" if entry in (Answer.CLOSED, Answer.CUT) else entry.value)
                if entry is Answer.SERVED:
                    self._generator.count.served_after[operation.number] = now - self._started_at
            self._end(outcomes, unseen=answer is Answer.CLOSED)
