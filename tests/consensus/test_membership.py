"""Every edge of the table of membership, by a whole replica: the fleet forms, and a voter rejoins."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, Send, Write
from pebblepass.consensus.records import SnapshotRecord
from pebblepass.consensus.replica import Replica
from tests.consensus.parts import VOTERS, sender, setup, value

UNFORMED = {"decided_version": 0, "durable_version": 0, "leased_version": 0}


def started(decided: m.Value, disk_id: str = "r0.disk") -> Replica:
    """A replica whose start is synced."""
    record = SnapshotRecord(disk_id, 1, decided, None, None, None, {}, (decided,), 0, ())
    replica = Replica(setup(), [record], 0)
    sync(replica, replica.start(0))
    return replica


def sync(replica: Replica, actions: list[Action]) -> list[Action]:
    """All that the actions write is synced."""
    tokens = [each.token for each in actions if isinstance(each, Write)]
    return actions + (replica.written(tokens[-1], 0) if tokens else [])


def hear(replica: Replica, state: m.Sender, body: m.Body) -> None:
    """Let a message arrive."""
    sync(replica, replica.received(m.Message(state, body), 0))


def under_way(replica: Replica) -> m.Value | None:
    """The value that the replica proposes."""
    change = replica.proposer.change
    return None if change is None else change.value


def test_the_first_voter_forms_the_fleet_once_all_are_alive_with_disks() -> None:
    replica = started(setup().genesis)
    hear(replica, sender("r1", **UNFORMED), m.Heartbeat())
    replica.tick(0)
    assert under_way(replica) is None
    hear(replica, sender("r2", **{**UNFORMED, "disk_id": ""}), m.Heartbeat())
    replica.tick(replica.lease_client.renew_at)
    assert under_way(replica) is None
    hear(replica, sender("r2", **UNFORMED), m.Heartbeat())
    replica.tick(replica.lease_client.renew_at)
    formed = under_way(replica)
    assert formed is not None
    assert (formed.kind, formed.fleet.voters, formed.version) == ("form", VOTERS, 1)


def test_a_voter_with_another_disk_requests_to_rejoin_with_each_heartbeat() -> None:
    replica = started(value(1), disk_id="another")
    actions = replica.tick(replica.lease_client.renew_at)
    joins = [each.to for each in actions if isinstance(each, Send) and each.message.body == m.Rejoin()]
    assert joins == ["r1", "r2"]


def test_a_voter_on_its_disk_does_not_request_to_rejoin() -> None:
    replica = started(value(1))
    actions = replica.tick(replica.lease_client.renew_at)
    assert not any(isinstance(each, Send) and each.message.body == m.Rejoin() for each in actions)


def test_the_new_disk_of_a_voter_is_proposed() -> None:
    replica = started(value(1))
    hear(replica, sender("r1", disk_id="fresh"), m.Rejoin())
    proposed = under_way(replica)
    assert proposed is not None
    assert proposed.fleet.voters == {**VOTERS, "r1": "fresh"}
    assert (proposed.kind, proposed.author) == ("members", "pebblepass")
    assert proposed.reason == "r1 has come back with another disk"


def test_a_rejoin_is_not_proposed_for_a_known_disk_by_no_voter_or_beside_another_change() -> None:
    known = started(value(1))
    hear(known, sender("r1"), m.Rejoin())
    assert under_way(known) is None
    no_vote = started(value(1), disk_id="another")
    hear(no_vote, sender("r1", disk_id="fresh"), m.Rejoin())
    assert under_way(no_vote) is None
    stranger = started(value(1))
    hear(stranger, sender("r9", disk_id="fresh"), m.Rejoin())
    assert under_way(stranger) is None
    unformed = started(setup().genesis)
    hear(unformed, sender("r1", **UNFORMED), m.Rejoin())
    assert under_way(unformed) is None
    busy = started(value(1))
    hear(busy, sender("r1", disk_id="fresh"), m.Rejoin())
    first = under_way(busy)
    hear(busy, sender("r2", disk_id="fresh too"), m.Rejoin())
    assert under_way(busy) is first
