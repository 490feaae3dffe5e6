"""One router's part in the agreement: events and the time in, actions out. No I/O, no clock.

Voting (voting.py), leases (leases.py) and the change under way (changes.py) are parts of it; this file joins
them, and says when each goes on by itself.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.changes import Change, Phase
from pebblepass.consensus.leases import Granter, Holder, Terms
from pebblepass.consensus.policy import Check, Policy, difference
from pebblepass.consensus.shares import Allocator, Demand, Pool, Rows, ShareHolder
from pebblepass.consensus.voting import Acceptor, Reply, quorum
from pebblepass.peers.view import Liveness, View

KEPT_VERSIONS = 32  # in the history
SETTLE = 1_000_000_000  # beyond a lease in which a change ends, either way
TAKEOVER = 0.25  # of a lease: an accepted value whose proposer says nothing more is carried on by another
AGAIN = 4  # parts of a lease after which something is said again
PATIENCE = 0.5  # of a lease in which those that are heard have to answer


class Send(Struct, frozen=True):
    """Send a message to a router; it may be lost."""

    to: str
    message: m.Message
    boot: str = ""
    """The run of its process that is meant, where that matters; empty: the one that votes."""


class Write(Struct, frozen=True):
    """Write records, in order, and say `written` with the token once they last."""

    token: int
    records: tuple[m.Record, ...]


class InForce(Struct, frozen=True):
    """What the router may admit under, until a time of its clock; `until` 0: it holds no lease on it."""

    value: m.Value
    until: int
    shares: Rows = ()
    """What it may fetch beyond its floors, where the policy splits quotas so."""
    shares_until: int = 0


class Conclude(Struct, frozen=True):
    """How a proposal that was made here ended."""

    verdict: m.Verdict


class Note(Struct, frozen=True):
    """A step of a change, for the log."""

    event: str
    version: int
    peer: str = ""
    cause: str = ""


Action = Send | Write | InForce | Conclude | Note


def genesis(members: dict[str, str], voters: Iterable[str]) -> m.Value:
    """The version that every router begins with, before the fleet has formed; nobody has a lease on it."""
    return m.Value(0, "", "none", Policy(), m.Fleet(dict(members), dict.fromkeys(voters, "")), {})


Pools = Callable[[Policy, int], Mapping[str, Pool]]
"""What a policy has to share among so many members."""


def no_pools(policy: Policy, members: int) -> Mapping[str, Pool]:
    """Nothing is shared."""
    return {}


def no_demand() -> Mapping[str, int]:
    """Nothing is counted."""
    return {}


class Setup(Struct, frozen=True):
    """What a member is told at its start."""

    name: str
    boot: str
    """One run of the process: another at each start."""
    terms: Terms
    genesis: m.Value
    check: Check
    fresh: str
    """The incarnation of its disk, if that is empty; empty: it keeps none, and does not vote."""
    seed: int = 0
    pools: Pools = no_pools
    wanted: Callable[[], Mapping[str, int]] = no_demand
    """How many fetches each namespace has wanted so far."""


class Member:
    """One router's part. Begin with `start`; feed it `received`, `written`, `propose` and `tick` by `due`."""

    allocator_class = Allocator
    share_holder_class = ShareHolder
    """The rules of shares; a trial of a broken program puts others here."""

    def __init__(self, setup: Setup, records: list[m.Record] | None, now: int) -> None:
        """`records`: what its disk holds; None: nothing, or there is no disk."""
        self.setup, self.name, self.terms = setup, setup.name, setup.terms
        self.rng = random.Random(f"{setup.seed} {setup.name} {setup.boot}")
        self.decided = setup.genesis
        self.history: deque[m.Value] = deque(maxlen=KEPT_VERSIONS)
        self.past: dict[int, str] = {}
        """Versions decided, and the changes that they were; of some it may never have heard."""
        self.acceptor = Acceptor()
        self.incarnation, self.boots = setup.fresh, 0
        self.seen: dict[str, tuple[str, int, str]] = {}
        self.clear = self.closed = 0
        self.change: Change | None = None
        self.view = View(setup.terms.renewal, now)
        self.holder = Holder(setup.terms)
        self.share_holder = self.share_holder_class(setup.terms)
        self.demand = Demand()
        self.problem = ""
        """Why this router can't use the version decided."""
        self.until = 0
        """Until when it may admit under the version decided."""
        self._shares: tuple[Rows, int] = ((), 0)
        self._loosened: list[tuple[str, str, m.Applied]] = []  # what is free once the new share is told
        self.serving = 0
        """The version that it last held a lease on."""
        self.lasting = 0
        """The version that its disk holds as decided."""
        self._durable = 0  # the token up to which writes last
        self._token = self._boot_token = 0
        self._pending: deque[tuple[int, str, m.Body]] = deque()  # what leaves once a write lasts
        self._deciding: deque[tuple[int, int]] = deque()  # writes of versions decided
        self._confirmed: set[str] = set()
        self._lasted: dict[str, tuple[str, str, int]] = {}  # voter: disk, run, the version that lasted there
        self._heard: dict[str, m.Sender] = {}
        self._last_told: dict[tuple[str, str, int], int] = {}
        self._relayed: dict[str, int] = {}  # change: until when its voter may answer
        self._carried: dict[str, str] = {}  # change: the router that passed it on
        self._ended: dict[str, m.Verdict] = {}
        self._numbered = 0
        self._took_at = now
        self._renew_at = self._join_at = now
        self._inbox: deque[m.Message] = deque()
        self._actions: list[Action] = []
        self._now = now
        for record in records or ():
            self._restore(record)
        self.granter = Granter(setup.terms, now, restarted=bool(records))
        self.allocator = self.allocator_class(setup.terms, now, restarted=bool(records))
        self.lasting = self.decided.version
        self.holder.begin(self.decided.version)
        self._unusable()

    # What is known

    @property
    def voters(self) -> dict[str, str]:
        """Those that decide the next version."""
        return self.decided.fleet.voters

    @property
    def forming(self) -> bool:
        """Whether the fleet has not formed yet."""
        return self.decided.version == 0

    @property
    def needed(self) -> int:
        """How many voters decide the next version."""
        return quorum(self.voters, self.forming)

    @property
    def votes(self) -> bool:
        """Whether this router may promise: it is a voter, on the disk with which it became one."""
        mine = self.voters.get(self.name)
        return mine is not None and bool(self.incarnation) and mine in ("", self.incarnation)

    def may_admit(self, now: int) -> bool:
        """Whether it holds a lease on the version decided."""
        return now < self.until and not self.problem

    def sender(self) -> m.Sender:
        """What every message tells."""
        held = self.decided.version if self.may_admit(self._now) else 0
        return m.Sender(
            self.name,
            self.setup.boot,
            self.incarnation,
            self.boots,
            self.decided.version,
            self.lasting,
            self.clear,
            self.closed,
            held,
            self._may_promise(),
        )

    def summary(self) -> m.Whole:
        """All that the disk has to hold, in one record."""
        acceptor = self.acceptor
        return m.Whole(
            self.incarnation,
            self.boots,
            self.decided,
            acceptor.promised,
            acceptor.accepted,
            acceptor.value,
            dict(self.seen),
            tuple(self.history),
            self.closed,
            tuple(self.past.items()),
        )

    def _restore(self, record: m.Record) -> None:
        match record:
            case m.Whole():
                self.incarnation, self.boots = record.incarnation, record.boots
                self.decided, self.seen = record.decided, dict(record.seen)
                self.acceptor.promised = record.promised or (0, "")
                self.acceptor.accepted, self.acceptor.value = record.accepted, record.value
                self.history.extend(record.history)
                self.closed = record.closed
                self.past = dict(record.past)
            case m.Booted():
                self.incarnation, self.boots = record.incarnation, record.boots
            case m.Promised():
                self.acceptor.promised = record.ballot
            case m.Took():
                self.acceptor.promised = self.acceptor.accepted = record.ballot
                self.acceptor.value = record.value
            case m.Decided():
                self.decided = record.value
                self.history.append(record.value)
                self.past[record.value.version] = record.value.change
                self.acceptor.over()
            case m.Closed():
                self.closed = record.version
            case m.Seen():
                self.seen[record.name] = (record.incarnation, record.boots, record.boot)

    # Events

    def start(self, now: int) -> list[Action]:
        """Begin: what was found on the disk counts from when this start is on it too."""
        self._begin(now)
        # It holds no lease: until it has one it admits what the floor lets through, as all without one.
        self._actions.append(InForce(self.decided, 0))
        if self.incarnation:
            self.boots += 1
            self._boot_token = self._write(m.Booted(self.incarnation, self.boots))
        return self._finish()

    def received(self, message: m.Message, now: int) -> list[Action]:
        """Take a message from another router of the fleet."""
        self._begin(now)
        self._take(message)
        return self._finish()

    def written(self, token: int, now: int) -> list[Action]:
        """All writes up to this one last."""
        self._begin(now)
        if self._durable < self._boot_token <= token:
            self._renew_at = now
        self._durable = max(self._durable, token)
        while self._deciding and self._deciding[0][0] <= self._durable:
            self.lasting = self._deciding.popleft()[1]
        while self._pending and self._pending[0][0] <= self._durable:
            _, to, body = self._pending.popleft()
            self._send(to, body)
        self._settle()
        return self._finish()

    def propose(self, proposal: m.Proposal, now: int) -> list[Action]:
        """A person wants a change, through this router."""
        self._begin(now)
        self._propose(proposal)
        return self._finish()

    def tick(self, now: int) -> list[Action]:
        """Go on with what is due."""
        self._begin(now)
        self._go_on()
        return self._finish()

    def due(self, now: int) -> int:
        """When `tick` has something to do."""
        times = [self._renew_at]
        if (spent := self.share_holder.due(now)) is not None:
            times.append(spent)
        if self.change is not None:
            times.append(self.change.due)
        elif self._takeover_at() is not None:
            times.append(self._takeover_at() or now)
        if self.clear < self.lasting - 1:
            end = self.granter.next_end(self.lasting - 1, now)
            if end is not None:
                times.append(end)
        return max(min(times), now)

    def _begin(self, now: int) -> None:
        self._now, self._actions = now, []

    def _finish(self) -> list[Action]:
        self._take_own()
        self._refresh()
        if self._loosened:
            # Danger: told before the new share is, another router could have what this one still admits by.
            loosened, self._loosened = self._loosened, []
            for name, boot, body in loosened:
                self._send(name, body, boot)
            self._take_own()
        return self._actions

    def _take_own(self) -> None:
        while self._inbox:
            self._take(self._inbox.popleft())

    # Sending and writing

    def _send(self, to: str, body: m.Body, boot: str = "") -> None:
        message = m.Message(self.sender(), body)
        if to == self.name:
            self._inbox.append(message)
        elif self._durable >= self._boot_token:
            # Danger: a start that is told before it lasts is counted twice after a power loss, and the second
            # one would be taken for that of an older copy of the disk.
            self._actions.append(Send(to, message, boot))

    def _send_all(self, names: Iterable[str], body: m.Body) -> None:
        for name in names:
            self._send(name, body)

    def _write(self, record: m.Record) -> int:
        self._token += 1
        self._actions.append(Write(self._token, (record,)))
        return self._token

    def _once_lasting(self, record: m.Record, to: str, body: m.Body) -> None:
        """Danger: what leaves before it lasts is a promise that a power loss takes back."""
        self._pending.append((self._write(record), to, body))

    def _note(self, event: str, peer: str = "", cause: str = "", version: int | None = None) -> None:
        told = self.decided.version if version is None else version
        self._actions.append(Note(event, told, peer, cause))

    # Messages

    def _take(self, message: m.Message) -> None:
        sender, body = message.sender, message.body
        if sender.name != self.name:
            self._hear(sender)
            if isinstance(body, m.Renew | m.State) and not (sender.sure or self._is_older(sender)):
                self._send(sender.name, m.Welcome(sender.boot), sender.boot)
        match body:
            case m.Renew():
                self._renewed(sender, body)
            case m.Grant() if body.boot == self.setup.boot:
                if sender.incarnation == self.voters.get(sender.name):
                    self.holder.granted(sender.name, body.seq, body.version)
                    self._shared(sender, body)
            case m.Applied():
                self.allocator.applied((sender.name, sender.boot), body.version, body.seq, self._now)
            case m.Welcome() if body.boot == self.setup.boot:
                self._confirmed.add(sender.name)
            case m.Learn():
                self._learn(body.value, sender.name, body.past)
            case m.Check():
                said = self.setup.check(self.decided.policy, body.value.policy)
                self._send(sender.name, m.Checked(body.value.version, body.value.change, said), sender.boot)
            case m.Prepare() | m.Accept():
                self._vote(sender, body)
            case m.Checked():
                self._checked(sender, body)
            case m.Promise():
                self._promised(sender, body)
            case m.Accepted():
                self._accepted(sender, body)
            case m.Rejected():
                self._rejected(body)
            case m.Join():
                self._join(sender)
            case m.Stale():
                self._told_stale(body)
            case m.Relay():
                self._carried[body.proposal.change] = sender.name
                self._propose(body.proposal)
            case m.Answer():
                if self._relayed.pop(body.verdict.change, None) is not None:
                    self._actions.append(Conclude(body.verdict))
            case m.Ask():
                self._send(sender.name, m.Heard(body.name, self.view.age(body.name, self._now)), sender.boot)
            case m.Heard():
                self.view.told(body.name, body.age, self._now)
        self._settle()

    def _hear(self, sender: m.Sender) -> None:
        """What every message tells of its sender."""
        if not self.view.alive(sender.name, self._now):
            self._note("heard", sender.name)
        self.view.heard(sender.name, self._now)
        self._heard[sender.name] = sender
        if sender.incarnation and sender.name in self.voters:
            self._count_boots(sender)
        if sender.closed > self.closed:
            self._close(sender.closed)
        if sender.decided < self.decided.version:
            self._tell(sender, self._news())
        elif sender.decided > self.decided.version:
            self._tell(sender, m.State())

    def _tell(self, to: m.Sender, body: m.Body) -> None:
        """Say something that the other lacks, and not at once again."""
        key = (to.name, to.boot, self.decided.version)
        if self._now - self._last_told.get(key, -(1 << 62)) >= self.terms.lease // AGAIN:
            if len(self._last_told) > 4096:
                self._last_told.clear()
            self._last_told[key] = self._now
            self._send(to.name, body, to.boot)

    def _count_boots(self, sender: m.Sender) -> None:
        """A disk that was started from less often than it was before is an older copy of itself."""
        known = (sender.incarnation, sender.boots, sender.boot)
        if self._is_older(sender):
            boots = self.seen[sender.name][1]
            self._note("older disk", sender.name, f"start {sender.boots}, and {boots} were seen")
            self._send(sender.name, m.Stale(sender.boot, boots), sender.boot)
        elif self.seen.get(sender.name) != known:
            self.seen[sender.name] = known
            if self.incarnation:
                self._write(m.Seen(sender.name, *known))
        if not self._is_older(sender):
            lasted = self._lasted.get(sender.name, ("", "", 0))
            if lasted[:2] != known[::2] or sender.lasting > lasted[2]:
                self._lasted[sender.name] = (sender.incarnation, sender.boot, sender.lasting)

    def _is_older(self, sender: m.Sender) -> bool:
        incarnation, boots, boot = self.seen.get(sender.name, ("", 0, ""))
        if not incarnation or incarnation != sender.incarnation:
            return False
        disk, run, lasting = self._lasted.get(sender.name, ("", "", 0))
        if disk == incarnation and run != sender.boot and sender.lasting < lasting:
            return True  # what this disk held when it was heard last is not on it any more
        # Danger: a copy from before the last start counts that start anew, and comes to the same number.
        return sender.boots < boots or (sender.boots == boots and sender.boot != boot)

    def _told_stale(self, body: m.Stale) -> None:
        # A message of the run before may have come late: it speaks of that one.
        if body.boot == self.setup.boot and self.incarnation:
            self.incarnation = f"{self.name}.{self.setup.boot}.{body.boots}"
            self.boots = 1
            self._note("older disk", self.name, "it may have forgotten promises: to be taken in anew")
            self._boot_token = self._write(m.Booted(self.incarnation, self.boots))

    # Leases

    def _renewed(self, sender: m.Sender, body: m.Renew) -> None:
        if sender.name not in self.decided.fleet.members or self._is_older(sender):
            return
        if self.granter.asked(sender.name, sender.boot, body.seq, body.version, self._now):
            if self.decided.policy.store.shares:
                who = sender.name, sender.boot
                self.allocator.asked(who, body.version, body.applied, body.demand, self._now)
            self._grant()

    def _grant(self) -> None:
        """Grant what waits, if the version decided is on the disk and the one before it is closed."""
        version = self.decided.version
        if version < 1 or not self.votes or self.lasting < version or self.closed < version - 1:
            return
        granted = self.granter.grant(version, self._now)
        if granted and self.decided.policy.store.shares:
            fleet, policy = self.decided.fleet, self.decided.policy
            if self.allocator.version != version:
                pools = self.setup.pools(policy, len(fleet.members))
                self.allocator.begin(version, pools, len(fleet.voters))
        for name, boot, seq in granted:
            shares: Rows = ()
            if self.decided.policy.store.shares:
                shares = self.allocator.grant((name, boot), seq, self._now)
            self._send(name, m.Grant(seq, version, boot, shares), boot)

    def _shared(self, sender: m.Sender, body: m.Grant) -> None:
        """A voter has granted a share, maybe of nothing."""
        asked_at = self.holder.asked_at(body.seq)
        if not self.decided.policy.store.shares or body.version != self.decided.version or asked_at is None:
            return
        if self.share_holder.granted(sender.name, body.seq, asked_at, body.shares):
            self._loosened.append((sender.name, sender.boot, m.Applied(body.seq, body.version)))

    def _renew(self) -> None:
        self._renew_at = self._now + int(self.terms.renewal * self.rng.uniform(0.8, 1.0))
        if self.decided.version < 1 or self.name not in self.decided.fleet.members:
            self._send_all((name for name in self.voters if name != self.name), m.State())
            return
        seq, version = self.holder.ask(self._now), self.decided.version
        demand: Rows = ()
        if self.decided.policy.store.shares:
            demand = self.demand.rows(self.setup.wanted(), self._now)
        # The voters of the version before hear it too: it lets go of what they granted.
        for name in dict.fromkeys([*self.voters, *self.decided.before]):
            self._send(name, m.Renew(seq, version, self.share_holder.applied(name), demand))

    def _refresh(self) -> None:
        """Tell what may be admitted under, if that has changed."""
        until = self.holder.until(self.voters, self.needed) if self.decided.version else 0
        if self.problem:
            until = 0
        shares = self.share_holder.held(self._now) if until else ((), 0)
        if until == self.until and shares == self._shares:
            return
        had, self._shares = self._shares, shares
        if bool(had[0]) != bool(shares[0]):
            self._note("shares" if shares[0] else "no shares", cause=_amounts(shares[0]))
        fresh = self.until <= self._now < until
        self.until = until
        if fresh and self.serving != self.decided.version:
            self.serving = self.decided.version
            self._note("in force")
            if self.decided.by and self.decided.by != self.name:
                self._send(self.decided.by, m.State())
            self._reached()
        self._actions.append(InForce(self.decided, until, *shares))

    def _close(self, version: int) -> None:
        self.closed = version
        if self.incarnation:
            # The voters of then may be gone for good when this router starts again: nobody could tell it.
            self._write(m.Closed(version))
        self._note("closed", version=version)

    def _settle(self) -> None:
        """Find out what is clear, what is closed and what may be granted now."""
        wanted = self.lasting - 1
        if self.clear < wanted and self.granter.clear_of(wanted, self._now):
            self.clear = wanted
            self._send_all((name for name in self._peers() if name in self.voters), m.State())
        version = self.decided.version
        if self.closed < version - 1:
            before = self.decided.before
            clear = sum(1 for name in before if self._is_clear(name, before[name], version - 1))
            if clear >= quorum(before, False) or version == 1:
                self._close(version - 1)
                self._send_all((name for name in self._peers() if name in self.voters), m.State())
        self._grant()
        if self.change is not None and self.change.phase is Phase.WAITING:
            self._carry_on()
        self._reached()

    def _is_clear(self, name: str, incarnation: str, version: int) -> bool:
        if name == self.name:
            return self.incarnation == incarnation and self.clear >= version
        heard = self._heard.get(name)
        return heard is not None and heard.incarnation == incarnation and heard.clear >= version

    def _peers(self) -> list[str]:
        return [name for name in self.decided.fleet.members if name != self.name]

    # Voting

    def _vote(self, sender: m.Sender, body: m.Prepare | m.Accept) -> None:
        if body.version != self.decided.version + 1 or not self.votes or not self._may_promise():
            return
        if self.closed < body.version - 2:
            self._send(sender.name, m.Rejected(body.version, body.ballot, body.ballot[0] - 1), sender.boot)
            return
        reply: Reply
        if isinstance(body, m.Prepare):
            reply = self.acceptor.prepare(body)
        else:
            # Another disk than the value names may accept it: all others remember what this one has lost.
            if self.forming and body.value.fleet.voters.keys() != self.voters.keys():
                return  # it would form another fleet than this router's file names
            reply = self.acceptor.accept(body)
            self._took_at = self._now
        record, answer = reply
        if record is None:
            self._send(sender.name, answer, sender.boot)
        else:
            self._once_lasting(record, sender.name, answer)

    def _may_promise(self) -> bool:
        """Whether as many have heard of this start as would know of a later one on the same disk."""
        return len(self._confirmed & self.voters.keys()) + 1 >= self.needed

    def _takeover_at(self) -> int | None:
        """When an accepted value is carried on by this voter, if its proposer says nothing more."""
        if self.acceptor.value is None or not self.votes:
            return None
        order = sorted(self.voters)
        share = TAKEOVER * (1 + order.index(self.name) / len(order))
        return self._took_at + int(self.terms.lease * share)

    # A version is decided

    def _news(self) -> m.Learn:
        """What another lacks that is behind."""
        return m.Learn(self.decided, tuple(sorted(self.past.items())))

    def _learn(self, value: m.Value, source: str, past: tuple[tuple[int, str], ...] = ()) -> None:
        if value.version <= self.decided.version:
            return
        self.past.update(past)
        self.past[value.version] = value.change
        for version in sorted(self.past)[:-KEPT_VERSIONS]:
            del self.past[version]
        before = self.decided
        self.decided = value
        self.history.append(value)
        self.acceptor.over()
        self._took_at = self._now
        if self.incarnation:
            self._deciding.append((self._write(m.Decided(value)), value.version))
        else:
            self.lasting = value.version
        self.holder.begin(value.version)
        self.share_holder.begin()
        self._loosened.clear()
        self._shares = (), 0
        self.until = 0
        self._unusable(before.policy)
        self._note("learned", source)
        self._actions.append(InForce(value, 0))
        self._renew()
        self._overtake()

    def _overtake(self) -> None:
        """What the version decided means for the change under way here."""
        change = self.change
        if change is None or change.phase is Phase.DECIDED or self.decided.version < change.value.version:
            return
        version, mine = change.value.version, change.value.change
        other = self.past.get(version)
        if other == mine:
            change.phase = Phase.DECIDED
            change.due = change.deadline = self._now + self.terms.granted + self.terms.renewal
        elif other is None and change.spread:
            # Danger: it may have been decided, and more after it, while this router heard nothing.
            self.change = None
            if not change.takeover:
                line = f"open: version {version} has gone by unheard; see the history"
                self._conclude(m.Verdict(mine, "open", version, (line,)))
        else:
            by = f" by {self.decided.who}" if self.decided.version == version else ""
            self._end("refused", f"overtaken by version {version} (change {other or 'not known'}{by})")

    def _unusable(self, before: Policy | None = None) -> None:
        policy = self.decided.policy
        self.problem = self.setup.check(policy if before is None else before, policy)
        if self.problem:
            self._note("unusable", self.name, self.problem)

    # Proposing

    def _propose(self, proposal: m.Proposal) -> None:
        ended = self._ended.get(proposal.change)
        known = next((v for v, change in self.past.items() if change == proposal.change), 0)
        if ended is not None:
            self._conclude(ended)
        elif known:
            self._conclude(m.Verdict(proposal.change, "in force", known, (f"decided: version {known}",)))
        elif not self.votes:
            self._pass_on(proposal)
        else:
            self._begin_change(proposal)

    def _pass_on(self, proposal: m.Proposal) -> None:
        """A router that does not vote asks one that does."""
        heard = [name for name in sorted(self.voters) if self.view.alive(name, self._now)]
        if proposal.change in self._carried or not heard:
            self._refuse(proposal, f"no voter is heard: {', '.join(sorted(self.voters))}")
            return
        until = self._now + 2 * (self.terms.granted + SETTLE)
        self._relayed[proposal.change] = until
        self._send(heard[self.rng.randrange(len(heard))], m.Relay(proposal))

    def _refuse(self, proposal: m.Proposal, why: str) -> None:
        self._conclude(m.Verdict(proposal.change, "refused", 0, (f"refused: {why}",)))

    def _conclude(self, verdict: m.Verdict) -> None:
        if verdict.state != "open":
            if len(self._ended) > 64:
                del self._ended[next(iter(self._ended))]
            self._ended[verdict.change] = verdict
        passed_on_by = self._carried.pop(verdict.change, None)
        if passed_on_by is not None:
            self._send(passed_on_by, m.Answer(verdict))
        else:
            self._actions.append(Conclude(verdict))

    def _begin_change(self, proposal: m.Proposal) -> None:
        change = self.change
        if change is not None and proposal.withdraw == change.value.change and not change.spread:
            self._end("refused", f"withdrawn by {proposal.who}")
            self._conclude(m.Verdict(proposal.change, "in force", 0, (f"{proposal.withdraw} is withdrawn",)))
            return
        if change is not None and change.phase is not Phase.DECIDED:
            self._refuse(proposal, f"another change is under way: {change.value.change}")
            return
        if change is not None:
            self._report("in force")
        value = self._wanted(proposal)
        if isinstance(value, str):
            self._refuse(proposal, value)
            return
        missing = [n for n in sorted(self.voters) if n != self.name and not self.view.alive(n, self._now)]
        if len(self.voters) - len(missing) < self.needed:
            self._refuse(proposal, self._too_few(missing))
            return
        self._carry(value, takeover=False)

    def _too_few(self, missing: list[str]) -> str:
        told = ", ".join(missing)
        return f"{told} can't be reached; {self.needed} of {len(self.voters)} voters are needed"

    def _wanted(self, proposal: m.Proposal) -> m.Value | str:
        """The value of a proposal, or why there is none."""
        now_held, kind = self.decided, "policy"
        if self.forming:
            return "the fleet has not formed yet: each of its voters has to be up once"
        members = {k: v for k, v in now_held.fleet.members.items() if k not in proposal.retire}
        members.update(proposal.add)
        wanted = proposal.voters or [name for name in now_held.fleet.voters if name in members]
        voters: dict[str, str] = {}
        for name in wanted:
            heard = self._heard.get(name)
            known = now_held.fleet.voters.get(name) or (heard.incarnation if heard is not None else "")
            if name == self.name:
                known = self.incarnation
            if name not in members or not known:
                return f"{name} can't be a voter: " + ("it keeps no disk" if heard else "it was never heard")
            voters[name] = known
        if not voters:
            return "no voter would be left"
        if proposal.withdraw:
            kind = "withdrawn"
            done = next((v for v, change in self.past.items() if change == proposal.withdraw), 0)
            if done:
                return f"{proposal.withdraw} is decided already, as version {done}"
        elif proposal.policy is None or proposal.add or proposal.retire or proposal.voters:
            kind = "members"
        policy = now_held.policy if proposal.policy is None else proposal.policy
        fleet = m.Fleet(members, voters)
        if kind != "withdrawn" and (policy, fleet) == (now_held.policy, now_held.fleet):
            return "nothing would change"
        return self._next(proposal.change, kind, policy, fleet, proposal.who, proposal.why)

    def _next(self, change: str, kind: str, policy: Policy, fleet: m.Fleet, who: str, why: str) -> m.Value:
        version, before = self.decided.version + 1, self.decided.fleet.voters
        return m.Value(version, change, kind, policy, fleet, before, who, why, self.name)  # type: ignore[arg-type]

    def _own(self, what: str) -> str:
        """The id of a change that this router proposes by itself: a further try is another change."""
        self._numbered += 1
        return f"{what}.{self.name}.{self.setup.boot}.{self._numbered}"

    def _carry(self, value: m.Value, takeover: bool) -> None:
        deadline = self._now + self.terms.granted + SETTLE
        self.change = Change(value, self.voters, self._now, deadline, takeover)
        self._note("takeover" if takeover else "proposed", cause=value.change, version=value.version)
        self._carry_on()

    def _carry_on(self) -> None:
        """Go from waiting to what comes first."""
        change = self.change
        assert change is not None
        if self.closed < change.value.version - 2:
            change.due = change.deadline
            return
        if change.takeover or change.value.kind == "form":
            self._prepare(change)
            return
        change.phase = Phase.CHECKING
        change.due = self._now + int(self.terms.lease * PATIENCE)
        heard = [name for name in self._peers() if self.view.alive(name, self._now)]
        change.asked = dict.fromkeys([self.name, *heard])
        self._send_all(change.asked, m.Check(change.value))

    def _checked(self, sender: m.Sender, body: m.Checked) -> None:
        change = self.change
        if change is None or change.phase is not Phase.CHECKING or body.change != change.value.change:
            return
        change.checked[sender.name] = body.problem
        if problem := change.problem():
            self._end("refused", problem)
        elif change.asked.keys() <= change.checked.keys():
            self._prepare(change)

    def _prepare(self, change: Change) -> None:
        change.phase = Phase.PREPARING
        number = max(change.round.ballot[0], self.acceptor.promised[0]) + 1
        # Danger: without the run of the process, one that forgot a round would begin another with its ballot.
        change.round.begin((number, f"{self.name}.{self.setup.boot}"))
        change.due = self._now + int(self.terms.lease * PATIENCE * self.rng.uniform(0.5, 1.0))
        self._send_all(self.voters, m.Prepare(change.value.version, change.round.ballot))

    def _promised(self, sender: m.Sender, body: m.Promise) -> None:
        change = self.change
        if change is None or change.phase is not Phase.PREPARING or body.version != change.value.version:
            return
        if not change.round.promised(sender.name, sender.incarnation, body):
            return
        found = change.round.found()
        change.rival = found if found is not None and found.change != change.value.change else None
        change.phase = Phase.ACCEPTING
        change.spread = change.spread or change.rival is None
        change.due = self._now + int(self.terms.lease * PATIENCE * self.rng.uniform(0.5, 1.0))
        value = change.rival or change.value
        self._send_all(self.voters, m.Accept(value.version, change.round.ballot, value))

    def _accepted(self, sender: m.Sender, body: m.Accepted) -> None:
        change = self.change
        if change is None or change.phase is not Phase.ACCEPTING or body.version != change.value.version:
            return
        if change.round.accepted(sender.name, sender.incarnation, body.ballot):
            value = change.rival or change.value
            self._note("decided", cause=value.change, version=value.version)
            self._learn(value, self.name)
            self._send_all(self._peers(), self._news())

    def _rejected(self, body: m.Rejected) -> None:
        change = self.change
        if change is None or body.ballot != change.round.ballot:
            return
        if change.phase in (Phase.PREPARING, Phase.ACCEPTING):
            change.phase = Phase.PREPARING
            change.round.begin((max(change.round.ballot[0], body.promised), ""))
            change.due = self._now + int(self.terms.lease / 8 * self.rng.uniform(0.1, 1.0))

    def _reached(self) -> None:
        """Once a change is decided: is it in force at all that are heard?"""
        change = self.change
        if change is not None and change.phase is Phase.DECIDED and not change.told:
            heard = [name for name in self._peers() if self.view.alive(name, self._now)]
            held = [name for name in heard if self._heard[name].held >= change.value.version]
            mine = self.name not in self.decided.fleet.members or self.may_admit(self._now)
            if mine and len(held) == len(heard):
                self._report("in force")

    def _report(self, state: str) -> None:
        """Tell how the decided change stands, and let go of it."""
        change = self.change
        assert change is not None
        version = change.value.version
        holds = {name: self._heard[name].held for name in self._heard}
        holds[self.name] = self.decided.version if self.may_admit(self._now) else 0
        at = [name for name in sorted(self.decided.fleet.members) if holds.get(name, 0) >= version]
        checked = sorted(change.checked) or [change.value.by]
        took_ms = (self._now - change.begun) / 1e6
        lines = [
            f"checked by {', '.join(checked)}",
            f"decided: version {version}, by {change.round.needed} of {len(change.value.before)} voters",
            f"in force at {', '.join(at) or 'nobody yet'} after {took_ms:.0f} ms",
        ]
        for name in sorted(self.decided.fleet.members):
            if holds.get(name, 0) < version:
                lines.append(f"missing: {name}, {self._why_missing(name)}")
        self.change = None
        self._conclude(m.Verdict(change.value.change, "in force", version, tuple(lines)))

    def _why_missing(self, name: str) -> str:
        age = self.view.age(name, self._now)
        if self.view.alive(name, self._now):
            return "heard, and holds no lease on it yet"
        told = "never heard" if age < 0 else f"not heard for {age / 1e9:.1f} s"
        return f"{told}: it admits under no older version, and takes this one before it is ready"

    def _end(self, state: str, why: str) -> None:
        change = self.change
        assert change is not None
        self.change = None
        self._note("refused", cause=f"{change.value.change}: {why}", version=change.value.version)
        if not change.takeover:
            verdict = m.Verdict(change.value.change, "refused", change.value.version, (f"refused: {why}",))
            self._conclude(verdict)

    # By the time

    def _go_on(self) -> None:
        if self._now >= self._renew_at:
            self._renew()
            self._beat()
        change = self.change
        if change is not None and self._now >= change.due:
            self._late(change)
        elif change is None:
            at = self._takeover_at()
            if at is not None and self._now >= at and self.acceptor.value is not None:
                self._carry(self.acceptor.value, takeover=True)
        self._settle()

    def _beat(self) -> None:
        """With each renewal: ask about who is silent, form the fleet, come back with another disk."""
        voters = [name for name in self.voters if name != self.name]
        for silent in self.view.suspects(self._peers() if self.votes else voters, self._now):
            self._send_all((name for name in voters if name != silent), m.Ask(silent))
        for change, until in list(self._relayed.items()):
            if self._now >= until:
                del self._relayed[change]
                line = "open: the voter that it was passed on to has not answered; ask for its status"
                self._conclude(m.Verdict(change, "open", 0, (line,)))
        if self.forming:
            self._form()
        elif self.incarnation and self.voters.get(self.name, self.incarnation) != self.incarnation:
            self._send_all((name for name in voters), m.Join())

    def _form(self) -> None:
        """All voters are there for the first time: the first of them by name proposes the fleet."""
        disks = {name: self._heard[name].incarnation for name in self.voters if name in self._heard}
        disks[self.name] = self.incarnation
        first = min(self.voters, default="") == self.name and self.change is None
        if not first or disks.keys() != self.voters.keys() or not all(disks.values()):
            return
        if all(self.view.alive(name, self._now) or name == self.name for name in disks):
            fleet = m.Fleet(self.decided.fleet.members, disks)
            value = self._next(self._own("form"), "form", self.decided.policy, fleet, "pebblepass", "")
            self._carry(value, takeover=False)

    def _join(self, sender: m.Sender) -> None:
        """A voter has come back with another disk: it votes again once the others have decided so."""
        known = self.voters.get(sender.name)
        if not self.votes or known is None or known == sender.incarnation or self.forming:
            return
        if self.change is not None or self.acceptor.value is not None:
            return
        voters = {**self.voters, sender.name: sender.incarnation}
        fleet = m.Fleet(self.decided.fleet.members, voters)
        change = self._own(f"join.{sender.name}")
        why = f"{sender.name} has come back with another disk"
        self._carry(self._next(change, "members", self.decided.policy, fleet, "pebblepass", why), False)

    def _late(self, change: Change) -> None:
        """What was waited for has not come in time."""
        if self._now >= change.deadline:
            self._too_late(change)
        elif change.phase is Phase.CHECKING:
            voters = [name for name in self.voters if name in change.checked]
            if len(voters) >= self.needed:
                self._prepare(change)
            else:
                missing = sorted(self.voters.keys() - change.checked.keys())
                self._end("refused", self._too_few(missing))
        elif change.phase in (Phase.PREPARING, Phase.ACCEPTING):
            self._prepare(change)
        else:
            change.due = change.deadline

    def _too_late(self, change: Change) -> None:
        if change.phase is Phase.DECIDED:
            self._report("in force")
        elif not change.spread:
            waits = change.phase is Phase.WAITING
            why = "the version before is not closed yet" if waits else self._too_few(change.round.missing())
            self._end("refused", why)
        else:
            if not change.told and not change.takeover:
                change.told = True
                missing = ", ".join(change.round.missing())
                line = f"open: {missing} have not answered; it ends once {self.needed} voters are back"
                self._conclude(m.Verdict(change.value.change, "open", change.value.version, (line,)))
            change.deadline = self._now + self.terms.granted + SETTLE
            self._prepare(change)

    def status(self, now: int) -> dict[str, object]:
        """What a person is told of this router and of the others as it sees them."""
        others = {
            name: {
                "state": self.view.state(name, now).value if name != self.name else Liveness.ALIVE.value,
                "age_ms": round(self.view.age(name, now) / 1e6) if name != self.name else 0,
                "version": self._heard[name].held if name in self._heard else 0,
            }
            for name in sorted(self.decided.fleet.members)
        }
        others.setdefault(self.name, {})["version"] = self.decided.version if self.may_admit(now) else 0
        return {
            "router": self.name,
            "version": self.decided.version,
            "in_force": self.may_admit(now),
            "lease_ms": max(round((self.until - now) / 1e6), 0),
            "closed": self.closed,
            "votes": self.votes,
            "problem": self.problem,
            "shares": self.told_shares(now),
            "open": self.acceptor.value.change if self.acceptor.value is not None else "",
            "voters": sorted(self.voters),
            "needed": self.needed,
            "routers": others,
        }

    def told_shares(self, now: int) -> dict[str, object]:
        """What this router may fetch beyond its floors, of which voter it has it, and why it is no more."""
        if not self.decided.policy.store.shares:
            return {"on": False}
        rows, until = self.share_holder.held(now) if self.may_admit(now) else ((), 0)
        lacking = sorted(set(self.voters) - self.share_holder.granting(now))
        why = "" if self.may_admit(now) else "no lease on the version decided: at the floor"
        if not why and lacking:
            why = f"no share of {', '.join(lacking)}: down, cut off, or started lately"
        told: dict[str, object] = {
            "on": True,
            "per_s": dict(rows),
            "lease_ms": max(round((until - now) / 1e6), 0),
            "demand_per_s": dict(self.demand.told()),
            "of": self.share_holder.told(now),
            "why": why,
        }
        if self.votes:
            told["hands_out"] = self.allocator.told()
            told["quiet_ms"] = max(round((self.allocator.quiet_from - now) / 1e6), 0)
        return told

    def told_history(self) -> list[dict[str, object]]:
        """The versions kept, the newest first, each with its difference to the one before."""
        kept, rows = list(self.history), []
        for at, value in enumerate(kept):
            before = kept[at - 1].policy if at else Policy()
            rows.append(
                {
                    "version": value.version,
                    "change": value.change,
                    "kind": value.kind,
                    "who": value.who,
                    "why": value.why,
                    "by": value.by,
                    "difference": difference(before, value.policy),
                }
            )
        return rows[::-1]


def _amounts(rows: Rows) -> str:
    return ", ".join(f"{name} {amount:.3g}" for name, amount in rows)
