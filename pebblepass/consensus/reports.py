"""Reports to operators: a replica's status, quota leases and history. Operators' tools rely on the keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblepass.consensus.policy import Policy, difference
from pebblepass.peers.failure_detector import Liveness

if TYPE_CHECKING:
    from pebblepass.consensus.replica import Replica


def status(replica: Replica, now: int) -> dict[str, object]:
    """Return the report on this router, and its view of the others."""
    learner, open_value = replica.learner, replica.acceptor.value
    return {
        "router": replica.name,
        "version": learner.version,
        "in_force": replica.may_admit(now),
        "lease_ms": max(round((replica.lease_client.until - now) / 1e6), 0),
        "closed": replica.lease_server.closed_version,
        "votes": replica.can_vote,
        "problem": learner.problem,
        "shares": quota_leases(replica, now),
        "open": open_value.change_id if open_value is not None else "",
        "voters": sorted(learner.voters),
        "needed": learner.quorum_size,
        "routers": _routers(replica, now),
    }


def _routers(replica: Replica, now: int) -> dict[str, dict[str, object]]:
    rows = {name: _router(replica, name, now) for name in sorted(replica.decided.fleet.members)}
    rows.setdefault(replica.name, {})["version"] = replica.lease_client.leased_version(now)
    return rows


def _router(replica: Replica, name: str, now: int) -> dict[str, object]:
    detector, is_self = replica.peers.detector, name == replica.name
    return {
        "state": Liveness.ALIVE.value if is_self else detector.state(name, now).value,
        "age_ms": 0 if is_self else round(detector.age(name, now) / 1e6),
        "version": replica.peers.leased_version(name),
    }


def quota_leases(replica: Replica, now: int) -> dict[str, object]:
    """Return the report on this router's quota leases, by voter, and why some may be missing."""
    if not replica.decided.policy.store.uses_leases:
        return {"on": False}
    client, server = replica.lease_client, replica.lease_server
    quota = client.current_quota(now)
    report: dict[str, object] = {
        "on": True,
        "per_s": dict(quota.rates),
        "lease_ms": max(round((quota.until - now) / 1e6), 0),
        "demand_per_s": dict(client.demand.rates()),
        "of": client.quota_holder.report(now),
        "why": _missing_leases_reason(replica, now),
    }
    if replica.can_vote:
        report["hands_out"] = server.allocator.report()
        report["quiet_ms"] = max(round((server.allocator.earlier_leases_expire_at - now) / 1e6), 0)
    return report


def _missing_leases_reason(replica: Replica, now: int) -> str:
    if not replica.may_admit(now):
        return "no lease on the version decided: at the floor"
    missing = sorted(set(replica.learner.voters) - replica.lease_client.quota_holder.granting_voters(now))
    return f"no share of {', '.join(missing)}: down, cut off, or started lately" if missing else ""


def history(replica: Replica) -> list[dict[str, object]]:
    """Return the report on past versions, newest first, each with its difference to the previous one."""
    values, rows = list(replica.learner.history), []
    for index, value in enumerate(values):
        before = values[index - 1].policy if index else Policy()
        rows.append(
            {
                "version": value.version,
                "change": value.change_id,
                "kind": value.kind,
                "who": value.author,
                "why": value.reason,
                "by": value.proposer,
                "difference": difference(before, value.policy),
            }
        )
    return rows[::-1]
