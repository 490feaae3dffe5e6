"""The clients' side: the front that deals them out to routers, their tries, and what each came to."""

from __future__ import annotations

import asyncio

from pebblepass.emulators.clients import Answer, ClientPool, Request
from pebblepass.simulation.plan import Operation, Plan
from pebblepass.simulation.recovery import Recorder
from pebblepass.simulation.request_counts import RequestCounts
from pebblepass.simulation.rule_checker import ANSWER_GRACE_S, TIME_SLACK_S, RuleChecker
from pebblepass.wire.address import Address

LISTEN_S = TIME_SLACK_S + ANSWER_GRACE_S + 0.01  # beyond its time a client listens, to see the rule kept
LEAVE_S = 0.3  # clients that leave do so within this time
LEAST_S = 0.005  # with less time left a client does not try again


class LoadGenerator:
    """Deals tries out to routers; of one that has died it knows only some seconds later."""

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
        """How much longer clients listen than the rules say, on a clock that others share."""
        self.classes = {cls.name: cls for cls in plan.scenario.classes}
        self.pools: list[ClientPool] = []
        self.killed_at: dict[int, float] = {}
        """When a router was last ended while it may have held requests."""
        self.open = 0
        self.leaving = 0.0
        """The share of clients that leave before their answer."""
        self._noticed_down: set[int] = set()
        self._commands: dict[int, list[Operation]] = {}
        for operation in plan.operations:
            if operation.command >= 0:
                self._commands.setdefault(operation.command, []).append(operation)

    def add_router(self, place: int, address: Address) -> None:
        """A router's clients connect here."""
        pool = ClientPool(self.loop, address)
        router = self.plan.routers[place].id
        pool.on_unexpected_bytes = lambda _: self.rule_checker.record_unexpected_bytes(
            router, self.loop.time()
        )
        self.pools.append(pool)

    def notice(self, place: int, down: bool) -> None:
        """The front takes note of a router that is down, or back."""
        (self._noticed_down.add if down else self._noticed_down.discard)(place)

    def pick(self, place: int) -> int:
        """The router that a client is dealt to: its own, or the next one that is not known to be down."""
        routers = len(self.pools)
        for step in range(routers):
            if (place + step) % routers not in self._noticed_down:
                return (place + step) % routers
        return place

    def start(self, operation: Operation) -> None:
        """A client begins to ask; the keys of one command are asked with its first."""
        if operation.command < 0:
            Asking(self, operation).attempt()
        elif operation is self._commands[operation.command][0]:
            CommandTry(self, self._commands[operation.command])

    def loss(self, place: int, request: str, begun: float, how: str) -> str:
        """Nothing final has come: the router's fault, unless it was ended while it held the request."""
        now = self.loop.time()
        if self.killed_at.get(place, -1.0) >= begun:
            self.rule_checker.record_abandoned(request, now)
            return "killed"
        self.rule_checker.record_lost(request, now, how)
        return "lost"

    def close(self) -> None:
        """Close every client's connection."""
        for pool in self.pools:
            pool.close()


class Asking:
    """One client's ask, over its tries."""

    def __init__(self, front: LoadGenerator, operation: Operation) -> None:
        self.front, self.operation = front, operation
        self.cls = front.classes[operation.request_class]
        self.begun = front.loop.time()
        self.deadline = self.begun + self.cls.deadline_ms / 1000
        self.tries = 0
        self.before = ""
        """What the try before came to; empty: there was none."""
        self.over = False

    def attempt(self) -> None:
        """Try once, in a part of the time that is left."""
        front, now = self.front, self.front.loop.time()
        share = self.operation.try_shares[self.tries]
        patience = min(share * self.cls.deadline_ms / 1000, self.deadline - now)
        if patience < LEAST_S:
            self.over = True
            return
        self.tries += 1
        Try(self, front.pick(self.operation.router), patience)

    def came_to_nothing(self, harmless: bool, back_ms: int = 0) -> None:
        """A try was given up, refused or failed: try again, where that is allowed."""
        if self.over:
            return
        now = self.front.loop.time()
        window = self.begun + self.cls.window_s
        may = harmless or self.cls.effect == "safe" or (self.cls.effect == "keyed" and now < window)
        if not may or self.tries >= len(self.operation.try_shares):
            self.over = True
            return
        wait = max(self.operation.backoffs[self.tries - 1] * 2 ** (self.tries - 1), back_ms / 1000)
        self.front.loop.call_later(wait, self.attempt)

    def served(self) -> None:
        """A try was served."""
        if not self.over:
            self.over = True
            self.front.count.served_after[self.operation.number] = self.front.loop.time() - self.begun


class Try:
    """One request of a client's, under an id of its own."""

    def __init__(self, asking: Asking, place: int, patience: float) -> None:
        self._asking, self._place = asking, place
        front, operation = asking.front, asking.operation
        self._front = front
        self._router = front.plan.routers[place].id
        self._id = f"{operation.number:010x}{asking.tries:06x}"
        self._begun = front.loop.time()
        self._patience = patience
        self._given_up = self._was_taken = self._leaving = False
        front.open += 1
        front.count.record_start(operation, self._router)
        front.recorder.record_request(self._id, operation, asking.before)
        self._timers = [
            front.loop.call_later(patience, self._give_up),
            front.loop.call_later(patience + LISTEN_S + front.slack, self._stop_listening),
        ]
        if operation.leaves < front.leaving:
            after = operation.leaves / front.leaving * LEAVE_S
            self._timers.append(front.loop.call_later(after, self._leave))
        self._send()

    def _send(self) -> None:
        operation, cls = self._asking.operation, self._asking.cls
        left = max(1, int((self._begun + self._patience - self._front.loop.time()) * 1000))
        self._timeout = left / 1000
        info = f"c={cls.name},t={operation.namespace},d={left}"
        words = [b"KV.SET" if cls.write else b"KV.GET", operation.key.encode(), self._id.encode()]
        if cls.effect == "keyed":
            info += f",k={operation.number:016x}"
        words.append(info.encode())
        if cls.write:
            words.append(b"of %b" % operation.key.encode())
        expected_prefix = f"{operation.key} {self._id} ".encode()
        self._request = Request(tuple(words), expected_prefix, self._taken, self._answered)
        self._front.pools[self._place].send(self._request)

    def _taken(self) -> None:
        self._was_taken = True
        client_deadline = self._front.loop.time() + self._timeout
        self._front.rule_checker.record_taken(
            self._id, self._router, self._begun + self._patience, client_deadline
        )

    def _end(self, outcome: str, unseen: bool = False) -> None:
        for timer in self._timers:
            timer.cancel()
        self._front.open -= 1
        self._front.count.record_end(self._asking.operation, self._router, outcome, unseen)

    def _give_up(self) -> None:
        """The client's patience is over: it goes on with its next try, and only listens for this one."""
        self._given_up = True
        self._asking.before = "time"
        self._asking.came_to_nothing(harmless=False)

    def _stop_listening(self) -> None:
        self._request.abandon()
        if self._was_taken:
            self._lost("no answer in its time")
        else:
            self._end("unreached")

    def _leave(self) -> None:
        """Go away; an answer that was on its way when the router could not know still counts as one."""
        self._asking.over = self._leaving = True
        if not self._request.end_sending():
            self._end("gone" if self._was_taken else "unreached")

    def _lost(self, how: str) -> None:
        self._end(self._front.loss(self._place, self._id, self._begun, how))

    def _answered(self, answer: Answer, back_ms: int) -> None:
        rule_checker, now = self._front.rule_checker, self._front.loop.time()
        if self._leaving and answer in (Answer.CLOSED, Answer.CUT):
            rule_checker.record_abandoned(self._id, now)
            self._end("gone")
        elif answer is Answer.UNREACHED:
            self._end("unreached")
        elif (
            answer is Answer.CLOSED
            and not rule_checker.was_sent(self._id)
            and not self._request.first_on_connection
        ):
            # PROTOCOL: a close that crosses a request on a kept connection; it goes out once more.
            self._send()
            return
        elif self._may_close(answer):
            rule_checker.record_answer(self._id, now)
            self._end("failed", unseen=answer is Answer.CLOSED)
        elif answer in (Answer.CLOSED, Answer.CUT):
            self._lost("the connection was closed without its answer")
        elif answer is Answer.WRONG:
            self._lost("served with a value that was not made for it")
        else:
            rule_checker.record_answer(self._id, now)
            self._end(answer.value)
            if answer is Answer.SERVED and not self._given_up:
                self._asking.served()
                return
        if not self._given_up:
            self._asking.before = answer.value
            self._asking.came_to_nothing(answer in (Answer.REFUSED, Answer.UNREACHED), back_ms)

    def _may_close(self, answer: Answer) -> bool:
        """Whether a close is a failure and no loss: nothing was sent on for it, or a server cut the value."""
        if answer is Answer.CLOSED:
            return not self._front.rule_checker.was_sent(self._id)
        return answer is Answer.CUT and self._front.rule_checker.was_spoilt(self._id)


class CommandTry:
    """One command that reads many keys: each key is the one try of an ask of its own."""

    def __init__(self, front: LoadGenerator, operations: list[Operation]) -> None:
        self._front, self._operations = front, operations
        self._place = front.pick(operations[0].router)
        self._router = front.plan.routers[self._place].id
        self._cls = front.classes[operations[0].request_class]
        self._name = f"{operations[0].number:016x}"
        self._ids = [f"{self._name}.{number}" for number in range(len(operations))]
        self._begun = front.loop.time()
        self._was_taken = False
        front.open += 1
        for operation, request in zip(operations, self._ids, strict=True):
            front.count.record_start(operation, self._router)
            front.recorder.record_request(request, operation, "")
        patience = self._cls.deadline_ms / 1000
        self._timer = front.loop.call_later(patience + LISTEN_S + front.slack, self._stop_listening)
        self._send()

    def _send(self) -> None:
        operations, cls = self._operations, self._cls
        left = max(1, int((self._begun - self._front.loop.time()) * 1000 + cls.deadline_ms))
        self._timeout = left / 1000
        keys = [operation.key.encode() for operation in operations]
        info = f"c={cls.name},t={operations[0].namespace},d={left}".encode()
        words = (b"KV.MGET", b"%d" % len(keys), *keys, self._name.encode(), info)
        self._request = Request(words, b"", self._taken, self._answered)
        self._request.expected_prefixes = tuple(b"%b %b." % (key, self._name.encode()) for key in keys)
        self._front.pools[self._place].send(self._request)

    def _taken(self) -> None:
        self._was_taken = True
        deadline = self._begun + self._cls.deadline_ms / 1000
        client_deadline = self._front.loop.time() + self._timeout
        for request in self._ids:
            self._front.rule_checker.record_taken(request, self._router, deadline, client_deadline)

    def _end(self, outcomes: list[str], unseen: bool = False) -> None:
        self._timer.cancel()
        self._front.open -= 1
        for operation, outcome in zip(self._operations, outcomes, strict=True):
            self._front.count.record_end(operation, self._router, outcome, unseen)

    def _lost(self, how: str) -> None:
        self._end([self._front.loss(self._place, request, self._begun, how) for request in self._ids])

    def _stop_listening(self) -> None:
        self._request.abandon()
        if self._was_taken:
            self._lost("no answer in its time")
        else:
            self._end(["unreached"] * len(self._operations))

    def _answered(self, answer: Answer, _: int) -> None:
        rule_checker, now = self._front.rule_checker, self._front.loop.time()
        sent = self._was_taken and any(map(rule_checker.was_sent, self._ids))
        if answer is Answer.UNREACHED:
            self._end(["unreached"] * len(self._operations))
        elif answer is Answer.CLOSED and not sent and not self._request.first_on_connection:
            self._send()  # PROTOCOL: a close that crosses a request on a kept connection
        elif answer in (Answer.CLOSED, Answer.CUT) and sent:
            self._lost("the connection was closed without its answer")
        elif answer is Answer.WRONG:
            self._lost("served with a value that was not made for it")
        else:
            entries = [entry for entry, _ in self._request.entries] or [answer] * len(self._operations)
            outcomes = []
            for operation, request, entry in zip(self._operations, self._ids, entries, strict=True):
                if entry is Answer.WRONG:
                    how = "served with a value that was not made for it"
                    outcomes.append(self._front.loss(self._place, request, self._begun, how))
                    continue
                rule_checker.record_answer(request, now)
                outcomes.append("failed" if entry in (Answer.CLOSED, Answer.CUT) else entry.value)
                if entry is Answer.SERVED:
                    self._front.count.served_after[operation.number] = now - self._begun
            self._end(outcomes, unseen=answer is Answer.CLOSED)
