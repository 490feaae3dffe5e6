"""The router's memory and its other clients while bad clients hold or flood it: one real process each."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.overload.run import Observation, allow_descriptors, client_limit, run_overload

LEAST_MEMORY_MB = 32
DESCRIPTORS = 1024
ALL_CLIENTS = client_limit(DESCRIPTORS)
HOLDING = ("half-write", "slow-write", "unread-pipeline", "unread-answer", "streamed-unread", "slow-read")
FLOODS = {"error-flood": (1, 5, 12), "name-flood": (1, 4)}

SERVERS_LOADED = {
    "unread-pipeline",
    "unread-answer",
    "streamed-unread",
    "slow-read",
    "many-fields",
    "long-writes",
    "name-flood",
}
"""Pictures whose requests reach the servers, so that the router may shed load for the servers' sake."""


def allowed_answers(*pictures: str) -> set[str]:
    """Return how ordinary requests may end beside these pictures; never late, and never without an answer."""
    return {"served", "-BUSY"} if SERVERS_LOADED.intersection(pictures) else {"served"}


def play(folder: Path, pictures: dict[str, int], memory_mb: int = LEAST_MEMORY_MB) -> Observation:
    allow_descriptors()
    return run_overload(folder, memory_mb, DESCRIPTORS, pictures)


def assert_sound(seen: Observation, allowed: set[str]) -> None:
    """Check the memory and the ordinary clients' answers; `allowed`: how these may end."""
    assert seen.is_within_memory, f"{seen.peak_kb} of {seen.limit_kb} KB"
    assert seen.answers["served"], seen
    assert set(seen.answers) <= allowed, seen


@pytest.mark.parametrize("picture", [*HOLDING, "many-fields"])
def test_clients_that_hold_memory_do_not_push_the_router_over_its_limit(tmp_path: Path, picture: str) -> None:
    """Guards against a router that is killed for its memory by as many clients as it has descriptors."""
    assert_sound(play(tmp_path, {picture: ALL_CLIENTS}), allowed_answers(picture))


def test_complete_long_writes_do_not_push_the_router_over_its_limit(tmp_path: Path) -> None:
    """Guards against a router that is killed for its memory by writes that wait for a slow store."""
    assert_sound(play(tmp_path, {"long-writes": ALL_CLIENTS}), allowed_answers("long-writes"))


def test_all_kinds_of_clients_together_do_not_push_the_router_over_its_limit(tmp_path: Path) -> None:
    """Guards against uses of memory that are within their bounds one by one, but not together."""
    seen = play(tmp_path, dict.fromkeys(HOLDING, ALL_CLIENTS // len(HOLDING)))
    assert_sound(seen, allowed_answers(*HOLDING))


@pytest.mark.parametrize(
    ("picture", "clients"), [(name, count) for name, counts in FLOODS.items() for count in counts]
)
def test_flood_makes_no_other_client_wait(tmp_path: Path, picture: str, clients: int) -> None:
    """Guards against one client's commands being handled without a pause while others wait."""
    assert_sound(play(tmp_path, {picture: clients}), allowed_answers(picture))
