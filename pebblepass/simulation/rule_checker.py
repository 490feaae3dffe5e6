"""The five rules, checked on the kit's own count; no I/O.

It is told what clients, nodes, the store and the registry saw, and holds it against the rules as PROTOCOL
and BRIEF word them. Times are seconds of whichever clock the rehearsal runs on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect
from pebblepass.simulation.deadlines import US_PER_MS, US_PER_S, DeadlineCount, excess_us

DRAIN_GRACE_S = 0.5
TIME_SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
ANSWER_GRACE_S = 0.02
TOLD_PART = 2 / 3  # of the work that pushed a cold node over, from routers told of its start


class Rule(Enum):
    """The rules."""

    ANSWERED = "every request answered"
    ONCE = "no effect twice"
    DRAINED = "drains kept"
    COLD = "no cold node pushed over"
    DEADLINE = "no attempt advertises more time than its client has left"


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: Rule
    at: float
    what: str


@dataclass(slots=True)
class _Asked:
    router: str
    deadline: float
    client_deadline: float
    answered_at: float | None = None
    sent: bool = False
    spoilt: bool = False
    advertised: int = 0
    """Attempts that have advertised a timeout."""


class RuleChecker:
    """A witness that knows the rules."""

    def __init__(self, slack: float, transit_slack: float | None = None) -> None:
        """`slack`: how much later than its cause a thing may be seen on this clock, in seconds.

        `transit_slack`: how long bytes may be under way between a router and a stand-in, either way, in
        seconds; None: as `slack`.
        """
        self._slack = slack
        self._transit_slack = slack if transit_slack is None else transit_slack
        self.breaches: list[Breach] = []
        self.attempts: dict[str, int] = {}
        self.deadlines = DeadlineCount()
        self.pushed: list[str] = []
        self.trace = sha256()
        """Every attempt and every answer with its time, for comparing runs."""
        self._asked: dict[str, _Asked] = {}
        self._told: dict[tuple[str, str], tuple[str, float]] = {}
        self._starts_known: set[tuple[str, str]] = set()

    def _break(self, rule: Rule, at: float, what: str) -> None:
        self.breaches.append(Breach(rule, at, what))

    # Clients

    def record_taken(
        self, request: str, router: str, deadline: float, client_deadline: float | None = None
    ) -> None:
        """A request is written whole to a connection that the router's machine has accepted.

        `deadline`: until when its client waits. `client_deadline`: the end of the time that the request
        states (`d`, counted from its last byte), which is earlier by what the client rounds; None: the same.
        """
        by_request = deadline if client_deadline is None else client_deadline
        self._asked[request] = _Asked(router, deadline, by_request)

    def record_answer(self, request: str, now: float) -> None:
        """A request has its final answer."""
        asked = self._asked[request]
        self.trace.update(b"%b answered %d\n" % (request.encode(), int(now * 1e6)))
        if asked.answered_at is not None:
            self._break(Rule.ANSWERED, now, f"{request}: a second final answer")
            return
        asked.answered_at = now
        if now > asked.deadline + TIME_SLACK_S + ANSWER_GRACE_S + self._slack:
            self._break(Rule.ANSWERED, now, f"{request}: answered {now - asked.deadline:.3f} s too late")

    def record_abandoned(self, request: str, now: float) -> None:
        """Its client has gone away, or its router was killed: nothing is owed."""
        self._asked[request].answered_at = now

    def record_lost(self, request: str, now: float, how: str) -> None:
        """A request that a running router has taken has no final answer."""
        self._asked[request].answered_at = now
        self._break(Rule.ANSWERED, now, f"{request}: {how}")

    def record_unexpected_bytes(self, router: str, now: float) -> None:
        """A router has sent bytes that no request was open for."""
        self._break(Rule.ANSWERED, now, f"{router}: an answer that nothing was open for")

    def was_sent(self, request: str) -> bool:
        """Whether an attempt at this request has reached a server."""
        return self._asked[request].sent

    def was_spoilt(self, request: str) -> bool:
        """Whether a server has spoilt an answer to this request."""
        return self._asked[request].spoilt

    # Nodes and the store

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """Hold an attempt against the rules on answers and drains."""
        self.trace.update(b"%b to %b %d\n" % (request.encode(), server.encode(), int(now * 1e6)))
        self.attempts[server] = self.attempts.get(server, 0) + 1
        asked = self._asked.get(request)
        if asked is None:
            self._break(Rule.ANSWERED, now, f"{request}: sent to {server}, but no client asked it")
            return
        asked.sent = True
        if asked.answered_at is not None and now > asked.answered_at + self._slack:
            after = now - asked.answered_at
            self._break(Rule.ANSWERED, now, f"{request}: sent to {server} {after:.3f} s after its answer")
        state, told_at = self._told.get((asked.router, server), ("up", now))
        late = now - told_at - DRAIN_GRACE_S - TIME_SLACK_S - self._slack
        if state != "up" and late > 0:
            what = f"{asked.router} sent to {server} {now - told_at:.3f} s after it was told: {state}"
            self._break(Rule.DRAINED, now, f"{request}: {what}")

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """Hold the timeout that an attempt advertises against what its client has left.

        Slack: the time that bytes are under way, and none beside. A router reckons the timeout as it writes
        the attempt, and a stand-in takes the time of its first byte; the modelled delay begins behind that.
        """
        request, server, at = advertised.request, advertised.server, advertised.first_byte_at
        asked = self._asked.get(request)
        count = self.deadlines
        if asked is None:
            count.attempts += 1  # `attempt_received` finds that no client has asked it
            return
        excess = excess_us(advertised, asked.client_deadline)
        is_above = excess is not None and excess > round(self._transit_slack * US_PER_S)
        count.take(excess, is_further=asked.advertised > 0, is_above=is_above)
        asked.advertised += 1
        which = f"{request}: attempt {asked.advertised} to {server}"
        if excess is None:
            self._break(Rule.DEADLINE, at, f"{which} advertised no timeout that can be read")
        elif is_above:
            left = asked.client_deadline - at
            told = f"{advertised.timeout_ms} ms with {left * 1000:.3f} ms left"
            what = f"advertised {told}, {excess / US_PER_MS:.3f} ms too much"
            self._break(Rule.DEADLINE, at, f"{which} {what}")

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """Note which answers were spoilt."""
        if outcome == "spoilt" and request in self._asked:
            self._asked[request].spoilt = True

    def effect_repeated(self, doubled: RepeatedEffect) -> None:
        """An effect has happened twice."""
        what = f"{doubled.request}: a {doubled.request_class} took effect more than once"
        self._break(Rule.ONCE, doubled.at, what)

    # The list

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """A router knows a server's state from now on; being told again changes nothing."""
        if self._told.get((router, server), ("", 0.0))[0] != state:
            self._told[router, server] = (state, now)
        if state == "up":
            self._starts_known.add((router, server))

    def server_started(self, server: str) -> None:
        """A server has started anew: nobody has been told yet."""
        self._starts_known = {(r, s) for r, s in self._starts_known if s != server}

    def router_started(self, router: str) -> None:
        """A router begins from nothing: what it was told before does not count."""
        self._told = {key: told for key, told in self._told.items() if key[0] != router}
        self._starts_known = {key for key in self._starts_known if key[0] != router}

    def router_knows_start(self, request: str, server: str) -> bool:
        """Whether the router that holds this request was told of the server's last start."""
        asked = self._asked.get(request)
        return asked is not None and (asked.router, server) in self._starts_known

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """A cold node fell over; the rule is broken where most of the work came from who knew."""
        self.pushed.append(server)
        if informed_share >= TOLD_PART:
            self._break(
                Rule.COLD, now, f"{server}: pushed over, {informed_share:.0%} of it by routers that knew"
            )
