"""Commands behind a long value whose server breaks it off, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from pebblepass.daemon.value_stream import HOLD_MARGIN_S, MAX_HOLD_S, hold_time
from tests.virtual_router import PeerConnection, RouterHarness, VirtualClient, encode_request, run_with_router

VALUE = bytes(range(250)) * 2000  # 500,000 bytes
PART_BYTES = 200_000
LEAST: Any = {"memory_mb": 24.0, "sockets": 1024.0}
"""So little memory that the account can't hold VALUE."""


def reset(connection: PeerConnection) -> None:
    connection.reset()


def close(connection: PeerConnection) -> None:
    connection.transport.close()


def send_wrong_length(connection: PeerConnection) -> None:
    connection.transport.write(VALUE)  # beyond the end of the value


BREAKS = [reset, close, send_wrong_length]


def serve_in_two_parts(
    harness: RouterHarness,
    after_s: float,
    break_off: Callable[[PeerConnection], None] | None = None,
    first_s: float = 0.0,
) -> None:
    """Let the cache server send a part of the long value, and the rest, or break it off, `after_s` later.

    `first_s`: before the first part. Other keys are served at once.
    """
    cache = harness.caches["a"]

    def begin(connection: PeerConnection, answer: bytes) -> None:
        connection.transport.write(answer[:PART_BYTES])
        if break_off is None:
            harness.loop.call_later(after_s, connection.transport.write, answer[PART_BYTES:])
        else:
            harness.loop.call_later(after_s, break_off, connection)

    def serve(connection: PeerConnection, name: str) -> None:
        if name.startswith("long"):
            harness.loop.call_later(first_s, begin, connection, cache.answer(name, VALUE))
        else:
            cache.serve(connection, name)

    cache.on_request = serve
    harness.origin.on_request = harness.origin.serve


def send_batch(client: VirtualClient, d: int = 2000) -> None:
    """Send a read of the long value, a write and a read at once."""
    batch = [
        encode_request("long", d=d, key="long"),
        encode_request("write", "put", d=d, key="w", value=b"v"),
        encode_request("read", d=d, key="r"),
    ]
    client.transport.write(b"".join(batch))


OTHERS = [b"value of write", b"value of read"]


@pytest.mark.parametrize("break_off", BREAKS)
@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.4])
def test_commands_behind_a_long_value_that_breaks_are_answered(
    after_s: float, break_off: Callable[[PeerConnection], None]
) -> None:
    """Guards against answers that are lost with the connection, as a value before them is incomplete."""

    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, after_s, break_off)
        client = await harness.client()
        send_batch(client)
        await harness.wait(1.6)
        assert client.replies() == [b"-ERR failed", *OTHERS]
        client.send_request("next", key="n")
        await harness.wait(0.1)
        assert client.replies()[-1] == b"value of next"
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.9])
def test_long_value_with_commands_behind_it_is_served_in_order(after_s: float) -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, after_s)
        client = await harness.client()
        send_batch(client)
        await harness.wait(2.5)
        assert client.replies() == [VALUE, *OTHERS]
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize(("d", "begins_s"), [(2000, MAX_HOLD_S), (800, 0.8 - HOLD_MARGIN_S), (40, 0.0)])
def test_value_is_held_for_no_longer_than_the_limit_and_its_request_allow(d: int, begins_s: float) -> None:
    """Guards against first bytes that come after the time of their request."""

    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.9)
        client = await harness.client()
        send_batch(client, d)
        await harness.wait(begins_s - 0.01)
        assert bool(client.received) is (begins_s == 0.0)
        await harness.wait(0.02)
        assert client.received.startswith(b"$500000\r\n")
        await harness.wait(2.5)
        assert client.replies()[0] == VALUE
        harness.assert_nothing_left()

    run_with_router(test)


def test_hold_time_is_never_negative() -> None:
    assert [hold_time(remaining_s) for remaining_s in (9.0, 0.55, 0.01, -1.0)] == [1.5, 0.5, 0.0, 0.0]


def test_long_value_without_commands_behind_it_begins_at_once() -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.0)
        client = await harness.client()
        client.send_request("long", key="long")
        await harness.settle()
        assert len(client.received) > PART_BYTES - 100
        await harness.wait(1.1)
        assert client.replies() == [VALUE]

    run_with_router(test)


@pytest.mark.parametrize("break_off", BREAKS)
def test_commands_that_come_while_a_value_is_passed_on_cross_its_end_unread(
    break_off: Callable[[PeerConnection], None],
) -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.0, break_off)
        client = await harness.client()
        client.send_request("long", key="long")
        await harness.wait(0.2)
        client.send_request("write", "put", key="w", value=b"v")
        client.send_request("read", key="r")
        await harness.wait(1.0)
        assert client.closed
        assert [name for _, _, name in harness.requests] == ["long"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_commands_that_wait_for_a_value_longer_than_their_timeout_are_served_after_it() -> None:
    """Guards against refusals for time in which a client has waited for an answer before."""

    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.9)
        client = await harness.client()
        client.send_request("long", key="long")
        await harness.wait(0.2)
        client.send_request("write", "put", d=300, key="w", value=b"v")
        client.send_request("read", d=300, key="r")
        await harness.wait(2.0)
        assert client.replies() == [VALUE, *OTHERS]
        harness.assert_nothing_left()

    run_with_router(test)


def test_client_that_leaves_during_a_value_has_nothing_sent_for_its_unread_commands() -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.9)
        client = await harness.client()
        client.send_request("long", key="long")
        await harness.wait(0.2)
        client.send_request("read", key="r")
        client.transport.close()
        await harness.wait(2.0)
        assert [name for _, _, name in harness.requests] == ["long"]
        harness.assert_nothing_left()

    run_with_router(test)


@pytest.mark.parametrize("break_off", BREAKS)
def test_long_value_that_breaks_behind_a_slow_write_fails_alone(
    break_off: Callable[[PeerConnection], None],
) -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 0.3, break_off)
        harness.origin.on_request = lambda connection, name: None
        client = await harness.client()
        client.send_request("write", "put", key="w", value=b"v")
        client.send_request("long", key="long")
        client.send_request("read", key="r")
        await harness.wait(0.6)
        harness.origin.serve(harness.origin.connection_of("write"), "write")
        await harness.wait(0.6)
        assert client.replies() == [b"value of write", b"-ERR failed", b"value of read"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_several_long_values_behind_each_other_break_one_by_one() -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 0.3, reset)
        client = await harness.client()
        for name in ("long1", "read1", "long2", "read2"):
            client.send_request(name, key=name)
        await harness.wait(1.0)
        failed = b"-ERR failed"
        assert client.replies() == [failed, b"value of read1", failed, b"value of read2"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_without_memory_a_value_is_passed_on_at_once() -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 0.5)
        client = await harness.client()
        send_batch(client)
        await harness.settle()
        assert client.received.startswith(b"$500000\r\n")
        await harness.wait(0.6)
        assert client.replies() == [VALUE, *OTHERS]
        harness.assert_nothing_left()

    run_with_router(test, **LEAST)


def test_held_value_of_a_client_that_leaves_is_released() -> None:
    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, 1.9)
        client = await harness.client()
        send_batch(client)
        await harness.wait(0.2)
        assert harness.daemon.clients.memory.used > len(VALUE)
        client.transport.abort()
        await harness.wait(0.1)
        harness.assert_nothing_left()

    run_with_router(test)


def test_complete_value_of_unknown_length_begins_before_its_attempt_ends() -> None:
    """Guards against a decision module that learns of a value's start after its end."""

    async def test(harness: RouterHarness) -> None:
        def serve(connection: PeerConnection, name: str) -> None:
            if name != "long":
                harness.origin.serve(connection, name)
                return
            connection.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + VALUE)
            connection.transport.close()

        harness.caches["a"].on_request, harness.origin.on_request = harness.caches["a"].miss, serve
        events: list[str] = []
        handle_event = harness.host.handle_event

        def record(event: Any) -> None:
            if getattr(event, "request", "") == "long":
                events.append(type(event).__name__)
            handle_event(event)

        harness.host.handle_event = record
        client = await harness.client()
        send_batch(client)
        await harness.wait(0.5)
        assert client.replies() == [VALUE, *OTHERS]
        assert events[-2:] == ["StreamStarted", "AttemptEnded"]
        harness.assert_nothing_left()

    run_with_router(test)


def test_commands_behind_a_value_that_breaks_after_its_hold_are_answered() -> None:
    """Guards against answers that are lost, as nobody may hold a value back for 2 s."""

    async def test(harness: RouterHarness) -> None:
        serve_in_two_parts(harness, MAX_HOLD_S + 0.2, reset)
        client = await harness.client()
        send_batch(client)
        await harness.wait(MAX_HOLD_S + 0.5)
        harness.assert_nothing_left()
        assert [reply for reply in OTHERS if reply not in client.replies()] == []

    run_with_router(test)
