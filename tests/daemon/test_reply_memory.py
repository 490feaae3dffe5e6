"""The memory for pipelined requests: what waits for a reply ahead is bounded over all connections."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

import pytest

from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.command_turns import CommandTurns
from pebblepass.daemon.memory_account import ANSWER_BYTES, MIN_ACCOUNT_BYTES, MemoryAccount
from tests.virtual_router import PeerConnection, RouterHarness, encode_request, run_with_router

VALUE_BYTES = 64_000
CLIENTS, READS = 4, 40
SMALL: Any = {"memory_mb": 24.0, "sockets": 1024.0}
"""So little memory that pipelined requests have MIN_ACCOUNT_BYTES."""


def serve_long_values(harness: RouterHarness) -> list[str]:
    """Let the cache answer each read with VALUE_BYTES; return the ids of the reads that it has answered."""
    answered: list[str] = []

    def serve(connection: PeerConnection, name: str) -> None:
        answered.append(name)
        connection.transport.write(harness.caches["a"].answer(name, name.encode().ljust(VALUE_BYTES, b".")))

    harness.caches["a"].on_request = serve
    return answered


def pipeline(client: int, d: int = 2000) -> bytes:
    """Encode a write and reads behind it."""
    reads = [encode_request(f"r{client}.{n}", d=d, key=f"k{client}.{n}") for n in range(READS)]
    return encode_request(f"w{client}", "put", key=f"w{client}", value=b"v") + b"".join(reads)


def test_replies_behind_a_slow_write_stay_within_the_memory() -> None:
    """Guards against a router that is killed for its memory, as all clients' replies wait behind writes."""

    async def test(harness: RouterHarness) -> None:
        answered = serve_long_values(harness)
        clients = [await harness.client() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            client.transport.write(pipeline(number))
        await harness.wait(1.0)
        assert 0 < len(answered) * VALUE_BYTES <= MIN_ACCOUNT_BYTES
        assert harness.daemon.clients.memory.used <= MIN_ACCOUNT_BYTES + CLIENTS * READS * 100
        for connection in list(harness.origin.connections):
            harness.origin.serve(connection, connection.request_ids[-1])
        await harness.wait(1.0)
        for number, client in enumerate(clients):
            served = [reply.rstrip(b".") for reply in client.replies()]
            assert served == [b"value of w%d" % number, *(b"r%d.%d" % (number, n) for n in range(READS))]
        harness.assert_nothing_left()

    run_with_router(test, **SMALL)


def test_replies_to_a_client_that_does_not_read_stay_within_the_memory() -> None:
    """Guards against replies that pile up in the write buffers of clients that read slowly."""

    async def test(harness: RouterHarness) -> None:
        answered = serve_long_values(harness)
        client = await harness.client()
        client.transport.pause_reading()
        names = [f"r{n}" for n in range(200)]
        client.transport.write(b"".join(encode_request(name, key=name) for name in names))
        await harness.wait(1.0)
        (connection,) = harness.daemon.clients._connections
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() <= 3 * ANSWER_BYTES
        assert len(answered) < len(names)
        client.transport.resume_reading()
        await harness.wait(1.0)
        assert [reply.rstrip(b".").decode() for reply in client.replies()] == names
        harness.assert_nothing_left()

    run_with_router(test, **SMALL)


def test_command_that_waits_for_memory_beyond_its_time_is_refused_and_never_sent() -> None:
    async def test(harness: RouterHarness) -> None:
        answered = serve_long_values(harness)
        client = await harness.client()
        client.transport.write(pipeline(0, d=500))
        await harness.wait(1.0)
        first = len(answered)
        harness.origin.serve(harness.origin.connection_of("w0"), "w0")
        await harness.wait(0.1)
        replies = client.replies()[1:]
        assert [reply.rstrip(b".").decode() for reply in replies[:first]] == answered
        assert replies[first:] == [b"-BUSY"] * (READS - first)
        assert len(answered) == first
        harness.assert_nothing_left()

    run_with_router(test, **SMALL)


@pytest.mark.parametrize("ends", [True, False], ids=["end", "reset"])
def test_memory_is_free_after_clients_with_waiting_commands_have_left(ends: bool) -> None:
    async def test(harness: RouterHarness) -> None:
        serve_long_values(harness)
        clients = [await harness.client() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            client.transport.write(pipeline(number))
        await harness.wait(0.5)
        for client in clients:
            client.transport.close() if ends else client.transport.abort()
        await harness.wait(5.0)
        assert not harness.daemon.clients.turns.is_short
        harness.assert_nothing_left()

    run_with_router(test, **SMALL)


def test_shutdown_refuses_commands_that_wait_for_memory() -> None:
    async def test(harness: RouterHarness) -> None:
        answered = serve_long_values(harness)
        client = await harness.client()
        client.transport.write(pipeline(0))
        await harness.wait(0.1)
        await harness.daemon.drain()
        replies = client.replies()
        assert len(replies) == 1 + READS
        assert replies[1:].count(b"-BUSY") == READS - len(answered)

    run_with_router(test, **SMALL)


def test_answered_writes_are_freed_without_a_garbage_collection() -> None:
    """Guards against commands that stay in memory although their requests are answered."""

    async def test(harness: RouterHarness) -> None:
        harness.origin.on_request = harness.origin.serve
        client = await harness.client()
        gc.collect()
        gc.disable()
        try:
            for number in range(20):
                client.send_request(f"w{number}", "put", key=f"w{number}", value=bytes(VALUE_BYTES))
                await harness.wait(0.1)
            assert len(client.replies()) == 20
            commands = (found for found in gc.get_objects() if isinstance(found, OpenRequest))
            assert [command.id for command in commands] == []
        finally:
            gc.enable()

    run_with_router(test)


class Connection:
    """A connection with this many commands that wait."""

    def __init__(self, memory: MemoryAccount, commands: int, log: list[str], name: str) -> None:
        self._memory, self._commands, self._log, self._name = memory, commands, log, name

    needs_memory = True

    @property
    def has_deferred(self) -> bool:
        return self._commands > 0

    def dispatch_deferred(self) -> bool:
        self._commands -= 1
        self._log.append(self._name)
        self._memory.replies.take(ANSWER_BYTES)
        return True


def test_connections_that_wait_take_turns() -> None:
    scheduled: list[Callable[[], None]] = []
    shortages: list[bool] = []
    log: list[str] = []
    memory = MemoryAccount(MIN_ACCOUNT_BYTES)
    turns = CommandTurns(memory, scheduled.append, lambda: shortages.append(turns.is_short))
    memory.replies.take(memory.free_answers * ANSWER_BYTES)
    for name in ("a", "b"):
        turns.wait(Connection(memory, 2, log, name))
    scheduled.pop(0)()
    assert (turns.commands_per_read(is_next=False), shortages) == (0, [True])
    while turns.is_short:
        memory.replies.take(-ANSWER_BYTES)
        scheduled.pop(0)()
    assert log == ["a", "b", "a", "b"]
    assert shortages == [True, False]
