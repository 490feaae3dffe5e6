"""The proposer: runs one change from the policy checks to its verdict. No I/O, no clock.

`change` has the table of a change's states.
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus import texts
from pebblepass.consensus.acceptor import Acceptor
from pebblepass.consensus.change import Change, Phase
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.lease_client import LeaseClient
from pebblepass.consensus.lease_server import LeaseServer
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.setup import RandomSource, ReplicaSetup
from pebblepass.consensus.verdicts import Verdicts

CONCLUSION_MARGIN_NS = 1_000_000_000  # nanoseconds after the expiry of a lease; a change is concluded by then
ANSWER_FRACTION = 0.5  # fraction of a lease within which live routers have to answer
RETRY_DIVISOR = 8  # a rejected round is repeated within a lease divided by this


class Proposer:
    """Proposes the change in progress at this voter, if there is one."""

    def __init__(
        self,
        setup: ReplicaSetup,
        learner: Learner,
        acceptor: Acceptor,
        server: LeaseServer,
        client: LeaseClient,
        peers: PeerTable,
        verdicts: Verdicts,
        outbox: Outbox,
        rng: RandomSource,
    ) -> None:
        self._name, self._boot_id, self._terms = setup.name, setup.boot_id, setup.terms
        self._learner, self._acceptor = learner, acceptor
        self._server, self._client, self._peers = server, client, peers
        self._verdicts, self._outbox, self._rng = verdicts, outbox, rng
        self.change: Change | None = None

    @property
    def conclusion_ns(self) -> int:
        """The time within which a change gets its verdict, in nanoseconds."""
        return self._terms.granter_duration + CONCLUSION_MARGIN_NS

    def begin(self, value: m.Value, takeover: bool) -> None:
        """Begin to propose a value; `takeover`: this voter has accepted it from another proposer."""
        now = self._outbox.now
        self.change = Change(value, self._learner.voters, now, now + self.conclusion_ns, takeover)
        event = "takeover" if takeover else "proposed"
        self._outbox.log_step(event, value.version, cause=value.change_id)
        self._leave_waiting(self.change)

    def resume(self) -> None:
        """Continue a change that waits for the version before the decided one to be closed."""
        if self.change is not None and self.change.phase is Phase.WAITING:
            self._leave_waiting(self.change)

    def _leave_waiting(self, change: Change) -> None:
        if self._server.closed_version < change.value.version - 2:
            change.due = change.deadline
        elif change.takeover or change.value.kind == "form":
            self._prepare(change)
        else:
            self._request_checks(change)

    def _request_checks(self, change: Change) -> None:
        change.phase = Phase.CHECKING
        change.due = self._outbox.now + int(self._terms.duration * ANSWER_FRACTION)
        alive = self._peers.alive(self._learner.peers(), self._outbox.now)
        change.check_requested = dict.fromkeys([self._name, *alive])
        self._outbox.send_all(change.check_requested, m.PolicyCheck(change.value))

    def checked(self, sender: m.Sender, result: m.PolicyCheckResult) -> None:
        """Handle the result of a policy check."""
        change = self.change
        if change is None or change.phase is not Phase.CHECKING:
            return
        if result.change_id != change.value.change_id:
            return
        change.check_results[sender.name] = result.problem
        if problem := change.problem():
            self.refuse(problem)
        elif change.is_checked():
            self._prepare(change)

    def _prepare(self, change: Change) -> None:
        change.phase = Phase.PREPARING
        number = max(change.round.ballot.number, self._acceptor.promised.number) + 1
        change.round.begin(self.new_ballot(number))
        change.due = self._outbox.now + self._answer_timeout()
        prepare = m.Prepare(change.value.version, change.round.ballot)
        self._outbox.send_all(self._learner.voters, prepare)

    def new_ballot(self, number: int) -> m.Ballot:
        """Return a ballot that no other proposer, and no other run of this process, uses.

        Warning: without the run's id, a process that lost its state could reuse the ballot of an older round.
        """
        return m.Ballot(number, f"{self._name}.{self._boot_id}")

    def _answer_timeout(self) -> int:
        return int(self._terms.duration * ANSWER_FRACTION * self._rng.uniform(0.5, 1.0))

    def promised(self, sender: m.Sender, promise: m.Promise) -> None:
        """Count a promise; with a quorum, send the value for acceptance."""
        change = self.change
        if change is None or change.phase is not Phase.PREPARING or promise.version != change.value.version:
            return
        if not change.round.add_promise(sender.name, sender.disk_id, promise):
            return
        found = change.round.accepted_value()
        is_rival = found is not None and found.change_id != change.value.change_id
        change.rival = found if is_rival else None
        change.phase = Phase.ACCEPTING
        change.may_be_accepted = change.may_be_accepted or change.rival is None
        change.due = self._outbox.now + self._answer_timeout()
        value = change.proposed_value
        accept = m.Accept(value.version, change.round.ballot, value)
        self._outbox.send_all(self._learner.voters, accept)

    def accepted(self, sender: m.Sender, message: m.Accepted) -> m.Value | None:
        """Count an acceptance; return the value if this acceptance decides it."""
        change = self.change
        if change is None or change.phase is not Phase.ACCEPTING or message.version != change.value.version:
            return None
        if not change.round.add_acceptance(sender.name, sender.disk_id, message.ballot):
            return None
        value = change.proposed_value
        self._outbox.log_step("decided", value.version, cause=value.change_id)
        return value

    def rejected(self, message: m.Rejected) -> None:
        """Schedule a further round with a higher ballot after a random delay."""
        change = self.change
        if change is None or message.ballot != change.round.ballot:
            return
        if change.phase in (Phase.PREPARING, Phase.ACCEPTING):
            change.phase = Phase.PREPARING
            number = max(change.round.ballot.number, message.promised_number)
            change.round.begin(m.Ballot(number, ""))
            delay = int(self._terms.duration / RETRY_DIVISOR * self._rng.uniform(0.1, 1.0))
            change.due = self._outbox.now + delay

    def version_decided(self) -> None:
        """Update the change in progress after a version was decided."""
        change, decided = self.change, self._learner.decided
        if change is None or change.phase is Phase.DECIDED or decided.version < change.value.version:
            return
        version, change_id = change.value.version, change.value.change_id
        other = self._learner.decided_changes.get(version)
        if other == change_id:
            change.phase = Phase.DECIDED
            timeout = self._terms.granter_duration + self._terms.renewal_interval
            change.due = change.deadline = self._outbox.now + timeout
        elif other is None and change.may_be_accepted:
            # Warning: while this router received nothing, this change and later ones may have been decided.
            self.change = None
            if not change.takeover:
                lines = (texts.version_missed(version),)
                self._verdicts.conclude(m.Verdict(change_id, "open", version, lines))
        else:
            author = decided.author if decided.version == version else None
            self.refuse(texts.overtaken(version, other, author))

    def report_if_in_force(self) -> None:
        """Conclude a decided change once all live routers hold a lease on it."""
        change = self.change
        if change is None or change.phase is not Phase.DECIDED or change.reported_open:
            return
        now, version = self._outbox.now, change.value.version
        alive = self._peers.alive(self._learner.peers(), now)
        in_force_here = self._name not in self._learner.decided.fleet.members or self._client.may_admit(now)
        if in_force_here and all(self._peers.leased_version(name) >= version for name in alive):
            self.conclude()

    def conclude(self) -> None:
        """Conclude the decided change, and report which routers lease its version."""
        change = self.change
        assert change is not None
        value, now = change.value, self._outbox.now
        members = sorted(self._learner.decided.fleet.members)
        in_force = [name for name in members if self._leased_version(name) >= value.version]
        checked = sorted(change.check_results) or [value.proposer]
        elapsed_ms = (now - change.started_at) / 1e6
        lines = [
            f"checked by {', '.join(checked)}",
            f"decided: version {value.version}, by {change.round.needed} of "
            f"{len(value.previous_voters)} voters",
            f"in force at {', '.join(in_force) or 'no router yet'} after {elapsed_ms:.0f} ms",
        ]
        for name in members:
            if self._leased_version(name) < value.version:
                reason = texts.missing_router(
                    self._peers.detector.age(name, now), self._peers.is_alive(name, now)
                )
                lines.append(f"missing: {name}, {reason}")
        self.change = None
        self._verdicts.conclude(m.Verdict(value.change_id, "in force", value.version, tuple(lines)))

    def _leased_version(self, name: str) -> int:
        if name == self._name:
            return self._client.leased_version(self._outbox.now)
        return self._peers.leased_version(name)

    def refuse(self, reason: str) -> None:
        """End the change without a decision."""
        change = self.change
        assert change is not None
        self.change = None
        value = change.value
        self._outbox.log_step("refused", value.version, cause=f"{value.change_id}: {reason}")
        if not change.takeover:
            self._verdicts.refuse(value.change_id, reason, value.version)

    def tick(self) -> None:
        """Continue a change whose phase has timed out."""
        change = self.change
        if change is None or self._outbox.now < change.due:
            return
        if self._outbox.now >= change.deadline:
            self._deadline_passed(change)
        elif change.phase is Phase.CHECKING:
            self._checks_timed_out(change)
        elif change.phase in (Phase.PREPARING, Phase.ACCEPTING):
            self._prepare(change)
        else:
            change.due = change.deadline

    def _checks_timed_out(self, change: Change) -> None:
        voters = self._learner.voters
        checked = [name for name in voters if name in change.check_results]
        if len(checked) >= self._learner.quorum_size:
            self._prepare(change)
        else:
            self.refuse(self.too_few_voters(sorted(voters.keys() - change.check_results.keys())))

    def _deadline_passed(self, change: Change) -> None:
        if change.phase is Phase.DECIDED:
            self.conclude()
        elif not change.may_be_accepted:
            if change.phase is Phase.WAITING:
                self.refuse("the version before the decided one is not closed yet")
            else:
                self.refuse(self.too_few_voters(change.round.missing()))
        else:
            self._report_open(change)
            change.deadline = self._outbox.now + self.conclusion_ns
            self._prepare(change)

    def _report_open(self, change: Change) -> None:
        if change.reported_open or change.takeover:
            return
        change.reported_open = True
        line = texts.still_open(change.round.missing(), self._learner.quorum_size)
        value = change.value
        self._verdicts.conclude(m.Verdict(value.change_id, "open", value.version, (line,)))

    def too_few_voters(self, missing: list[str]) -> str:
        """Return the line for operators that says which voters are missing for a quorum."""
        return texts.too_few_voters(missing, self._learner.quorum_size, len(self._learner.voters))
