"""Handover messages and snapshots: encoding, decoding, rejection of invalid data, and the weight by age."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, strategies

from pebblepass.decisions import LimitState, OriginHealth, RouterState, ServerHealth
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.messages import (
    MAX_CHUNK_BYTES,
    MAX_WRITE_ID_CHARACTERS,
    MAX_WRITES_PER_MESSAGE,
    ConnectionCounts,
    Connections,
    ConnectionState,
    Hello,
    Message,
    Ready,
    Rejected,
    SentWrites,
    StateChunk,
    decode,
    encode,
    split_snapshot,
    split_writes,
)
from pebblepass.handover.router_snapshot import RouterSnapshot, decode_snapshot, encode_snapshot
from pebblepass.handover.state_aging import STATE_LIFETIME_NS, age_state, age_weight

SECOND = 10**9
NOW = 1000 * SECOND
# Unix time minus the sender's clock; the reader's clock is 7 s ahead of the sender's.
UNIX_OFFSET = 500 * SECOND
counts = strategies.integers(0, 10_000)
connection_states = strategies.builds(
    ConnectionState,
    strategies.binary(max_size=60),
    counts,
    strategies.booleans(),
    strategies.sampled_from([0, 2, 3]),
    strategies.binary(max_size=20),
    counts,
)
messages = strategies.one_of(
    strategies.builds(Hello, strategies.booleans()),
    strategies.builds(SentWrites, strategies.lists(strategies.text(), max_size=4).map(tuple)),
    strategies.just(Rejected()),
    strategies.just(Ready()),
    strategies.builds(ConnectionCounts, counts, counts),
    strategies.builds(StateChunk, strategies.binary(), strategies.booleans()),
    strategies.builds(Connections, strategies.lists(connection_states, max_size=4).map(tuple)),
)


@given(messages)
def test_message_survives_encoding_and_decoding(message: Message) -> None:
    assert decode(encode(message)) == message


def decode_error(data: bytes) -> str:
    try:
        decode(data)
    except HandoverError as error:
        return str(error)
    return ""


@given(messages, strategies.integers(0, 200), strategies.integers(0, 255))
def test_corrupt_message_is_decoded_or_rejected_in_one_line(
    message: Message, position: int, byte: int
) -> None:
    data = bytearray(encode(message))
    data[position % len(data)] = byte
    assert "\n" not in decode_error(bytes(data))


@pytest.mark.parametrize(
    "data", [b"", b"X", b'H{"version":2}', b"H[]", b"D[1]", b"D[1,-1]", b"D[true,1]", b"C[[1]]"]
)
def test_invalid_message_is_rejected(data: bytes) -> None:
    with pytest.raises(HandoverError):
        decode(data)


def server_health(
    server: str = "s1", last_outcome_at: int = NOW, unreachable: bool = False, recovers_from: int = NOW
) -> ServerHealth:
    recovery_time = 60 * SECOND if unreachable else 8 * SECOND
    return ServerHealth(
        server,
        0,
        last_outcome_at,
        1.0,
        0.05,
        recovers_from,
        recovery_time,
        unreachable,
        1,
        0,
        0,
        2e6,
        1e6,
        0.5,
    )


def router_state(
    *servers: ServerHealth, calls: tuple[tuple[int, int, int], ...] = ((NOW, 3, 1),)
) -> RouterState:
    origin = OriginHealth(math.inf, 4.0, 0.1, 5e6, 1e6, 2e6, 1e6)
    return RouterState(servers, (LimitState("acme", 12.5, calls),), origin, ((7, 3.0),), (("acme", 9.0),))


def test_successor_of_an_older_version_is_sent_no_writes() -> None:
    """Guards against a message that an older version rejects, which would end the upgrade."""
    assert encode(Hello()) == b'H{"version":1}'
    assert decode(b'H{"version":1}') == Hello(accepts_writes=False)
    assert decode(b'H{"version":1,"accepts_writes":true}') == Hello(accepts_writes=True)


def test_ids_of_writes_are_split_into_short_messages() -> None:
    short = [f"w{number}" for number in range(MAX_WRITES_PER_MESSAGE + 1)]
    split = split_writes([*short, "x" * (MAX_WRITE_ID_CHARACTERS + 1)])
    assert [len(message.request_ids) for message in split] == [MAX_WRITES_PER_MESSAGE, 1]
    assert [name for message in split for name in message.request_ids] == short


def test_snapshot_in_chunks_is_decoded_with_the_readers_clock() -> None:
    started = 90 * SECOND
    first_server = server_health("s1").__class__(
        "s1",
        started,
        NOW - SECOND,
        1.0,
        0.05,
        NOW - SECOND,
        8 * SECOND,
        False,
        1,
        2,
        NOW + SECOND,
        2e6,
        1e6,
        0.5,
    )
    servers = (first_server, *(server_health(f"n{i}" * 40) for i in range(400)))
    original = RouterSnapshot({"generation": 4, "instances": []}, router_state(*servers), NOW)
    data = encode_snapshot(original, lambda start: (start + UNIX_OFFSET) // 10**6)
    chunks = split_snapshot(data)
    assert len(chunks) > 1
    assert [chunk.last for chunk in chunks] == [False] * (len(chunks) - 1) + [True]
    assert all(len(chunk.data) <= MAX_CHUNK_BYTES for chunk in chunks)
    later = NOW + 7 * SECOND
    snapshot = decode_snapshot(
        b"".join(chunk.data for chunk in chunks),
        later,
        lambda unix_ms: unix_ms * 10**6 - UNIX_OFFSET + 7 * SECOND,
    )
    first = snapshot.state.servers[0]
    assert (first.started, first.last_outcome_at, first.recovers_from, first.next_connect_at) == (
        started + 7 * SECOND,
        later - SECOND,
        later - SECOND,
        later + SECOND,
    )
    assert snapshot.state.limits[0].calls == ((later, 3, 1),)
    assert snapshot.state.origin == original.state.origin
    assert snapshot.endpoint_list == original.endpoint_list


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"version":1', b'"version":3'),
        (b'"nodes":[', b'"nodes":[7,'),
        (b"0.05", b"5.5"),
        (b'"acme",12.5', b'"acme",-1.0'),
        (b'"listing":{', b'"listing":[{'),
        (b'"heat":[[7', b'"heat":[["a"'),
    ],
)
def test_snapshot_with_invalid_value_is_rejected(old: bytes, new: bytes) -> None:
    data = encode_snapshot(RouterSnapshot({}, router_state(server_health()), NOW), lambda start: start)
    assert old in data
    with pytest.raises(HandoverError):
        decode_snapshot(data.replace(old, new, 1), NOW, lambda unix_ms: unix_ms)


def test_weight_of_state_falls_with_age_to_zero() -> None:
    assert [age_weight(int(STATE_LIFETIME_NS * part)) for part in (0, 0.5, 1, 3)] == [1, 0.5, 0, 0]
    aged = age_state(
        router_state(
            server_health("new"),
            server_health("old", NOW - 5 * SECOND),
            server_health("gone", NOW - 11 * SECOND),
        ),
        NOW,
        NOW,
    )
    assert [(server.server, server.weight) for server in aged.servers] == [("new", 1.0), ("old", 0.5)]
    assert aged.weight == 1.0


def test_unreachable_server_is_kept_for_its_recovery_time() -> None:
    unreachable = server_health("down", NOW - 20 * SECOND, unreachable=True, recovers_from=NOW - 20 * SECOND)
    over = server_health("over", NOW - 61 * SECOND, unreachable=True, recovers_from=NOW - 61 * SECOND)
    assert [server.server for server in age_state(router_state(unreachable, over), NOW, NOW).servers] == [
        "down"
    ]


def test_state_without_recent_outcomes_has_no_weight() -> None:
    aged = age_state(router_state(server_health("old", NOW - 11 * SECOND), calls=()), NOW, NOW)
    assert (aged.servers, aged.limits, aged.weight) == ((), (), 0.0)
