"""Queries to other voters about routers whose heartbeats no longer arrive here. No I/O, no clock."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.learner import Learner
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.peer_table import PeerTable
from pebblepass.consensus.voter import Voter


class LivenessQueries:
    """Sends liveness queries to the other voters, and answers theirs."""

    def __init__(self, learner: Learner, voter: Voter, peers: PeerTable, outbox: Outbox) -> None:
        self._learner, self._voter, self._peers, self._outbox = learner, voter, peers, outbox

    def tick(self) -> None:
        """Query the other voters about routers without a heartbeat.

        A voter queries about all members, another router about the voters only.
        """
        voters = self._learner.other_voters()
        names = self._learner.peers() if self._voter.can_vote else voters
        for missing in self._peers.detector.to_query(names, self._outbox.now):
            others = (name for name in voters if name != missing)
            self._outbox.send_all(others, m.LivenessQuery(missing))

    def queried(self, sender: m.Sender, query: m.LivenessQuery) -> None:
        """Answer another router's query."""
        age = self._peers.detector.age(query.name, self._outbox.now)
        self._outbox.send(sender.name, m.LivenessReport(query.name, age), sender.boot_id)

    def reported(self, report: m.LivenessReport) -> None:
        """Record the answer to a query."""
        self._peers.detector.reported(report.name, report.age_ns, self._outbox.now)
