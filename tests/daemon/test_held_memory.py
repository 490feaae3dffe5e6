"""Memory that clients hold with unfinished commands and unread replies: it is bounded, and gives way."""

from __future__ import annotations

import gc
from typing import Any

from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.limited_reads import READ_BYTES, SHORT_OF_MEMORY_READ_BYTES
from pebblepass.daemon.memory_account import MIN_ACCOUNT_BYTES, SMALL_BYTES, account_bytes
from pebblepass.daemon.partial_commands import SILENT_S, PartialCommands
from pebblepass.wire.resp import USED_FIELDS, parse_request
from tests.virtual_router import PeerConnection, RouterHarness, VirtualClient, encode_request, run_with_router

LEAST: Any = {"memory_mb": 24.0, "sockets": 1024.0}
"""So little memory that the account has MIN_ACCOUNT_BYTES."""
VALUE = bytes(60_000)
CLIENTS = 2 * MIN_ACCOUNT_BYTES // len(VALUE)


async def half_written(harness: RouterHarness) -> list[tuple[VirtualClient, bytes]]:
    """Let CLIENTS clients send half of a long write each; return them with the other half."""
    clients = []
    for number in range(CLIENTS):
        client, data = await harness.client(), encode_request(f"w{number}", "put", value=VALUE)
        client.transport.write(data[: len(data) // 2 + 20_000])
        await harness.settle()
        clients.append((client, data[len(data) // 2 + 20_000 :]))
    return clients


def test_unfinished_long_writes_stay_within_the_account_and_small_requests_are_served() -> None:
    """Guards against a router that is killed for its memory by clients that stop in the middle of a write."""

    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        harness.caches["a"].on_request = harness.caches["a"].serve
        await half_written(harness)
        assert harness.daemon.clients.memory.used <= MIN_ACCOUNT_BYTES
        held = sum(c.reader.buffered_bytes for c in harness.daemon.clients._connections)
        assert held <= MIN_ACCOUNT_BYTES
        other = await harness.client()
        other.send_request("small write", "put", value=b"v")
        other.send_request("read")
        await harness.wait(0.1)
        assert [reply[:8] for reply in other.replies()] == [b"value of"] * 2

    run_with_router(test, **LEAST)


def test_long_write_that_gave_way_is_refused_once_it_is_complete_and_never_sent() -> None:
    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        clients = await half_written(harness)
        for client, rest in clients:
            client.transport.write(rest)
            await harness.settle()
        await harness.wait(1.0)
        answers = [client.replies()[0] for client, _ in clients]
        served = {int(answer[10:]) for answer in answers if answer.startswith(b"value of w")}
        refused = {number for number, answer in enumerate(answers) if answer == b"-BUSY"}
        assert served | refused == set(range(CLIENTS))
        assert served
        assert refused
        assert {int(name[1:]) for name in harness.origin.request_ids} == served
        harness.assert_nothing_left()
        client, _ = clients[0]
        client.send_request("again", "put", value=VALUE)
        await harness.wait(0.1)
        assert client.replies()[-1] == b"value of again"

    run_with_router(test, **LEAST)


def test_client_that_stopped_after_its_write_gave_way_still_gets_its_error() -> None:
    async def test(harness: RouterHarness) -> None:
        clients = await half_written(harness)
        await harness.wait(3.0)
        assert all(client.replies()[0].startswith(b"-ERR") and client.closed for client, _ in clients)
        harness.assert_nothing_left()

    run_with_router(test, **LEAST)


def test_replies_in_write_buffers_are_counted_from_the_first_kilobyte() -> None:
    """Guards against clients that hold one unread answer each, which nothing counted."""

    async def test(harness: RouterHarness) -> None:
        def serve(connection: PeerConnection, name: str) -> None:
            connection.transport.write(harness.caches["a"].answer(name, VALUE))

        harness.caches["a"].on_request = serve
        clients = [await harness.client() for _ in range(40)]
        for number, client in enumerate(clients):
            client.transport.pause_reading()
            client.transport.write(
                b"".join(encode_request(f"r{number}.{n}", key=f"k{number}.{n}") for n in range(8))
            )
        await harness.wait(1.0)
        connections = list(harness.daemon.clients._connections)
        unsent = sum(c.transport.get_write_buffer_size() for c in connections if c.transport is not None)
        assert unsent - len(clients) * SMALL_BYTES <= harness.daemon.clients.memory.used
        assert unsent <= MIN_ACCOUNT_BYTES + len(clients) * SMALL_BYTES

    run_with_router(test, **LEAST)


def test_closed_connections_are_freed_without_a_garbage_collection() -> None:
    """Guards against clients that come and go, each of which leaves what it had sent in memory."""

    async def test(harness: RouterHarness) -> None:
        gc.collect()
        gc.disable()
        try:
            for number in range(10):
                client = await harness.client()
                client.transport.write(encode_request(f"w{number}", "put", value=VALUE)[:30_000])
                await harness.settle()
                client.transport.abort()
                await harness.settle()
            left = [found for found in gc.get_objects() if isinstance(found, ClientConnection)]
            assert left == []
        finally:
            gc.enable()

    run_with_router(test)


class Partial:
    """A connection with a long command, last heard of at this time."""

    def __init__(self, last_used_at: float) -> None:
        self.last_used_at, self.discarded = last_used_at, False

    def discard_partial_command(self) -> None:
        self.discarded = True


def test_the_longest_silent_command_gives_way_and_without_one_the_newest() -> None:
    commands, first, second, third = PartialCommands(), Partial(1.0), Partial(1.5), Partial(1.5)
    for command in (first, second, third):
        commands.received(command)
    commands.shed(1.5)
    assert (first.discarded, second.discarded, third.discarded) == (True, False, False)
    commands.shed(1.5 + SILENT_S / 2)
    assert (second.discarded, third.discarded) == (False, True)


def test_list_of_thousands_of_fields_keeps_only_those_that_are_used() -> None:
    """Guards against objects that take far more than the bytes of the fields they stand for."""
    info = b"c=get,t=acme,d=900,r=1" + b",x=" * 3000
    assert parse_request([b"KV.GET", b"k", b"id", info]).fields.keys() == USED_FIELDS


def test_account_leaves_room_for_the_process_and_its_connections() -> None:
    mib = 1 << 20
    assert account_bytes(192 * mib, 24 * mib, 1000) > 100 * mib
    for limit in (32 * mib, 48 * mib, 192 * mib):
        for processes in (1, 2):
            counted = account_bytes(limit, 8 * mib, 1000, processes) * processes
            assert counted + processes * 8 * mib + 1000 * 4096 <= limit


def test_bytes_of_a_discarded_command_are_read_many_at_a_time() -> None:
    """Guards against refused long writes that cost so many reads that other clients wait."""

    async def test(harness: RouterHarness) -> None:
        await half_written(harness)
        connections = list(harness.daemon.clients._connections)
        harness.daemon.clients.memory.replies.take(MIN_ACCOUNT_BYTES)  # memory is short
        lengths = {c.reader.is_discarding: len(c.get_buffer(-1)) for c in connections}
        assert lengths == {True: READ_BYTES, False: SHORT_OF_MEMORY_READ_BYTES}
        harness.daemon.clients.memory.replies.take(-MIN_ACCOUNT_BYTES)

    run_with_router(test, **LEAST)
