"""The decisions of one router, without I/O: events and the time in, actions out (see interface.py).

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
from pebblepass.decisions.hot_keys import HOT_LOAD_FRACTION, Popularity
from pebblepass.decisions.interface import NS_PER_S, Effect, ListKind, Outcome, Reason, ServerState
from pebblepass.decisions.origin import OriginState, Outage
from pebblepass.decisions.requests import Command, Request
from pebblepass.decisions.slot_table import DEPTH, SLOTS, SlotTable
from pebblepass.decisions.suppressor import LIMIT_DECREASE, Suppressor

OWNER_JITTER = 0.4  # of the estimated wait at a hot slot's owners, so that routers choose differently

# Attempt timeouts.
TIMEOUT_DEVIATIONS = 6  # above the mean latency, after which an attempt counts as lost
MIN_TIMEOUT_FRACTION, MAX_TIMEOUT_FRACTION = 0.125, 0.95  # of the target
SLOW_SERVER_FRACTION = 0.8  # of the target: a server with so long a latency has no timeout but the client's
MIN_ANSWER_PROBABILITY = 0.5  # within the time left: below it no attempt is made

# Fetches in flight at the origin.
BAD_FETCH_SMOOTHING, MAX_BAD_FRACTION = 8, 0.2  # fetches averaged; above the fraction limits decrease
QUICK_FETCH_FRACTION = 0.4  # of the target: faster fetches widen the window
SLOW_FETCH_FRACTION = 0.55  # of the target: slower ones narrow it
WINDOW_DECREASE = 0.8  # factor on the fetches in flight
QUEUED_PER_FETCH = 3  # reads queued for each fetch that may be in flight
MAX_DECLINED_FRACTION = 0.05  # of a tenant's admitted calls, for the origin to have headroom
FETCHES_PER_COMMAND = 4  # of one command's keys, in flight or queued
# Least and most pause before a subscription: at the start, and after one, two and more consecutive failures.
# Two pauses and a failing call between them (2.5 s) fit into the 6 s after which discovery's news is overdue.
SUBSCRIBE_BACKOFF_NS = tuple(
    (least * NS_PER_S // 20, most * NS_PER_S // 20) for least, most in ((5, 20), (3, 12), (12, 38), (26, 38))
)


class Router:
    """One router's decisions: pass each event with the time, and carry out the actions returned."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        tenants = (*settings.tenants, api.Tenant("", 1.0))
        self._suppressors = {
            tenant.name: Suppressor(tenant, settings.routers, self._rng) for tenant in tenants
        }
        self._caches, self._origins = SlotTable(settings), SlotTable(settings)
        self._slot_popularity, self._tenant_usage = Popularity(), Popularity()  # by slot; by tenant
        self._requests: dict[str, Request] = {}
        self._flights: dict[str, list[Request]] = {}
        self._commands: dict[str, Command] = {}
        target = min(cls.latency_target for cls in settings.classes)
        self._write_limit, self._limits_decreased_at = math.inf, 0  # writes in flight at most
        self._fetch_window, self._window_decreased_at = math.inf, 0  # fetches in flight at most
        self._fetch_queue: list[Request] = []  # reads that wait for a fetch to end
        self._waiting_writes: list[Request] = []  # the newest is sent first
        self._bad_fetch_fraction = 0.0  # smoothed fraction of bad fetches
        self._outage = Outage()
        self._cache_latency = LatencyEstimate(target)
        self._fetch_latency = LatencyEstimate(target / 2)  # of good fetches
        self._attempt_history = AttemptHistory()  # at caches
        self._subscribing, self._failed_calls = False, 0
        self._loop_lag = 0  # nanoseconds that the event loop runs late
        self._policy: api.FleetPolicy | None = None
        self._policy_until = math.inf  # from then on the floor applies
        self._leases: dict[str, float] = {}
        self._leases_until = self._next_expiry = math.inf  # next expiry: the first of the two
        self._cordoned: dict[str, api.Server] = {}  # ready, but excluded by the policy
        self._now = 0
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Process one event at clock time `now` (nanoseconds); return the actions to carry out, in order."""
        self._now, self._actions = now, []
        if now >= self._next_expiry:  # not by a timer: the process may have been stopped
            self._expire_policy()
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._request_arrived(event)
            case api.BatchServed():
                self._keys_served(event)
            case api.BatchArrived():
                self._keys_arrived(event)
            case api.ServersChanged():
                self._servers_changed(event)
            case api.TimerFired():
                self._timer(event.token)
            case api.EventLoopLagged():
                self._loop_lag = event.lag
            case api.StateImported():
                self._import_knowledge(event.state)
            case api.PolicyChanged():
                self._change_policy(event)
            case api.HedgeDue() if event.request in self._requests:
                self._send_hedge(self._requests[event.request])
            case api.ClientDisconnected() if event.request in self._requests:
                self._finish(self._requests[event.request])
        return self._actions

    def limits(self) -> dict[str, float]:
        """Return each tenant's present limit in fetches a second, for accounting."""
        return {name: suppressor.limit for name, suppressor in self._suppressors.items() if name}

    def demand(self) -> dict[str, int]:
        """Return each tenant's fetches and writes so far, refused ones included and retries not."""
        return {name: suppressor.demand for name, suppressor in self._suppressors.items() if name}

    def ready_servers(self) -> list[api.Server]:
        """Return the ready servers of the last list, the origin and cordoned ones included."""
        routed = [node.entry for table in (self._caches, self._origins) for node in table.nodes.values()]
        return [*routed, *self._cordoned.values()]

    def policy_version(self) -> int:
        """Return the version of the policy in force; 0: none, or the floor applies."""
        at_floor = self._policy is None or self._policy_until == math.inf
        return 0 if at_floor or self._policy is None else self._policy.version

    def export_state(self, now: int) -> api.RouterState:
        """Return what this router has measured, for another router that starts."""
        nodes = self._caches.nodes.values()  # the origin has no health of its own
        fetches, answers = self._fetch_latency, self._cache_latency
        store = (fetches.mean, fetches.deviation, answers.mean, answers.deviation)
        return api.RouterState(
            tuple(node.export_state() for node in nodes if node.last_outcome_at),
            tuple(suppressor.export_state(name, now) for name, suppressor in self._suppressors.items()),
            api.OriginHealth(self._fetch_window, self._write_limit, self._bad_fetch_fraction, *store),
            tuple((slot, count) for slot, count in self._slot_popularity.hottest() if isinstance(slot, int)),
            tuple((name, count) for name, count in self._tenant_usage.hottest() if isinstance(name, str)),
        )

    def _import_knowledge(self, known: api.RouterState) -> None:
        for node in known.servers:
            if node.server in self._caches.nodes:
                self._caches.nodes[node.server].import_state(node)
        for limit in known.limits:
            if limit.tenant in self._suppressors:
                self._suppressors[limit.tenant].import_state(limit, known.weight)
        self._slot_popularity.import_counts(known.slot_counts, known.weight)
        self._tenant_usage.import_counts(known.tenant_counts, known.weight)
        store, weight = known.origin, known.weight
        self._bad_fetch_fraction += (store.bad_fraction - self._bad_fetch_fraction) * weight
        for latency, mean, deviation in (
            (self._fetch_latency, store.fetch_latency_mean, store.fetch_latency_deviation),
            (self._cache_latency, store.cache_latency_mean, store.cache_latency_deviation),
        ):
            latency.mean += (mean - latency.mean) * weight
            latency.deviation += (deviation - latency.deviation) * weight
        if weight > 0:  # infinite is unknown here, and can't be averaged
            self._fetch_window, self._write_limit = (
                min(own, max(received, 1.0) / weight)
                for own, received in (
                    (self._fetch_window, store.fetch_window),
                    (self._write_limit, store.write_limit),
                )
            )

    def avoided(self, now: int) -> list[str]:
        """Return the ids of ready caches that get hardly any requests; one late answer is not enough."""
        nodes = self._caches.nodes.items()
        return [name for name, node in nodes if node.avoided(now) or not node.may_connect(now)]

    def _servers_changed(self, event: api.ServersChanged) -> None:
        if self._settings.must_subscribe:
            self._keep_subscribed(event.kind)
        if event.kind is ListKind.FAILED:
            return
        ready = [entry for entry in event.servers if entry.state is ServerState.READY]
        if self._policy is not None and self._policy.cordoned:
            ready = self._without_cordoned(ready, event)
        left = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            mine = [e for e in ready if (e.kind == self._settings.origin_kind) == is_origin]
            unlisted = table.nodes.keys() - {e.id for e in mine} if event.kind is not ListKind.DELTA else ()
            table.update(mine, [*left, *unlisted])

    def _change_policy(self, event: api.PolicyChanged) -> None:
        same = self._policy == event.policy and self._policy_until != math.inf
        leases = dict(event.leases) if self._now < event.leases_until else {}
        same = same and leases == self._leases
        self._leases, self._leases_until = leases, event.leases_until if leases else math.inf
        cordoned_before = self._policy.cordoned if self._policy is not None else ()
        self._policy = event.policy
        if self._now >= event.expires_at:
            self._apply_policy(floor=True)
        else:
            self._policy_until = event.expires_at
            if not same:
                self._apply_policy(floor=False)
        self._next_expiry = min(self._policy_until, self._leases_until)
        if cordoned_before != event.policy.cordoned:
            entries = self.ready_servers()
            self._cordoned.clear()
            self._servers_changed(api.ServersChanged(ListKind.FULL, tuple(entries)))

    def _expire_policy(self) -> None:
        floor = self._now >= self._policy_until
        self._leases, self._leases_until = {}, math.inf
        self._apply_policy(floor)
        self._next_expiry = self._policy_until

    def _apply_policy(self, floor: bool) -> None:
        if floor:
            self._policy_until, self._leases, self._leases_until = math.inf, {}, math.inf
        if self._policy is not None:
            namespaces = {each.name: each for each in self._policy.namespaces}
            for name, suppressor in self._suppressors.items():
                lease = None if floor else self._leases.get(name, 0.0)
                suppressor.apply_policy(
                    self._policy, namespaces.get(name), self._settings.routers, lease, self._now
                )

    def _without_cordoned(self, ready: list[api.Server], event: api.ServersChanged) -> list[api.Server]:
        excluded = self._policy.cordoned if self._policy is not None else ()
        if event.kind is not ListKind.DELTA:
            self._cordoned.clear()
        for entry in event.servers:
            self._cordoned.pop(entry.id, None)
        # The origin is never cordoned: nothing could be served without it.
        self._cordoned |= {
            e.id: e for e in ready if e.id in excluded and e.kind != self._settings.origin_kind
        }
        return [entry for entry in ready if entry.id not in self._cordoned]

    def _keep_subscribed(self, kind: ListKind) -> None:
        """Subscribe at the start and after every failure, with jitter and back-off."""
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failed_calls = 0
        elif not self._subscribing:
            self._subscribing = True
            self._failed_calls += kind is ListKind.FAILED
            least, most = SUBSCRIBE_BACKOFF_NS[min(self._failed_calls, len(SUBSCRIBE_BACKOFF_NS) - 1)]
            most = min(self._settings.subscribe_within // 2, most)
            self._actions.append(api.SetTimer(self._rng.randint(min(least, most), most), "subscribe"))

    def _timer(self, token: str) -> None:
        if token == "subscribe":
            self._subscribing = False
            self._actions.append(api.Subscribe())
            # No return: clients choose the ids of requests, and one of this id may have a timer too.
        request = self._requests.get(token)
        if request and request.in_origin_queue:
            self._give_up(request, Reason.RATE_LIMITED)
        elif request and request.waiting and self._now >= request.deadline:
            self._give_up(request, Reason.DEADLINE)
        elif request and request.waiting and request.write:
            self._fetch(request)

    def _request_arrived(self, event: api.RequestArrived) -> None:
        suppressor = self._suppressors.get(event.tenant or "", self._suppressors[""])
        cls = self._classes[event.request_class]
        request = Request(event.request, event.key, event.deadline, event.write, cls, suppressor)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._requests[request.id] = request
        if event.retry:
            request.is_retry = True
        if request.write and self._settings.origin_kind is not None:
            self._fetch(request)
        else:
            request.popularity = self._slot_popularity.add(request.slot)
            suppressor.record_usage(self._tenant_usage.add(event.tenant or ""))
            self._route(request)

    def _keys_arrived(self, event: api.BatchArrived) -> None:
        """Route each key as a request of its own, but batch those for one server into one action."""
        suppressor = self._suppressors.get(event.tenant or "", self._suppressors[""])
        cls, now = self._classes[event.request_class], self._now
        cold_fraction, settled = (
            HOT_LOAD_FRACTION / max(len(self._caches.nodes), 1),
            self._caches.steady_rankings,
        )
        command = self._commands.setdefault(event.command, Command(event.command))
        command.open += len(event.requests)
        suppressor.record_usage(self._tenant_usage.add(event.tenant or "", len(event.requests)))
        short_of_time = event.deadline - now < cls.latency_target
        sends: dict[Node, api.SendBatch] = {}
        for name, key in zip(event.requests, event.keys, strict=True):
            request = self._requests[name] = Request(name, key, event.deadline, False, cls, suppressor)
            slot = request.slot = crc32(key.encode()) % SLOTS
            request.command, request.popularity = command, self._slot_popularity.add(slot)
            cached = settled.get(slot) if request.popularity <= cold_fraction else None
            ranking = cached or self._candidates(request)
            # Fast path of _route: the first choice is healthy, and there is time left.
            if not ranking or not ranking[0].healthy or short_of_time:
                self._route(request)
                continue
            node = ranking[0]
            request.attempts, request.node, request.sent_at, request.in_flight = 1, node, now, True
            node.attempts_in_flight += 1
            if (send := sends.get(node)) is None:
                send = sends[node] = api.SendBatch(
                    [], node.entry.id, event.command, self._attempt_timeout(request, node)
                )
                self._actions.append(send)
            send.requests.append(name)

    def _keys_served(self, event: api.BatchServed) -> None:
        recorded: Node | None = None
        for name in event.requests:
            request = self._requests.pop(name, None)
            if request is None or request.node is None or request.command is None:
                continue
            node, command = request.node, request.command
            node.attempts_in_flight -= 1
            command.open -= 1
            request.in_flight, request.done = False, True
            if not command.open:
                del self._commands[command.name]
            if node is not recorded:  # one sample for all keys
                recorded, late = node, event.latency > request.request_class.latency_target
                node.record_outcome(Outcome.OK, late, self._now)
                node.unanswered_at = -TIMEOUT_HOLD_NS
                self._attempt_history.record(event.latency, answered=True)
                node.latency.record(event.latency)
                self._cache_latency.record(event.latency)

    def _send(self, request: Request, node: Node) -> None:
        request.attempts += 1
        request.node, request.sent_at, request.in_flight = node, self._now, True
        node.attempts_in_flight += 1
        timeout = self._attempt_timeout(request, node)
        self._actions.append(api.Send(request.id, node.entry.id, timeout, request.resend_deadline()))

    def _latency(self, overall: LatencyEstimate, node: Node) -> tuple[float, float]:
        """Mean latency and deviation of a server: the greater of its own and those of all servers."""
        own = node.latency
        mean = own.mean if own.mean > overall.mean else overall.mean
        return mean, own.deviation if own.deviation > overall.deviation else overall.deviation

    def _attempt_timeout(self, request: Request, node: Node) -> int:
        target = request.request_class.latency_target
        mean, deviation = self._latency(
            self._fetch_latency if request.fetching else self._cache_latency, node
        )
        slow = mean + deviation * TIMEOUT_DEVIATIONS / 2 > target * SLOW_SERVER_FRACTION
        first = not request.is_refetch if request.fetching else request.attempts == 1
        if slow or not first or not request.may_repeat():
            return 0
        # The least fraction protects fast servers: their deviations are smaller than a pause of this router.
        timeout = max(mean + deviation * TIMEOUT_DEVIATIONS, target * MIN_TIMEOUT_FRACTION) + self._loop_lag
        return int(min(timeout, target * MAX_TIMEOUT_FRACTION))

    def _may_try(self, request: Request) -> bool:
        return request.attempts < self._settings.max_attempts and self._now < request.deadline

    def _route(self, request: Request) -> None:
        if not self._may_try(request):
            self._give_up(request, self._exhaustion_reason(request))
            return
        if request.excluded and request.attempts == self._settings.max_attempts - 1 and self._origins.nodes:
            self._fetch_or_wait(request)  # a miss elsewhere would leave no attempt for the origin
            return
        rejected = False
        for node in self._candidates(request):
            if node in request.excluded or not (
                node.may_connect(self._now) and request.may_send(node, self._now)
            ):
                continue
            probability = node.send_probability(self._now)
            # Tenants that overuse their weight are shed first.
            overuse = request.suppressor.overuse
            if probability >= 1.0 or (probability > 0 and self._rng.random() < probability**overuse):
                if self._unlikely_in_time(request, node):
                    self._give_up(request, Reason.DEADLINE)
                else:
                    self._send(request, node)
                return
            if not node.unreachable:
                again, rejected = rejected, True
                if again or not self._origin_has_headroom(request):
                    break
        if rejected:
            self._give_up(request, Reason.SHED)
        else:
            self._fetch_or_wait(request)

    def _unlikely_in_time(self, request: Request, node: Node) -> bool:
        """Whether a first attempt at this server would probably end after the client's deadline.

        Such a request is refused: it would cost the server as much as any, and the client time for a retry.
        A few are sent all the same: they show that caches are fast again where all clients have little time.
        """
        left = request.deadline - self._now
        if left >= request.request_class.latency_target or request.attempts or request.write:
            return False
        unlikely = node.unanswered_at > self._now - TIMEOUT_HOLD_NS
        unlikely = unlikely or self._attempt_history.answer_probability(left) < MIN_ANSWER_PROBABILITY
        return unlikely and self._rng.random() >= MIN_PROBABILITY

    def _origin_has_headroom(self, request: Request) -> bool:
        """Whether fetches are fast, none is queued, and hardly any of this tenant's is declined."""
        suppressor = request.suppressor
        return (
            suppressor.declined <= MAX_DECLINED_FRACTION * suppressor.accepted(self._now)
            and self._fetch_latency.mean < request.request_class.latency_target * QUICK_FETCH_FRACTION
            and not self._fetch_queue
        )

    def _candidates(self, request: Request) -> Sequence[Node]:
        owners = math.ceil(request.popularity * len(self._caches.nodes) / HOT_LOAD_FRACTION)
        ranking = self._caches.rank(request.slot, self._now, max(owners, DEPTH))
        if owners > 1:
            return [*sorted(ranking[:owners], key=self._expected_wait), *ranking[owners:]]
        if self._now < self._caches.cold_until and ranking and self._skips_cold(ranking[0]):
            return sorted(ranking, key=lambda node: self._caches.warm_up_fraction(node, self._now) < 1.0)
        return ranking

    def _skips_cold(self, node: Node) -> bool:
        """Whether to skip a cold server: its slot may be hot, and too few requests were seen to know that.

        All routers place a slot on the same server, and those that have just started know no hot slots.
        Beside its usual load a cold server has room for `fall_multiple` - 1 times that. With the probability
        used here all such routers together send it 1/e of that room for one slot, however many they are.
        """
        warmth, servers = self._caches.warm_up_fraction(node, self._now), len(self._caches.nodes)
        if warmth >= 1.0:
            return False
        seen = self._slot_popularity.total * (self._settings.overload_multiple - 1) * warmth
        return seen < servers and self._rng.random() * servers >= seen

    def _expected_wait(self, node: Node) -> float:
        """Estimate the time in nanoseconds of one more request there, with jitter.

        Latency stands for the server's speed and other routers' load; this router's attempts show neither.
        """
        weight = node.weight * self._caches.warm_up_fraction(node, self._now)
        expected = node.latency.expected(self._cache_latency.mean)
        return (node.attempts_in_flight + 1) * expected / weight * self._rng.uniform(1 - OWNER_JITTER, 1.0)

    def _fetch_or_wait(self, request: Request) -> None:
        flight = None if request.key is None else self._flights.get(request.key)
        command = request.command
        if flight is not None and not request.write:
            flight.append(request)
        elif command is not None and command.fetching >= FETCHES_PER_COMMAND:
            command.waiting.append(request)  # one scan must not fill the origin's queue
            request.in_command_queue = True
        else:
            self._fetch(request)
            return
        self._wait(request, request.deadline - self._now)

    def _resume_command(self, command: Command) -> None:
        """Start fetches of a command that waited for one of its fetches to end."""
        while command.waiting and command.fetching < FETCHES_PER_COMMAND:
            waiter = command.waiting.popleft()
            if waiter.in_command_queue and waiter.waiting:
                waiter.in_command_queue = waiter.waiting = False
                self._fetch_or_wait(waiter)

    def _key_stored(self, key: str) -> None:
        """Route the requests again that wait in their command's queue for a key that is now cached."""
        queued = [w for command in self._commands.values() for w in command.waiting if w.key == key]
        for waiter in queued:
            if waiter.in_command_queue and waiter.waiting:
                waiter.in_command_queue = waiter.waiting = False
                self._route(waiter)

    def _send_hedge(self, request: Request) -> None:
        """Send a hedged second attempt to the slot's next server; the first good answer counts."""
        idle = request.hedge_node is None and request.in_flight and not (request.fetching or request.done)
        if not idle or not self._settings.may_hedge or request.request_class.effect is not Effect.IDEMPOTENT:
            return
        for node in self._candidates(request):
            fit = (
                node.send_probability(self._now) >= 1.0
                and self._caches.warm_up_fraction(node, self._now) >= 1.0
            )
            fit = fit and node.may_connect(self._now)
            if node is not request.node and node not in request.excluded and fit and self._may_try(request):
                request.attempts += 1
                request.hedge_node = node
                node.attempts_in_flight += 1
                self._actions.append(api.Send(request.id, node.entry.id))
                return

    def _hedge_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Process a hedge's end; while the first attempt is in flight, that one decides."""
        request.hedge_node = None
        node.attempts_in_flight -= 1
        self._record_cache_attempt(request, node, event)
        request.excluded.append(node)
        if event.answered or request.done:
            self._finish(request)
        elif request.in_flight or request.waiting:
            return
        elif event.outcome is Outcome.MISS and self._settings.origin_kind is not None:
            self._fetch_or_wait(request)
        else:
            self._route(request)

    def _fetch(self, request: Request) -> None:
        request.waiting = False
        origins = self._origins.rank(request.slot, self._now)
        if not origins or not self._may_try(request) or not request.may_send(origins[0], self._now):
            self._give_up(request, self._exhaustion_reason(request) if origins else Reason.NO_SERVER)
            return
        if request.write and origins[0].attempts_in_flight >= self._write_limit:
            self._waiting_writes.append(request)
            self._wait(request, request.deadline - self._now)
            return
        if request.write:
            request.suppressor.record_call(self._now)
        else:
            again = request.is_retry or request.is_refetch
            if not (request.suppressor.admit(self._now, again) or self._outage.take_probe(self._now)):
                self._give_up(request, Reason.RATE_LIMITED)
                return
        if request.key is not None and not request.write:
            self._flights.setdefault(request.key, [])
            request.leads_flight = True
            if origins[0].attempts_in_flight >= self._fetch_window and not request.is_refetch:
                self._enqueue_fetch(request)
                return
        self._begin_fetch(request, origins[0])

    def _begin_fetch(self, request: Request, origin: Node) -> None:
        request.fetching = True
        self._take_command_slot(request)
        self._send(request, origin)

    def _take_command_slot(self, request: Request) -> None:
        """Count a queued or started fetch as one of its command's."""
        if request.command is not None and not request.holds_command_slot:
            request.holds_command_slot = True
            request.command.fetching += 1

    def _free_command_slot(self, request: Request) -> Command | None:
        """Stop counting it; return the command that may start another fetch, if any."""
        if request.command is None or not request.holds_command_slot:
            return None
        request.holds_command_slot = False
        request.command.fetching -= 1
        return request.command

    def _waiter_count(self, request: Request) -> int:
        return len(self._flights.get(request.key or "", ()))

    def _enqueue_fetch(self, request: Request) -> None:
        """Queue a fetch while the window is full, if it can still be in time.

        From a full queue a key that nobody else waits for is removed instead.
        """
        left = min(
            request.deadline - self._now, int(request.request_class.latency_target * SLOW_FETCH_FRACTION)
        )
        left -= int(self._fetch_latency.mean)
        if len(self._fetch_queue) >= QUEUED_PER_FETCH * self._fetch_window:
            least = min(self._fetch_queue, key=self._waiter_count)
            if left > 0 and not self._waiter_count(least):
                self._give_up(least, Reason.RATE_LIMITED)
            else:
                left = 0
        if left <= 0:
            self._give_up(request, Reason.RATE_LIMITED)
            return
        request.in_origin_queue = True
        self._take_command_slot(request)
        self._fetch_queue.append(request)
        self._wait(request, left)

    def _dequeue_fetches(self) -> None:
        """Start queued fetches while the window has room, the key with most waiters first."""
        while self._fetch_queue:
            best = max(self._fetch_queue, key=self._waiter_count)
            origins = self._origins.rank(best.slot, self._now)
            if origins and origins[0].attempts_in_flight >= self._fetch_window:
                return
            self._fetch_queue.remove(best)
            best.in_origin_queue = best.waiting = False
            if origins and self._may_try(best):
                self._begin_fetch(best, origins[0])
            else:
                self._give_up(best, self._exhaustion_reason(best) if origins else Reason.NO_SERVER)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or request.node is None:
            return
        if request.hedge_node is not None and event.server == request.hedge_node.entry.id:
            self._hedge_ended(request, request.hedge_node, event)
            return
        freed = self._free_command_slot(request) if request.fetching else None
        self._primary_ended(request, request.node, event)
        if freed is not None:
            self._resume_command(freed)

    def _record_cache_attempt(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        late = event.latency > request.request_class.latency_target
        answered = event.outcome in (Outcome.OK, Outcome.MISS)
        if answered or (event.outcome is Outcome.TIMEOUT and not event.connection_failed):
            self._attempt_history.record(event.latency, answered)
            node.unanswered_at = -TIMEOUT_HOLD_NS if answered else self._now
        if event.connection_rejected:
            node.record_connect_rejection(self._now, self._rng)
        elif not is_connection_failure(event, late) and (
            late or not self._timed_out_early(request, node, event)
        ):
            node.record_outcome(event.outcome, late, self._now)
            if answered:
                node.latency.record(event.latency)
                self._cache_latency.record(event.latency)

    def _timed_out_early(self, request: Request, node: Node, event: api.AttemptEnded) -> bool:
        """Whether the client's deadline ended an attempt that was not yet slow for this server.

        Clients with little time would otherwise make healthy servers look unresponsive.
        """
        if event.outcome is not Outcome.TIMEOUT or self._now < request.deadline:
            return False
        mean, deviation = self._latency(self._cache_latency, node)
        return event.latency < mean + deviation * TIMEOUT_DEVIATIONS / 2

    def _primary_ended(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        fetched, outcome = request.fetching, event.outcome
        request.in_flight = request.fetching = False
        node.attempts_in_flight -= 1
        late = event.latency > request.request_class.latency_target
        stale = is_connection_failure(event, late)
        if fetched:
            self._record_fetch(node, event, late, request.request_class.latency_target)
        else:
            self._record_cache_attempt(request, node, event)
        if not outcome.never_ran and request.may_have_run is None:
            request.may_have_run = node, request.sent_at
        if event.answered or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self._settings.origin_kind is not None:
            self._fetch_or_wait(request)
        elif fetched and outcome is Outcome.MISS:
            self._key_missing(request)
        elif fetched:
            self._fetch_failed(request, outcome, late, stale)
        else:
            lost = outcome in (Outcome.TIMEOUT, Outcome.RESET)
            if not lost or late or node.consecutive_unanswered > 1:  # else this server is tried again
                request.excluded.append(node)
            if request.hedge_node is None:  # else the hedge decides
                self._route(request)

    def _key_missing(self, request: Request) -> None:
        """Answer all that wait for this fetch: the origin has no such key."""
        for each in (*(self._flights.get(request.key or "", ()) if request.leads_flight else ()), request):
            if not each.done:
                self._actions.append(api.Fail(each.id, Reason.NOT_FOUND))
                self._finish(each)

    def _record_fetch(self, node: Node, event: api.AttemptEnded, late: bool, target: int) -> None:
        """Tune the window and limits by a fetch's outcome, and start what waits for one to end."""
        self._watch_outage(event, late, target)
        connection_only = is_connection_failure(event, late)
        if event.latency > target * SLOW_FETCH_FRACTION and not connection_only:
            # A late but good answer is not counted as bad while the window can still shrink.
            late = late and (event.outcome is not Outcome.OK or self._fetch_window <= 1.0)
            if self._now - self._window_decreased_at >= self._fetch_latency.mean:
                self._window_decreased_at = self._now
                self._fetch_window = max(
                    1.0, min(self._fetch_window, node.attempts_in_flight + 1) * WINDOW_DECREASE
                )
        elif event.latency <= target * QUICK_FETCH_FRACTION and event.outcome is Outcome.OK:
            self._fetch_window += 1 / self._fetch_window
        if event.outcome is Outcome.TIMEOUT:
            self._fetch_latency.record(event.latency)
        if event.outcome in (Outcome.OK, Outcome.MISS) and not late:
            self._bad_fetch_fraction -= self._bad_fetch_fraction / BAD_FETCH_SMOOTHING
            self._fetch_latency.record(event.latency)
            self._write_limit += 1 / self._write_limit
            for suppressor in self._suppressors.values():
                suppressor.increase_limit(self._now)
        elif not connection_only and (
            late or event.outcome not in (Outcome.SUPERSEDED, Outcome.CANCELLED, Outcome.TIMEOUT)
        ):
            # A timeout that is not late had too little time left: not the origin's fault.
            self._bad_fetch_fraction += (1 - self._bad_fetch_fraction) / BAD_FETCH_SMOOTHING
            # One bad fetch is chance, and those of one round trip count as one failure.
            if (
                self._bad_fetch_fraction >= MAX_BAD_FRACTION
                and self._now - self._limits_decreased_at >= self._fetch_latency.mean
            ):
                self._limits_decreased_at = self._now
                self._write_limit = max(
                    1.0, min(self._write_limit, node.attempts_in_flight + 1) * LIMIT_DECREASE
                )
                for suppressor in self._suppressors.values():  # the origin is shared by all tenants
                    suppressor.decrease_limit(self._now)
        self._dequeue_fetches()
        self._resume_writes(node)

    def _resume_writes(self, node: Node) -> None:
        """Send waiting writes, the newest first, while the origin takes more."""
        while self._waiting_writes and node.attempts_in_flight < self._write_limit:
            waiter = self._waiting_writes.pop()
            if waiter.waiting:
                self._fetch(waiter)
            if self._waiting_writes and self._waiting_writes[-1] is waiter:
                # It was queued again: the origin's entry was replaced, and its new node is the full one.
                break

    def _watch_outage(self, event: api.AttemptEnded, late: bool, target: int) -> None:
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            # A timeout that is not late had too little time left, and is no evidence.
            if not event.connection_failed and (late or event.outcome is not Outcome.TIMEOUT):
                limits = {name: suppressor.limit for name, suppressor in self._suppressors.items()}
                latency = self._fetch_latency.mean, self._fetch_latency.deviation
                state = OriginState(
                    self._write_limit, self._fetch_window, self._bad_fetch_fraction, *latency, limits
                )
                self._outage.record_unanswered(state)
        elif event.outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR, Outcome.OVERLOADED):
            good = event.outcome in (Outcome.OK, Outcome.MISS)
            before = self._outage.record_answer(good and event.latency <= target * QUICK_FETCH_FRACTION)
            if before is not None:
                self._write_limit, self._fetch_window = before.write_limit, before.fetch_window
                self._bad_fetch_fraction = before.bad_fraction
                self._fetch_latency.mean, self._fetch_latency.deviation = before.mean, before.deviation
                for name, suppressor in self._suppressors.items():
                    suppressor.limit = max(suppressor.limit, before.limits[name])

    def _fetch_failed(self, request: Request, outcome: Outcome, late: bool, stale: bool) -> None:
        """Retry a write after a pause; refuse a read, which the client may retry.

        A lost attempt is repeated at once, one time: the origin was not at fault.
        """
        if (stale or (outcome is Outcome.TIMEOUT and not late)) and not request.is_refetch:
            request.is_refetch = True
            self._fetch(request)
            return
        pause = int(self._fetch_latency.mean * self._rng.uniform(0.5, 1.5))
        if request.write and self._now + pause < request.deadline and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, Reason.ORIGIN_FAILED)

    def _end_flight(self, request: Request, stored: bool) -> None:
        """Release the waiters of a shared fetch: to the cache if it is stored there, else to a fetch."""
        request.leads_flight = False
        for waiter in self._flights.pop(request.key or "", ()):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._fetch_or_wait)(waiter)
        if stored and request.key is not None and self._commands:
            self._key_stored(request.key)

    def _wait(self, request: Request, delay: int) -> None:
        request.waiting = True
        self._actions.append(api.SetTimer(delay, request.id))

    def _exhaustion_reason(self, request: Request) -> Reason:
        return Reason.DEADLINE if self._now >= request.deadline else Reason.ATTEMPTS

    def _give_up(self, request: Request, reason: Reason) -> None:
        if request.may_refuse():
            wait = int(self._rng.uniform(0.5, 1.0) * self._settings.max_retry_after)
            self._actions.append(api.Reject(request.id, wait if self._settings.retry_after else 0, reason))
        else:
            self._actions.append(api.Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        request.done, request.waiting = True, False
        freed = None
        if request.in_origin_queue:
            request.in_origin_queue = False
            self._fetch_queue.remove(request)
            freed = self._free_command_slot(request)
        if not request.in_flight and request.hedge_node is None:
            del self._requests[request.id]
            if request.command is not None:
                request.command.open -= 1
                if not request.command.open:
                    del self._commands[request.command.name]
        if request.leads_flight:
            self._end_flight(request, stored)
        if freed is not None:
            self._resume_command(freed)
