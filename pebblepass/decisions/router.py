"""Every decision of pebblepass, without I/O; the settings, events and actions are in interface.py.

Ordinary path: key -> slot -> the ready cache server with the highest weighted hash of (slot, server id);
a read that misses there -> the origin, if its tenant's Suppressor admits the fetch; a write -> the origin.
docs/design/decisions.md gives the source and the condition of every departure.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from zlib import crc32

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import (
    MIN_PROBABILITY,
    TIMEOUT_HOLD_NS,
    AttemptHistory,
    LatencyEstimate,
    Node,
    is_connection_failure,
)
from pebblepass.decisions.hot_keys import HEAT_SHARE, Heat
from pebblepass.decisions.interface import NS_PER_S, Effect, ListKind, Outcome, Reason, ServerState
from pebblepass.decisions.origin import OriginState, Outage
from pebblepass.decisions.requests import Command, Request
from pebblepass.decisions.slot_table import DEPTH, SLOTS, SlotTable
from pebblepass.decisions.suppressor import LIMIT_DECREASE, Suppressor

APART = 0.4  # by how much routers differ in what they think of a hot slot's owners

# An attempt's time: when it counts as lost, and when there is too little of it to begin.
SPREADS = 6  # deviations beyond the usual that an answer may take before it counts as lost
PATIENCE_FLOOR, PATIENCE_SHARE = 0.125, 0.95  # of the aim: the least and the most patience
MIN_ANSWER_PROBABILITY = 0.5  # within the time left: below it no attempt is made
SLOW_SHARE = 0.8  # of the aim: servers that usually take so long are waited for to the end

# Fetches out at the origin.
BAD_SAMPLES, BAD_SHARE = 8, 0.2  # fetches that the share of bad ones is smoothed over; above it: a cut
QUICK_SHARE, SLOW_FETCH_SHARE = 0.4, 0.55  # of the aim: fetches that widen the window, and that narrow it
NARROWED = 0.8  # to this share of what is out
LINE = 3  # reads in line for the origin, for each that may be out
EASE_SHARE = 0.05  # of the calls that the origin had: declined at most, for it to be at ease
COMMAND_FETCHES = 4  # fetches that one command's keys may have out at the origin, or in line for it
# The pause before discovery is asked: at the start, and after one, two and more failures in a row. Two pauses
# and a call that fails between them (2.5 s) end in time: what discovery has to tell counts as told after 6 s.
ASK_AGAIN = tuple((a * NS_PER_S // 20, b * NS_PER_S // 20) for a, b in ((5, 20), (3, 12), (12, 38), (26, 38)))


class Router:
    """One router's decisions: feed it events with the time, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, api.Tenant("", 1.0))
        self._guards = {tenant.name: Suppressor(tenant, settings.routers, self._rng) for tenant in tenants}
        self._caches, self._origins = SlotTable(settings), SlotTable(settings)
        self._heat, self._usage = Heat(), Heat()  # by slot; by tenant
        self._requests: dict[str, Request] = {}
        self._flights: dict[str, list[Request]] = {}
        self._commands: dict[str, Command] = {}
        aim = min(cls.aim for cls in settings.classes)
        self._width, self._last_cut = math.inf, 0  # writes that may be out
        self._window, self._narrowed_at = math.inf, 0  # fetches that may be out, so that none waits long
        self._line: list[Request] = []  # reads that wait for one of them to end
        self._held: list[Request] = []  # writes waiting for one of them to end; the newest goes first
        self._origin_bad = 0.0  # smoothed share of bad fetches
        self._outage = Outage()  # of the way to the origin
        self._answers, self._fetches = (
            LatencyEstimate(aim),
            LatencyEstimate(aim / 2),
        )  # of the caches; good ones of the origin
        self._odds = AttemptHistory()  # of the caches' answers
        self._asking, self._failed_calls = False, 0
        self._lag = 0  # how late this router's own loop runs
        self._policy: api.PolicyHeld | None = None
        self._policy_until = math.inf  # when it can't be told any more whether the policy is in force
        self._shares: dict[str, float] = {}
        self._shares_until = self._look_at = math.inf  # look at: when the first of the two runs out
        self._held_out: dict[str, api.Server] = {}  # ready, and to get nothing new by the policy
        self._now = 0
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Take one event at clock time `now` and return the actions to carry out, in order."""
        self._now, self._actions = now, []
        if now >= self._look_at:  # by the clock at each event: a process may have been stopped for long
            self._run_out()
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._arrived(event)
            case api.KeysServed():
                self._keys_served(event)
            case api.KeysArrived():
                self._keys_arrived(event)
            case api.ServersChanged():
                self._servers_changed(event)
            case api.TimerFired():
                self._timer(event.token)
            case api.RouterLate():
                self._lag = event.lag
            case api.KnowledgeGained():
                self._learn(event.knowledge)
            case api.PolicyChanged():
                self._change_policy(event)
            case api.AttemptSlow() if event.request in self._requests:
                self._send_twin(self._requests[event.request])
            case api.ClientGone() if event.request in self._requests:
                self._finish(self._requests[event.request])
        return self._actions

    def limits(self) -> dict[str, float]:
        """The fetches a second that each tenant may have now, for the account of them only."""
        return {name: guard.limit for name, guard in self._guards.items() if name}

    def wanted(self) -> dict[str, int]:
        """The fetches and writes that each tenant has asked of the origin so far, refused ones once."""
        return {name: guard.wanted for name, guard in self._guards.items() if name}

    def listed(self) -> list[api.Server]:
        """The ready servers, the origin among them, as they were listed last."""
        held = [node.entry for table in (self._caches, self._origins) for node in table.nodes.values()]
        return [*held, *self._held_out.values()]

    def version(self) -> int:
        """The policy's version that fetches are admitted under; 0: none, or the floor."""
        at_floor = self._policy is None or self._policy_until == math.inf
        return 0 if at_floor or self._policy is None else self._policy.version

    def knowledge(self, now: int) -> api.Knowledge:
        """What this router has learned, for one that begins beside it."""
        nodes = self._caches.nodes.values()  # of the origin nothing is held by node
        fetches, answers = self._fetches, self._answers
        store = (fetches.mean, fetches.deviation, answers.mean, answers.deviation)
        return api.Knowledge(
            tuple(node.export_state() for node in nodes if node.last_outcome_at),
            tuple(guard.export_state(name, now) for name, guard in self._guards.items()),
            api.StoreKnown(self._window, self._width, self._origin_bad, *store),
            tuple((slot, count) for slot, count in self._heat.hottest() if isinstance(slot, int)),
            tuple((name, count) for name, count in self._usage.hottest() if isinstance(name, str)),
        )

    def _learn(self, known: api.Knowledge) -> None:
        for node in known.nodes:
            if node.server in self._caches.nodes:
                self._caches.nodes[node.server].import_state(node)
        for limit in known.limits:
            if limit.tenant in self._guards:
                self._guards[limit.tenant].import_state(limit, known.weight)
        self._heat.import_counts(known.heat, known.weight)
        self._usage.import_counts(known.usage, known.weight)
        store, weight = known.store, known.weight
        self._origin_bad += (store.bad - self._origin_bad) * weight
        for pace, mean, deviation in (
            (self._fetches, store.fetch_usual, store.fetch_spread),
            (self._answers, store.answer_usual, store.answer_spread),
        ):
            pace.mean += (mean - pace.mean) * weight
            pace.deviation += (deviation - pace.deviation) * weight
        if weight > 0:  # what is infinite here is not known: in parts it would be no less
            self._window, self._width = (
                min(mine, max(told, 1.0) / weight)
                for mine, told in ((self._window, store.window), (self._width, store.width))
            )

    def avoided(self, now: int) -> list[str]:
        """The ready caches that get next to nothing, by what is held against them.

        One that was late now and then is not among them: it is asked less for a second or two.
        """
        nodes = self._caches.nodes.items()
        return [name for name, node in nodes if node.avoided(now) or not node.may_connect(now)]

    def _servers_changed(self, event: api.ServersChanged) -> None:
        if self._settings.must_subscribe:
            self._keep_subscribed(event.kind)
        if event.kind is ListKind.FAILED:
            return
        ready = [entry for entry in event.servers if entry.state is ServerState.READY]
        if self._policy is not None and self._policy.held_out:
            ready = self._without_held(ready, event)
        left = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            mine = [e for e in ready if (e.kind == self._settings.origin_kind) == is_origin]
            unlisted = table.nodes.keys() - {e.id for e in mine} if event.kind is not ListKind.DELTA else ()
            table.update(mine, [*left, *unlisted])

    def _change_policy(self, event: api.PolicyChanged) -> None:
        same = self._policy == event.policy and self._policy_until != math.inf
        shares = dict(event.shares) if self._now < event.shares_until else {}
        same = same and shares == self._shares
        self._shares, self._shares_until = shares, event.shares_until if shares else math.inf
        before = self._policy.held_out if self._policy is not None else ()
        self._policy = event.policy
        if self._now >= event.until:
            self._hold_policy(floor=True)
        else:
            self._policy_until = event.until
            if not same:
                self._hold_policy(floor=False)
        self._look_at = min(self._policy_until, self._shares_until)
        if before != event.policy.held_out:
            entries = self.listed()
            self._held_out.clear()
            self._servers_changed(api.ServersChanged(ListKind.FULL, tuple(entries)))

    def _run_out(self) -> None:
        floor = self._now >= self._policy_until
        self._shares, self._shares_until = {}, math.inf
        self._hold_policy(floor)
        self._look_at = self._policy_until

    def _hold_policy(self, floor: bool) -> None:
        if floor:
            self._policy_until, self._shares, self._shares_until = math.inf, {}, math.inf
        if self._policy is not None:
            told = {each.name: each for each in self._policy.namespaces}
            for name, guard in self._guards.items():
                share = None if floor else self._shares.get(name, 0.0)
                guard.hold(self._policy, told.get(name), self._settings.routers, share, self._now)

    def _without_held(self, ready: list[api.Server], event: api.ServersChanged) -> list[api.Server]:
        out = self._policy.held_out if self._policy is not None else ()
        if event.kind is not ListKind.DELTA:
            self._held_out.clear()
        for entry in event.servers:
            self._held_out.pop(entry.id, None)
        # The origin is never held out: nothing could be served without it.
        self._held_out |= {e.id: e for e in ready if e.id in out and e.kind != self._settings.origin_kind}
        return [entry for entry in ready if entry.id not in self._held_out]

    def _keep_subscribed(self, kind: ListKind) -> None:
        """Subscribe at the start and after every failure; jitter and back-off spare discovery."""
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failed_calls = 0
        elif not self._asking:
            self._asking = True
            self._failed_calls += kind is ListKind.FAILED
            least, most = ASK_AGAIN[min(self._failed_calls, len(ASK_AGAIN) - 1)]
            most = min(self._settings.ask_within // 2, most)
            self._actions.append(api.SetTimer(self._rng.randint(min(least, most), most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._asking = False
            self._actions.append(api.Subscribe())
            # Danger: clients name their requests; one of this name has timers too, and must have its answer.
        request = self._requests.get(token)
        if request and request.in_origin_queue:
            self._give_up(request, Reason.LIMIT)
        elif request and request.waiting and self._now >= request.deadline:
            self._give_up(request, Reason.TIME)
        elif request and request.waiting and request.write:
            self._fetch(request)

    def _arrived(self, event: api.RequestArrived) -> None:
        guard = self._guards.get(event.tenant or "", self._guards[""])
        cls = self._classes[event.request_class]
        request = Request(event.request, event.key, event.deadline, event.write, cls, guard)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._requests[request.id] = request
        if event.retry:
            request.is_retry = True
        if request.write and self._settings.origin_kind is not None:
            self._fetch(request)
        else:
            request.popularity = self._heat.add(request.slot)
            guard.record_usage(self._usage.add(event.tenant or ""))
            self._route(request)

    def _keys_arrived(self, event: api.KeysArrived) -> None:
        """Each key is decided on as a request of its own; those that go to one server are told together."""
        guard = self._guards.get(event.tenant or "", self._guards[""])
        cls, now = self._classes[event.request_class], self._now
        cold, settled = HEAT_SHARE / max(len(self._caches.nodes), 1), self._caches.settled
        command = self._commands.setdefault(event.command, Command(event.command))
        command.open += len(event.requests)
        guard.record_usage(self._usage.add(event.tenant or "", len(event.requests)))
        in_haste = event.deadline - now < cls.aim
        sends: dict[Node, api.SendKeys] = {}
        for name, key in zip(event.requests, event.keys, strict=True):
            request = self._requests[name] = Request(name, key, event.deadline, False, cls, guard)
            slot = request.slot = crc32(key.encode()) % SLOTS
            request.command, request.popularity = command, self._heat.add(slot)
            held = settled.get(slot) if request.popularity <= cold else None
            ranking = held or self._candidates(request)
            # The plain case of _route: the first choice is sound, and there is time left.
            if not ranking or not ranking[0].healthy or in_haste:
                self._route(request)
                continue
            node = ranking[0]
            request.attempts, request.node, request.sent_at, request.in_flight = 1, node, now, True
            node.load += 1
            if (send := sends.get(node)) is None:
                send = sends[node] = api.SendKeys(
                    [], node.entry.id, event.command, self._patience(request, node)
                )
                self._actions.append(send)
            send.requests.append(name)

    def _keys_served(self, event: api.KeysServed) -> None:
        judged: Node | None = None
        for name in event.requests:
            request = self._requests.pop(name, None)
            if request is None or request.node is None or request.command is None:
                continue
            node, command = request.node, request.command
            node.load -= 1
            command.open -= 1
            request.in_flight, request.done = False, True
            if not command.open:
                del self._commands[command.name]
            if node is not judged:  # one event, one judgement
                judged, late = node, event.latency > request.cls.aim
                node.record_outcome(Outcome.OK, late, self._now)
                node.unanswered_at = -TIMEOUT_HOLD_NS
                self._odds.record(event.latency, answered=True)
                node.latency.record(event.latency)
                self._answers.record(event.latency)

    def _send(self, request: Request, node: Node) -> None:
        request.attempts += 1
        request.node, request.sent_at, request.in_flight = node, self._now, True
        node.load += 1
        patience = self._patience(request, node)
        self._actions.append(api.Send(request.id, node.entry.id, patience, request.resend_deadline()))

    def _latency(self, overall: LatencyEstimate, node: Node) -> tuple[float, float]:
        """Mean latency and deviation of a server: the greater of its own and those of all servers."""
        own = node.latency
        mean = own.mean if own.mean > overall.mean else overall.mean
        return mean, own.deviation if own.deviation > overall.deviation else overall.deviation

    def _patience(self, request: Request, node: Node) -> int:
        aim = request.cls.aim
        mean, deviation = self._latency(self._fetches if request.fetching else self._answers, node)
        slow = mean + deviation * SPREADS / 2 > aim * SLOW_SHARE
        first = not request.is_refetch if request.fetching else request.attempts == 1
        if slow or not first or not request.may_repeat():
            return 0
        # Guards quick servers: six spreads of theirs are less than a hiccup, above all one of this router.
        enough = max(mean + deviation * SPREADS, aim * PATIENCE_FLOOR) + self._lag
        return int(min(enough, aim * PATIENCE_SHARE))

    def _may_try(self, request: Request) -> bool:
        return request.attempts < self._settings.max_attempts and self._now < request.deadline

    def _route(self, request: Request) -> None:
        if not self._may_try(request):
            self._give_up(request, self._spent(request))
            return
        if request.excluded and request.attempts == self._settings.max_attempts - 1 and self._origins.nodes:
            self._missed(request)  # the last attempt is the origin's: a cache's miss would leave none for it
            return
        shed = False
        for node in self._candidates(request):
            if node in request.excluded or not (
                node.may_connect(self._now) and request.may_send(node, self._now)
            ):
                continue
            chance = node.send_probability(self._now)
            # Tenants over their portion are shed first, those well within it last.
            if chance >= 1.0 or (chance > 0 and self._rng.random() < chance**request.suppressor.overuse):
                if self._hopeless(request, node):
                    self._give_up(request, Reason.TIME)
                else:
                    self._send(request, node)
                return
            if not node.unreachable:
                again, shed = shed, True
                if again or not self._store_at_ease(request):
                    break
        if shed:
            self._give_up(request, Reason.SHED)
        else:
            self._missed(request)

    def _hopeless(self, request: Request, node: Node) -> bool:
        """Whether a client's time is more likely than not too short: then it is refused at once.

        Sent all the same it costs its server as much as one that is served, and its client the time that a
        further try has. A few are sent: danger, where all clients are in haste nothing else would tell that
        the caches are quick again.
        """
        left = request.deadline - self._now
        if left >= request.cls.aim or request.attempts or request.write:
            return False
        missed = node.unanswered_at > self._now - TIMEOUT_HOLD_NS
        return (
            missed or self._odds.answer_probability(left) < MIN_ANSWER_PROBABILITY
        ) and self._rng.random() >= MIN_PROBABILITY

    def _store_at_ease(self, request: Request) -> bool:
        """Whether the origin answers well within the aim, and nobody is refused or waits for it."""
        guard = request.suppressor
        return (
            guard.declined <= EASE_SHARE * guard.accepted(self._now)
            and self._fetches.mean < request.cls.aim * QUICK_SHARE
            and not self._line
        )

    def _candidates(self, request: Request) -> Sequence[Node]:
        owners = math.ceil(request.popularity * len(self._caches.nodes) / HEAT_SHARE)
        ranking = self._caches.rank(request.slot, self._now, max(owners, DEPTH))
        if owners > 1:
            return [*sorted(ranking[:owners], key=self._draw), *ranking[owners:]]
        if self._now < self._caches.cold_until and ranking and self._passed_over(ranking[0]):
            return sorted(ranking, key=lambda node: self._caches.warmth(node, self._now) < 1.0)
        return ranking

    def _passed_over(self, node: Node) -> bool:
        """Whether a cold server is not asked yet, as this router can't tell that the slot is not a hot one.

        Danger: all routers give a slot to the same server, and many that have just begun know of none that it
        is hot. Beside its own part a cold one has room for `fall_multiple` - 1 of these. That a slot has more
        is not known before so many requests are seen that one was its own: asked with the chance that it is,
        all routers that know nothing send it 1/e of that room for any one slot, however many they are.
        """
        warmth, servers = self._caches.warmth(node, self._now), len(self._caches.nodes)
        if warmth >= 1.0:
            return False
        known = self._heat.total * (self._settings.fall_multiple - 1) * warmth
        return known < servers and self._rng.random() * servers >= known

    def _draw(self, node: Node) -> float:
        """The time that a further request is likely to take there, with a draw that keeps routers apart.

        The own requests out tell nothing of a server's speed, nor of other routers' load on it: its times do.
        """
        weight = node.weight * self._caches.warmth(node, self._now)
        expected = node.latency.expected(self._answers.mean)
        return (node.load + 1) * expected / weight * self._rng.uniform(1 - APART, 1.0)

    def _missed(self, request: Request) -> None:
        flight = None if request.key is None else self._flights.get(request.key)
        command = request.command
        if flight is not None and not request.write:
            flight.append(request)
        elif command is not None and command.fetching >= COMMAND_FETCHES:
            command.waiting.append(request)  # else one scan's misses would queue at the origin all at once
            request.in_command_queue = True
        else:
            self._fetch(request)
            return
        self._wait(request, request.deadline - self._now)

    def _next_fetch(self, command: Command) -> None:
        """One of a command's fetches is over: those that wait for it go on."""
        while command.waiting and command.fetching < COMMAND_FETCHES:
            waiter = command.waiting.popleft()
            if waiter.in_command_queue and waiter.waiting:
                waiter.in_command_queue = waiter.waiting = False
                self._missed(waiter)

    def _stored(self, key: str) -> None:
        """A fetch has come back: those that wait for a fetch of their own of this key ask the cache again."""
        queued = [w for command in self._commands.values() for w in command.waiting if w.key == key]
        for waiter in queued:
            if waiter.in_command_queue and waiter.waiting:
                waiter.in_command_queue = waiter.waiting = False
                self._route(waiter)

    def _send_twin(self, request: Request) -> None:
        """Ask the next server of the slot for a second copy; the first good answer counts."""
        idle = request.hedge_node is None and request.in_flight and not (request.fetching or request.done)
        if not idle or not self._settings.second_copies or request.cls.effect is not Effect.SAFE:
            return
        for node in self._candidates(request):
            # Only a sound and warm server: a copy is a luxury.
            sound = node.send_probability(self._now) >= 1.0 and self._caches.warmth(node, self._now) >= 1.0
            sound = sound and node.may_connect(self._now)
            if node is not request.node and node not in request.excluded and sound and self._may_try(request):
                request.attempts += 1
                request.hedge_node = node
                node.load += 1
                self._actions.append(api.Send(request.id, node.entry.id))
                return

    def _twin_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """A miss of the second copy says nothing while the first is out; else it stands for both."""
        request.hedge_node = None
        node.load -= 1
        self._judge_cache(request, node, event)
        request.excluded.append(node)
        if event.closed or request.done:
            self._finish(request)
        elif request.in_flight or request.waiting:
            return
        elif event.outcome is Outcome.MISS and self._settings.origin_kind is not None:
            self._missed(request)
        else:
            self._route(request)

    def _fetch(self, request: Request) -> None:
        request.waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, self._spent(request) if origins else Reason.NO_SERVER)
            return
        if request.write and origins[0].load >= self._width:
            self._held.append(request)
            self._wait(request, request.deadline - self._now)
            return
        if request.write:
            request.suppressor.record_call(self._now)
        else:
            again = request.is_retry or request.is_refetch
            if not (request.suppressor.admit(self._now, again) or self._outage.take_probe(self._now)):
                self._give_up(request, Reason.LIMIT)
                return
        if request.key is not None and not request.write:
            self._flights.setdefault(request.key, [])
            request.leads_flight = True
            if origins[0].load >= self._window and not request.is_refetch:
                self._line_up(request)
                return
        self._begin_fetch(request, origins[0])

    def _begin_fetch(self, request: Request, origin: Node) -> None:
        request.fetching = True
        self._take_place(request)
        self._send(request, origin)

    def _take_place(self, request: Request) -> None:
        """Count a fetch among its command's, from when it stands in line."""
        if request.command is not None and not request.holds_command_slot:
            request.holds_command_slot = True
            request.command.fetching += 1

    def _give_place(self, request: Request) -> Command | None:
        """Count it no longer; returns the command that has a place to give, if there is one."""
        if request.command is None or not request.holds_command_slot:
            return None
        request.holds_command_slot = False
        request.command.fetching -= 1
        return request.command

    def _asked_for(self, request: Request) -> int:
        return len(self._flights.get(request.key or "", ()))

    def _line_up(self, request: Request) -> None:
        """As many fetches are out as the origin answers well within the aim: wait for one, if there is time.

        In a line that is full the key that fewest wait for makes room.
        """
        left = min(request.deadline - self._now, int(request.cls.aim * SLOW_FETCH_SHARE))
        left -= int(self._fetches.mean)
        if len(self._line) >= LINE * self._window:
            least = min(self._line, key=self._asked_for)
            if left > 0 and not self._asked_for(least):
                self._give_up(least, Reason.LIMIT)
            else:
                left = 0
        if left <= 0:
            self._give_up(request, Reason.LIMIT)
            return
        request.in_origin_queue = True
        self._take_place(request)
        self._line.append(request)
        self._wait(request, left)

    def _next_in_line(self) -> None:
        """Fetches go on while there is room: the key that most wait for first."""
        while self._line:
            best = max(self._line, key=self._asked_for)
            origins = self._origins.rank(best.slot, self._now)
            if origins and origins[0].load >= self._window:
                return
            self._line.remove(best)
            best.in_origin_queue = best.waiting = False
            if origins and self._may_try(best):
                self._begin_fetch(best, origins[0])
            else:
                self._give_up(best, self._spent(best) if origins else Reason.NO_SERVER)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or request.node is None:
            return
        if request.hedge_node is not None and event.server == request.hedge_node.entry.id:
            self._twin_ended(request, request.hedge_node, event)
            return
        freed = self._give_place(request) if request.fetching else None
        self._first_ended(request, request.node, event)
        if freed is not None:
            self._next_fetch(freed)

    def _judge_cache(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        late = event.latency > request.cls.aim
        # A kept connection that breaks says nothing of its server: nobody is judged by it, or asked less.
        answered = event.outcome in (Outcome.OK, Outcome.MISS)
        if answered or (event.outcome is Outcome.TIMEOUT and not event.stale):
            self._odds.record(event.latency, answered)
            node.unanswered_at = -TIMEOUT_HOLD_NS if answered else self._now
        if event.crowded:
            node.record_connect_rejection(self._now, self._rng)
        elif not is_connection_failure(event, late) and (late or not self._too_short(request, node, event)):
            node.record_outcome(event.outcome, late, self._now)
            if answered:
                node.latency.record(event.latency)
                self._answers.record(event.latency)

    def _too_short(self, request: Request, node: Node, event: api.AttemptEnded) -> bool:
        """Whether a client's time was up before the server's answer could be missed.

        Held against it all the same, clients in haste would have sound servers taken for silent ones.
        """
        if event.outcome is not Outcome.TIMEOUT or self._now < request.deadline:
            return False
        mean, deviation = self._latency(self._answers, node)
        return event.latency < mean + deviation * SPREADS / 2

    def _first_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        fetched, outcome = request.fetching, event.outcome
        request.in_flight = request.fetching = False
        node.load -= 1
        late = event.latency > request.cls.aim
        stale = is_connection_failure(event, late)
        if fetched:
            self._judge_fetch(node, event, late, request.cls.aim)
        else:
            self._judge_cache(request, node, event)
        if not outcome.never_ran and request.may_have_run is None:
            request.may_have_run = node, request.sent_at
        if event.closed or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self._settings.origin_kind is not None:
            self._missed(request)
        elif fetched and outcome is Outcome.MISS:
            self._nobody_has(request)
        elif fetched:
            self._fetch_failed(request, outcome, late, stale)
        else:
            lost = outcome in (Outcome.TIMEOUT, Outcome.RESET)
            if not lost or late or node.consecutive_unanswered > 1:  # else it is asked once more
                request.excluded.append(node)
            if request.hedge_node is None:  # else that one's end decides
                self._route(request)

    def _nobody_has(self, request: Request) -> None:
        """The origin knows no such key: so it is for all that wait for this fetch."""
        for each in (*(self._flights.get(request.key or "", ()) if request.leads_flight else ()), request):
            if not each.done:
                self._actions.append(api.Fail(each.id, Reason.MISSING))
                self._finish(each)

    def _judge_fetch(self, node: Node, event: api.AttemptEnded, late: bool, aim: int) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first."""
        self._watch_outage(event, late, aim)
        mute = is_connection_failure(event, late)
        if event.latency > aim * SLOW_FETCH_SHARE and not mute:
            # An answer that waited behind this router's own fetches is met by fewer of them, and no sign of
            # trouble while there can be fewer.
            late = late and (event.outcome is not Outcome.OK or self._window <= 1.0)
            if self._now - self._narrowed_at >= self._fetches.mean:
                self._narrowed_at = self._now
                self._window = max(1.0, min(self._window, node.load + 1) * NARROWED)
        elif event.latency <= aim * QUICK_SHARE and event.outcome is Outcome.OK:
            self._window += 1 / self._window
        if event.outcome is Outcome.TIMEOUT:
            self._fetches.record(event.latency)
        if event.outcome in (Outcome.OK, Outcome.MISS) and not late:
            self._origin_bad -= self._origin_bad / BAD_SAMPLES
            self._fetches.record(event.latency)
            self._width += 1 / self._width
            for guard in self._guards.values():
                guard.rise(self._now)
        elif not mute and (late or event.outcome not in (Outcome.MOOT, Outcome.CANCELLED, Outcome.TIMEOUT)):
            # A time-out that is not late had too little time left: not the origin's fault.
            self._origin_bad += (1 - self._origin_bad) / BAD_SAMPLES
            # A lone bad fetch is chance (a heavy tail), and one round-trip's bad fetches are one sign.
            if self._origin_bad >= BAD_SHARE and self._now - self._last_cut >= self._fetches.mean:
                self._last_cut = self._now
                self._width = max(1.0, min(self._width, node.load + 1) * LIMIT_DECREASE)
                for guard in self._guards.values():  # the origin is shared: it speaks for all
                    guard.cut(self._now)
        self._next_in_line()
        while self._held and node.load < self._width:
            waiter = self._held.pop()
            if waiter.waiting:
                self._fetch(waiter)
            if self._held and self._held[-1] is waiter:
                # Danger: after a change of the origin's entry its new node, not this one, is full for good.
                break

    def _watch_outage(self, event: api.AttemptEnded, late: bool, aim: int) -> None:
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            # A time-out that is not late had too little time left, and tells nothing.
            if not event.stale and (late or event.outcome is not Outcome.TIMEOUT):
                limits = {name: guard.limit for name, guard in self._guards.items()}
                pace = self._fetches.mean, self._fetches.deviation
                self._outage.record_unanswered(
                    OriginState(self._width, self._window, self._origin_bad, *pace, limits)
                )
        elif event.outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR, Outcome.FULL):
            good = event.outcome in (Outcome.OK, Outcome.MISS)
            before = self._outage.record_answer(good and event.latency <= aim * QUICK_SHARE)
            if before is not None:
                self._width, self._window, self._origin_bad = (
                    before.write_limit,
                    before.fetch_window,
                    before.bad_fraction,
                )
                self._fetches.mean, self._fetches.deviation = before.mean, before.deviation
                for name, guard in self._guards.items():
                    guard.limit = max(guard.limit, before.limits[name])

    def _fetch_failed(self, request: Request, outcome: Outcome, late: bool, stale: bool) -> None:
        """A write is tried again after a pause; a read is the client's to retry, to spare the origin.

        An attempt that counts as lost is made once more at once: it was none of the origin's doing.
        """
        if (stale or (outcome is Outcome.TIMEOUT and not late)) and not request.is_refetch:
            request.is_refetch = True
            self._fetch(request)
            return
        pause = int(self._fetches.mean * self._rng.uniform(0.5, 1.5))
        if request.write and self._now + pause < request.deadline and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, Reason.STORE)

    def _land(self, request: Request, stored: bool) -> None:
        """End a flight: its waiters ask the cache again, or one of them fetches in the leader's place."""
        request.leads_flight = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)
        if stored and request.key is not None and self._commands:
            self._stored(request.key)

    def _wait(self, request: Request, delay: int) -> None:
        request.waiting = True
        self._actions.append(api.SetTimer(delay, request.id))

    def _spent(self, request: Request) -> Reason:
        return Reason.TIME if self._now >= request.deadline else Reason.ATTEMPTS

    def _give_up(self, request: Request, reason: Reason) -> None:
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self._settings.max_retry_after)
            self._actions.append(api.Refuse(request.id, wait if self._settings.retry_after else 0, reason))
        else:
            self._actions.append(api.Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        request.done, request.waiting = True, False
        freed = None
        if request.in_origin_queue:
            request.in_origin_queue = False
            self._line.remove(request)
            freed = self._give_place(request)
        if not request.in_flight and request.hedge_node is None:
            del self._requests[request.id]
            if request.command is not None:
                request.command.open -= 1
                if not request.command.open:
                    del self._commands[request.command.name]
        if request.leads_flight:
            self._land(request, stored)
        if freed is not None:
            self._next_fetch(freed)
