"""Commands of one connection are dispatched in turn with those of others."""

from __future__ import annotations

from unittest.mock import patch

from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.command_turns import MAX_COMMANDS_PER_READ, MAX_DISPATCHES_PER_TURN
from pebblepass.daemon.shutdown import STEP_S
from pebblepass.daemon.shutdown_plan import ANSWER_SLACK_S
from tests.sockets import SETTINGS, bulk
from tests.virtual_router import SETTLE_ITERATIONS, RouterHarness, encode_request, run_with_router

FLOOD = 5000
UNKNOWN = bulk(b"NOPE", b"x")


def test_flood_of_invalid_commands_is_handled_a_few_at_a_time() -> None:
    """Guards against a client that makes others wait until all that it has sent is handled."""

    async def test(harness: RouterHarness) -> None:
        flooding, other = await harness.client(), await harness.client()
        flooding.transport.write(UNKNOWN * FLOOD)
        other.transport.write(bulk(b"PING"))
        await harness.settle()
        assert other.replies() == [b"+PONG"]
        at_once = MAX_COMMANDS_PER_READ + SETTLE_ITERATIONS * MAX_DISPATCHES_PER_TURN
        assert 0 < len(flooding.replies()) <= at_once < FLOOD
        await harness.wait(1.0)
        assert len(flooding.replies()) == FLOOD
        harness.assert_nothing_left()

    run_with_router(test)


def test_pipeline_behind_a_flood_is_answered_before_the_flood_ends() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.caches["a"].on_request = harness.caches["a"].serve
        flooding, other = await harness.client(), await harness.client()
        flooding.transport.write(UNKNOWN * FLOOD)
        other.transport.write(b"".join(encode_request(f"r{n}", key=f"k{n}") for n in range(8)))
        await harness.settle()
        assert harness.caches["a"].request_ids == [f"r{n}" for n in range(8)]
        assert len(flooding.replies()) < FLOOD
        await harness.wait(1.0)

    run_with_router(test)


def test_shutdown_ends_before_the_kill_although_a_client_never_pauses() -> None:
    """Guards against a shutdown that uses all its time for a flood, and is killed in its exit."""

    async def test(harness: RouterHarness) -> None:
        longest = max(cls["giveUpNs"] for cls in SETTINGS["classes"]) / 1e9
        flooding = await harness.client()
        flooding.transport.write(UNKNOWN)
        await harness.wait(0.1)
        started_at = harness.loop.time()
        with patch.object(ClientConnection, "has_unread", lambda self: True):
            await harness.daemon.drain()
        assert harness.loop.time() - started_at <= longest + ANSWER_SLACK_S + 4 * STEP_S

    run_with_router(test)
