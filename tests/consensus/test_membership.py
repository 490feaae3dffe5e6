"""Covers every row of the membership table with a complete replica: forming a fleet, and rejoining it."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, Send, Write
from pebblepass.consensus.records import SnapshotRecord
from pebblepass.consensus.replica import Replica
from tests.consensus.helpers import VOTERS, sender, setup, value

UNFORMED = {"decided_version": 0, "durable_version": 0, "leased_version": 0}


def started(decided: m.Value, disk_id: str = "r0.disk") -> Replica:
    """Return a replica whose start is synced."""
    record = SnapshotRecord(disk_id, 1, decided, None, None, None, {}, (decided,), 0, ())
    replica = Replica(setup(), [record], 0)
    sync(replica, replica.start(0))
    return replica


def sync(replica: Replica, actions: list[Action]) -> list[Action]:
    """Sync the writes among the actions; return all actions."""
    tokens = [action.token for action in actions if isinstance(action, Write)]
    return actions + (replica.written(tokens[-1], 0) if tokens else [])


def receive(replica: Replica, state: m.Sender, body: m.Body) -> None:
    """Deliver a message."""
    sync(replica, replica.received(m.Message(state, body), 0))


def proposed_value(replica: Replica) -> m.Value | None:
    """Return the value that the replica proposes; None: it proposes nothing."""
    change = replica.proposer.change
    return None if change is None else change.value


def test_first_voter_forms_fleet_when_all_are_alive_with_disks() -> None:
    replica = started(setup().genesis)
    receive(replica, sender("r1", **UNFORMED), m.Heartbeat())
    replica.tick(0)
    assert proposed_value(replica) is None
    receive(replica, sender("r2", **{**UNFORMED, "disk_id": ""}), m.Heartbeat())
    replica.tick(replica.lease_client.renew_at)
    assert proposed_value(replica) is None
    receive(replica, sender("r2", **UNFORMED), m.Heartbeat())
    replica.tick(replica.lease_client.renew_at)
    formed = proposed_value(replica)
    assert formed is not None
    assert (formed.kind, formed.fleet.voters, formed.version) == ("form", VOTERS, 1)


def test_voter_with_another_disk_requests_to_rejoin() -> None:
    replica = started(value(1), disk_id="another")
    actions = replica.tick(replica.lease_client.renew_at)
    joins = [
        action.to for action in actions if isinstance(action, Send) and action.message.body == m.Rejoin()
    ]
    assert joins == ["r1", "r2"]


def test_voter_with_known_disk_does_not_request_to_rejoin() -> None:
    replica = started(value(1))
    actions = replica.tick(replica.lease_client.renew_at)
    assert not any(isinstance(action, Send) and action.message.body == m.Rejoin() for action in actions)


def test_rejoin_request_proposes_the_new_disk() -> None:
    replica = started(value(1))
    receive(replica, sender("r1", disk_id="fresh"), m.Rejoin())
    proposed = proposed_value(replica)
    assert proposed is not None
    assert proposed.fleet.voters == {**VOTERS, "r1": "fresh"}
    assert (proposed.kind, proposed.author) == ("members", "pebblepass")
    assert proposed.reason == "r1 has come back with another disk"


def test_rejoin_is_ignored_for_known_disk_non_voter_or_open_change() -> None:
    known = started(value(1))
    receive(known, sender("r1"), m.Rejoin())
    assert proposed_value(known) is None
    no_vote = started(value(1), disk_id="another")
    receive(no_vote, sender("r1", disk_id="fresh"), m.Rejoin())
    assert proposed_value(no_vote) is None
    outsider = started(value(1))
    receive(outsider, sender("r9", disk_id="fresh"), m.Rejoin())
    assert proposed_value(outsider) is None
    unformed = started(setup().genesis)
    receive(unformed, sender("r1", **UNFORMED), m.Rejoin())
    assert proposed_value(unformed) is None
    proposing = started(value(1))
    receive(proposing, sender("r1", disk_id="fresh"), m.Rejoin())
    first = proposed_value(proposing)
    receive(proposing, sender("r2", disk_id="fresh too"), m.Rejoin())
    assert proposed_value(proposing) is first
