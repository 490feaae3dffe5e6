"""Every edge of the learner's table, its bounded history, and what is announced to other routers."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.learner import HISTORY_VERSIONS, Learner
from pebblepass.consensus.outbox import Outbox
from tests.consensus.parts import SECOND, outbox, sender, sent, setup, value


def made(problem: str = "") -> tuple[Learner, Outbox]:
    box, given = outbox(), setup(problem)
    return Learner("r0", given.genesis, given.check, box), box


def test_a_version_is_durable_once_its_record_is_synced_and_at_once_without_a_disk() -> None:
    learner, box = made()
    learner.learn(value(1), (), keeps_disk=True)
    learner.learn(value(2), (), keeps_disk=True)
    assert (learner.version, learner.durable_version) == (2, 0)
    box.synced(1)
    learner.written()
    assert learner.durable_version == 1
    box.synced(2)
    learner.written()
    assert learner.durable_version == 2
    without, _ = made()
    without.learn(value(1), (), keeps_disk=False)
    assert without.durable_version == 1


def test_the_history_and_the_known_changes_are_bounded() -> None:
    learner, _ = made()
    for version in range(1, 100):
        learner.learn(value(version), (), keeps_disk=False)
    kept = list(range(100 - HISTORY_VERSIONS, 100))
    assert [each.version for each in learner.history] == kept
    assert sorted(learner.decided_changes) == kept
    assert (learner.version_of("c99"), learner.version_of("c1")) == (99, 0)


def test_changes_of_versions_that_were_missed_are_known_by_name() -> None:
    learner, _ = made()
    learner.learn(value(3), (m.DecidedChange(1, "form"), m.DecidedChange(2, "c2")), keeps_disk=False)
    assert learner.announcement().decided_changes == (
        m.DecidedChange(1, "form"),
        m.DecidedChange(2, "c2"),
        m.DecidedChange(3, "c3"),
    )


def test_a_router_that_is_behind_gets_the_version_and_one_that_is_ahead_a_heartbeat() -> None:
    learner, box = made()
    learner.learn(value(2), (), keeps_disk=False)
    learner.catch_up(sender(decided_version=1), SECOND)
    learner.catch_up(sender("r2", decided_version=3), SECOND)
    learner.catch_up(sender("r2", decided_version=2, boot_id="level"), SECOND)
    assert sent(box) == [("r1", learner.announcement()), ("r2", m.Heartbeat())]


def test_the_same_is_announced_to_one_run_once_an_interval() -> None:
    learner, box = made()
    learner.learn(value(2), (), keeps_disk=False)
    counts = []
    for now in (0, SECOND - 1, SECOND):
        box.begin(now)
        learner.catch_up(sender(decided_version=1), SECOND)
        counts.append(len(sent(box)))
    assert counts == [1, 0, 1]
    learner.catch_up(sender(decided_version=1, boot_id="next"), SECOND)
    assert len(sent(box)) == 2


def test_a_policy_that_cannot_be_used_is_a_problem_and_a_refused_check() -> None:
    learner, _ = made("no such namespace")
    learner.learn(value(1), (), keeps_disk=False)
    learner.check_decided(setup().genesis)
    assert learner.problem == "no such namespace"
    answer = learner.check(m.PolicyCheck(value(2)))
    assert answer == m.PolicyCheckResult(2, "c2", "no such namespace")
