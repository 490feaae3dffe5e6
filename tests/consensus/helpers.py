"""Shared by the tests of a replica's components: a fleet of three routers, its messages, and an outbox."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Send
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.outbox import Outbox
from pebblepass.consensus.policy import Policy
from pebblepass.consensus.setup import ReplicaSetup, genesis

SECOND = 1_000_000_000
TERMS = LeaseTerms(SECOND, 0.1)
NAMES = ("r0", "r1", "r2")
MEMBERS = dict.fromkeys(NAMES, "x:1")
VOTERS = {name: f"{name}.disk" for name in NAMES}


def sender(name: str = "r1", **changes: object) -> m.Sender:
    """Return the state of another voter, at version 1, with some fields changed."""
    fields: dict[str, object] = {
        "name": name,
        "boot_id": f"{name}.boot",
        "disk_id": f"{name}.disk",
        "start_count": 1,
        "decided_version": 1,
        "durable_version": 1,
        "released_version": 0,
        "closed_version": 0,
        "leased_version": 1,
        "start_confirmed": True,
    }
    return m.Sender(**{**fields, **changes})  # type: ignore[arg-type]


def value(version: int, change_id: str = "", kind: m.Kind = "policy") -> m.Value:
    """Return a version of the fleet of three routers."""
    fleet = m.Fleet(MEMBERS, VOTERS)
    return m.Value(version, change_id or f"c{version}", kind, Policy(), fleet, VOTERS, "ana", "", "r1")


def setup(problem: str = "") -> ReplicaSetup:
    """Return the setup of r0, whose check of every policy reports this problem."""
    initial = genesis(MEMBERS, NAMES)
    return ReplicaSetup("r0", "r0.boot", TERMS, initial, lambda before, after: problem, "r0.disk")


def create_outbox() -> Outbox:
    """Return an outbox of r0."""
    return Outbox("r0", lambda: sender("r0"), 0)


def sent(outbox: Outbox) -> list[tuple[str, m.Body]]:
    """Return the messages that the current event has sent to other routers."""
    return [(action.to, action.message.body) for action in outbox.finish() if isinstance(action, Send)]
