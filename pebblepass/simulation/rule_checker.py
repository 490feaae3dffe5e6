"""Checks the five rules against the events that the emulators report; no I/O.

The load generator, the emulated servers and the emulated registry report events here, independently of the
routers. The rules are those of the documents PROTOCOL and BRIEF. Times are seconds of the clock that the
rehearsal runs on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect
from pebblepass.simulation.deadlines import US_PER_MS, US_PER_S, DeadlineCount, excess_us

DRAIN_GRACE_S = 0.5  # for attempts to a server after its drain or removal was announced
TIME_SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
ANSWER_GRACE_S = 0.02  # for an answer after its client's deadline
INFORMED_SHARE = 2 / 3  # of the work that overloaded a cold node, from routers informed of its start


class Rule(Enum):
    """The rules."""

    ANSWERED = "every request answered"
    ONCE = "no effect twice"
    DRAINED = "drains kept"
    COLD = "no cold node pushed over"
    DEADLINE = "no attempt advertises more time than its client has left"


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule."""

    rule: Rule
    at: float
    description: str


@dataclass(slots=True)
class _RequestState:
    router: str
    deadline: float
    client_deadline: float
    answered_at: float | None = None
    sent: bool = False
    has_corrupt_answer: bool = False
    advertised: int = 0
    """Attempts that have advertised a timeout."""


class RuleChecker:
    """Receives the events of a rehearsal and records each breach of a rule."""

    def __init__(self, slack: float, transit_slack: float | None = None) -> None:
        """`slack`: how much later than its cause an event may be observed on this clock, in seconds.

        `transit_slack`: how long bytes may be in transit between a router and an emulator, either way, in
        seconds; None: the same as `slack`.
        """
        self._slack = slack
        self._transit_slack = slack if transit_slack is None else transit_slack
        self.breaches: list[Breach] = []
        self.attempts: dict[str, int] = {}
        self.deadlines = DeadlineCount()
        self.overloaded: list[str] = []
        """Cold nodes that have failed because they were sent too much work."""
        self.trace = sha256()
        """A digest of every attempt and every answer with its time, to compare runs."""
        self._requests: dict[str, _RequestState] = {}
        self._announced: dict[tuple[str, str], tuple[str, float]] = {}
        """The last state that a router was informed of and since when, by router and server."""
        self._starts_known: set[tuple[str, str]] = set()

    def _record_breach(self, rule: Rule, at: float, description: str) -> None:
        self.breaches.append(Breach(rule, at, description))

    # Clients

    def record_written(
        self, request: str, router: str, deadline: float, client_deadline: float | None = None
    ) -> None:
        """Record that a request was written in full to a connection that the router's machine has accepted.

        `deadline`: when its client stops waiting. `client_deadline`: the end of the timeout in the request
        (`d`, counted from its last byte), earlier by the client's rounding; None: the same as `deadline`.
        """
        request_deadline = deadline if client_deadline is None else client_deadline
        self._requests[request] = _RequestState(router, deadline, request_deadline)

    def record_answer(self, request: str, now: float) -> None:
        """Record the final answer to a request; checks that it is the only one, and in time."""
        state = self._requests[request]
        self.trace.update(b"%b answered %d\n" % (request.encode(), int(now * 1e6)))
        if state.answered_at is not None:
            self._record_breach(Rule.ANSWERED, now, f"{request}: a second final answer")
            return
        state.answered_at = now
        if now > state.deadline + TIME_SLACK_S + ANSWER_GRACE_S + self._slack:
            self._record_breach(
                Rule.ANSWERED, now, f"{request}: answered {now - state.deadline:.3f} s too late"
            )

    def record_abandoned(self, request: str, now: float) -> None:
        """Record that the client has disconnected or the router was killed: no answer is due."""
        self._requests[request].answered_at = now

    def record_lost(self, request: str, now: float, reason: str) -> None:
        """Record that a request written to a running router has no final answer."""
        self._requests[request].answered_at = now
        self._record_breach(Rule.ANSWERED, now, f"{request}: {reason}")

    def record_unexpected_bytes(self, router: str, now: float) -> None:
        """Record that a router has sent bytes while no request was open."""
        self._record_breach(Rule.ANSWERED, now, f"{router}: an answer while no request was open")

    def was_sent(self, request: str) -> bool:
        """Whether an attempt at this request has reached a server."""
        return self._requests[request].sent

    def has_corrupt_answer(self, request: str) -> bool:
        """Whether a server has sent a corrupt or incomplete answer to this request."""
        return self._requests[request].has_corrupt_answer

    # Nodes and the store

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """Check an attempt against the rules on answers and drains."""
        self.trace.update(b"%b to %b %d\n" % (request.encode(), server.encode(), int(now * 1e6)))
        self.attempts[server] = self.attempts.get(server, 0) + 1
        state = self._requests.get(request)
        if state is None:
            self._record_breach(
                Rule.ANSWERED, now, f"{request}: sent to {server}, but no client has sent this request"
            )
            return
        state.sent = True
        if state.answered_at is not None and now > state.answered_at + self._slack:
            after = now - state.answered_at
            self._record_breach(
                Rule.ANSWERED, now, f"{request}: sent to {server} {after:.3f} s after its answer"
            )
        lifecycle, announced_at = self._announced.get((state.router, server), ("up", now))
        late = now - announced_at - DRAIN_GRACE_S - TIME_SLACK_S - self._slack
        if lifecycle != "up" and late > 0:
            description = (
                f"{state.router} sent to {server} {now - announced_at:.3f} s after the registry reported it "
                f"{lifecycle}"
            )
            self._record_breach(Rule.DRAINED, now, f"{request}: {description}")

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """Check the timeout that an attempt advertises against the time its client has left.

        The only slack is the time in transit: a router computes the timeout as it writes the attempt, and an
        emulator records the time of its first byte, before the modelled network delay begins.
        """
        request, server, at = advertised.request, advertised.server, advertised.first_byte_at
        state = self._requests.get(request)
        count = self.deadlines
        if state is None:
            count.attempts += 1  # `attempt_received` reports that no client has sent this request
            return
        excess = excess_us(advertised, state.client_deadline)
        is_above = excess is not None and excess > round(self._transit_slack * US_PER_S)
        count.add_attempt(excess, is_further=state.advertised > 0, is_above=is_above)
        state.advertised += 1
        attempt = f"{request}: attempt {state.advertised} to {server}"
        if excess is None:
            self._record_breach(Rule.DEADLINE, at, f"{attempt} advertised no readable timeout")
        elif is_above:
            left = state.client_deadline - at
            comparison = f"{advertised.timeout_ms} ms with {left * 1000:.3f} ms left"
            description = f"advertised {comparison}, {excess / US_PER_MS:.3f} ms too much"
            self._record_breach(Rule.DEADLINE, at, f"{attempt} {description}")

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """Record that a server has sent a corrupt or incomplete answer, if that is the outcome."""
        if outcome == "spoilt" and request in self._requests:
            self._requests[request].has_corrupt_answer = True

    def effect_repeated(self, repeated: RepeatedEffect) -> None:
        """Record that a write took effect more than once."""
        description = f"{repeated.request}: a {repeated.request_class} took effect more than once"
        self._record_breach(Rule.ONCE, repeated.at, description)

    # The endpoint list

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """Record that the registry has informed a router of a server's state; repeats change nothing."""
        if self._announced.get((router, server), ("", 0.0))[0] != state:
            self._announced[router, server] = (state, now)
        if state == "up":
            self._starts_known.add((router, server))

    def server_started(self, server: str) -> None:
        """Record that a server has restarted: no router has been informed of this start yet."""
        self._starts_known = {(r, s) for r, s in self._starts_known if s != server}

    def router_started(self, router: str) -> None:
        """Record that a router starts without state: earlier updates to it do not count."""
        self._announced = {key: known for key, known in self._announced.items() if key[0] != router}
        self._starts_known = {key for key in self._starts_known if key[0] != router}

    def router_knows_start(self, request: str, server: str) -> bool:
        """Whether the router of this request was informed of the server's last start."""
        state = self._requests.get(request)
        return state is not None and (state.router, server) in self._starts_known

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """Record the failure of an overloaded cold node.

        The rule is broken if at least INFORMED_SHARE of the work came from routers informed of its start.
        """
        self.overloaded.append(server)
        if informed_share >= INFORMED_SHARE:
            self._record_breach(
                Rule.COLD,
                now,
                f"{server}: overloaded while cold, {informed_share:.0%} of the work from routers that knew",
            )
