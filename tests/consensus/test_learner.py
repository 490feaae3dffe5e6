"""Covers every row of the learner's state table, the bounded history, and announcements to other routers."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.learner import HISTORY_VERSIONS, Learner
from pebblepass.consensus.outbox import Outbox
from tests.consensus.helpers import SECOND, create_outbox, sender, sent, setup, value


def create_learner(problem: str = "") -> tuple[Learner, Outbox]:
    outbox, configuration = create_outbox(), setup(problem)
    return Learner("r0", configuration.genesis, configuration.check, outbox), outbox


def test_version_is_durable_after_sync_or_at_once_without_disk() -> None:
    learner, outbox = create_learner()
    learner.learn(value(1), (), keeps_disk=True)
    learner.learn(value(2), (), keeps_disk=True)
    assert (learner.version, learner.durable_version) == (2, 0)
    outbox.mark_synced(1)
    learner.update_durable_version()
    assert learner.durable_version == 1
    outbox.mark_synced(2)
    learner.update_durable_version()
    assert learner.durable_version == 2
    diskless, _ = create_learner()
    diskless.learn(value(1), (), keeps_disk=False)
    assert diskless.durable_version == 1


def test_history_and_known_changes_are_bounded() -> None:
    learner, _ = create_learner()
    for version in range(1, 100):
        learner.learn(value(version), (), keeps_disk=False)
    kept = list(range(100 - HISTORY_VERSIONS, 100))
    assert [decided.version for decided in learner.history] == kept
    assert sorted(learner.decided_changes) == kept
    assert (learner.version_of("c99"), learner.version_of("c1")) == (99, 0)


def test_change_ids_of_missed_versions_are_known() -> None:
    learner, _ = create_learner()
    learner.learn(value(3), (m.DecidedChange(1, "form"), m.DecidedChange(2, "c2")), keeps_disk=False)
    assert learner.announcement().decided_changes == (
        m.DecidedChange(1, "form"),
        m.DecidedChange(2, "c2"),
        m.DecidedChange(3, "c3"),
    )


def test_catch_up_sends_version_to_router_behind_else_heartbeat() -> None:
    learner, outbox = create_learner()
    learner.learn(value(2), (), keeps_disk=False)
    learner.catch_up(sender(decided_version=1), SECOND)
    learner.catch_up(sender("r2", decided_version=3), SECOND)
    learner.catch_up(sender("r2", decided_version=2, boot_id="level"), SECOND)
    assert sent(outbox) == [("r1", learner.announcement()), ("r2", m.Heartbeat())]


def test_announcement_repeats_once_an_interval_per_run() -> None:
    learner, outbox = create_learner()
    learner.learn(value(2), (), keeps_disk=False)
    counts = []
    for now in (0, SECOND - 1, SECOND):
        outbox.begin(now)
        learner.catch_up(sender(decided_version=1), SECOND)
        counts.append(len(sent(outbox)))
    assert counts == [1, 0, 1]
    learner.catch_up(sender(decided_version=1, boot_id="next"), SECOND)
    assert len(sent(outbox)) == 2


def test_unusable_policy_is_a_problem_and_fails_its_check() -> None:
    learner, _ = create_learner("no such namespace")
    learner.learn(value(1), (), keeps_disk=False)
    learner.check_decided(setup().genesis)
    assert learner.problem == "no such namespace"
    answer = learner.check(m.PolicyCheck(value(2)))
    assert answer == m.PolicyCheckResult(2, "c2", "no such namespace")
