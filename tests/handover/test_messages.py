"""What goes from process to process: whole and the same, or refused in one plain line."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, strategies

from pebblepass.decisions import LimitState, OriginHealth, RouterState, ServerHealth
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.messages import (
    MAX_CHUNK_BYTES,
    ConnectionCounts,
    Connections,
    ConnectionState,
    Hello,
    Message,
    Ready,
    Rejected,
    StateChunk,
    decode,
    encode,
    split_snapshot,
)
from pebblepass.handover.router_snapshot import RouterSnapshot, decode_snapshot, encode_snapshot
from pebblepass.handover.state_aging import STATE_LIFETIME_NS, age_state, age_weight

S = 10**9
NOW = 1000 * S
UNIX = 500 * S  # what the donor's clock is ahead of Unix time; the reader's is 7 s further
counts = strategies.integers(0, 10_000)
handed = strategies.builds(
    ConnectionState,
    strategies.binary(max_size=60),
    counts,
    strategies.booleans(),
    strategies.sampled_from([0, 2, 3]),
    strategies.binary(max_size=20),
    counts,
)
messages = strategies.one_of(
    strategies.just(Hello()),
    strategies.just(Rejected()),
    strategies.just(Ready()),
    strategies.builds(ConnectionCounts, counts, counts),
    strategies.builds(StateChunk, strategies.binary(), strategies.booleans()),
    strategies.builds(Connections, strategies.lists(handed, max_size=4).map(tuple)),
)


@given(messages)
def test_a_message_comes_out_as_it_went_in(message: Message) -> None:
    assert decode(encode(message)) == message


def complaint(data: bytes) -> str:
    try:
        decode(data)
    except HandoverError as error:
        return str(error)
    return ""


@given(messages, strategies.integers(0, 200), strategies.integers(0, 255))
def test_a_spoilt_message_is_read_or_refused_in_one_line(message: Message, at: int, byte: int) -> None:
    data = bytearray(encode(message))
    data[at % len(data)] = byte
    assert "\n" not in complaint(bytes(data))


@pytest.mark.parametrize(
    "data", [b"", b"X", b'H{"version":2}', b"H[]", b"D[1]", b"D[1,-1]", b"D[true,1]", b"C[[1]]"]
)
def test_what_is_no_message_is_refused(data: bytes) -> None:
    with pytest.raises(HandoverError):
        decode(data)


def node(server: str = "s1", heard_at: int = NOW, down: bool = False, judged_at: int = NOW) -> ServerHealth:
    regain = 60 * S if down else 8 * S
    return ServerHealth(server, 0, heard_at, 1.0, 0.05, judged_at, regain, down, 1, 0, 0, 2e6, 1e6, 0.5)


def knowledge(*nodes: ServerHealth, calls: tuple[tuple[int, int, int], ...] = ((NOW, 3, 1),)) -> RouterState:
    store = OriginHealth(math.inf, 4.0, 0.1, 5e6, 1e6, 2e6, 1e6)
    return RouterState(nodes, (LimitState("acme", 12.5, calls),), store, ((7, 3.0),), (("acme", 9.0),))


def test_an_account_comes_out_in_the_readers_time_and_in_parts_of_any_number() -> None:
    began = 90 * S
    donor = node("s1").__class__(
        "s1", began, NOW - S, 1.0, 0.05, NOW - S, 8 * S, False, 1, 2, NOW + S, 2e6, 1e6, 0.5
    )
    nodes = (donor, *(node(f"n{i}" * 40) for i in range(400)))
    told = RouterSnapshot({"generation": 4, "instances": []}, knowledge(*nodes), NOW)
    data = encode_snapshot(told, lambda start: (start + UNIX) // 10**6)
    cut = split_snapshot(data)
    assert len(cut) > 1
    assert [chunk.last for chunk in cut] == [False] * (len(cut) - 1) + [True]
    assert all(len(chunk.data) <= MAX_CHUNK_BYTES for chunk in cut)
    later = NOW + 7 * S
    snapshot = decode_snapshot(
        b"".join(chunk.data for chunk in cut), later, lambda unix_ms: unix_ms * 10**6 - UNIX + 7 * S
    )
    first = snapshot.state.servers[0]
    assert (first.started, first.last_outcome_at, first.recovers_from, first.next_connect_at) == (
        began + 7 * S,
        later - S,
        later - S,
        later + S,
    )
    assert snapshot.state.limits[0].calls == ((later, 3, 1),)
    assert snapshot.state.origin == told.state.origin
    assert snapshot.endpoint_list == told.endpoint_list


@pytest.mark.parametrize(
    ("was", "becomes"),
    [
        (b'"version":1', b'"version":3'),
        (b'"nodes":[', b'"nodes":[7,'),
        (b"0.05", b"5.5"),
        (b'"acme",12.5', b'"acme",-1.0'),
        (b'"listing":{', b'"listing":[{'),
        (b'"heat":[[7', b'"heat":[["a"'),
    ],
)
def test_an_account_out_of_range_is_refused_whole(was: bytes, becomes: bytes) -> None:
    data = encode_snapshot(RouterSnapshot({}, knowledge(node()), NOW), lambda start: start)
    assert was in data
    with pytest.raises(HandoverError):
        decode_snapshot(data.replace(was, becomes, 1), NOW, lambda unix_ms: unix_ms)


def test_what_is_some_seconds_old_counts_for_little_and_then_for_nothing() -> None:
    assert [age_weight(int(STATE_LIFETIME_NS * part)) for part in (0, 0.5, 1, 3)] == [1, 0.5, 0, 0]
    known = age_state(knowledge(node("new"), node("old", NOW - 5 * S), node("gone", NOW - 11 * S)), NOW, NOW)
    assert [(each.server, each.weight) for each in known.servers] == [("new", 1.0), ("old", 0.5)]
    assert known.weight == 1.0


def test_a_server_that_is_down_is_known_until_the_clock_has_passed_it() -> None:
    down = node("down", NOW - 20 * S, down=True, judged_at=NOW - 20 * S)
    over = node("over", NOW - 61 * S, down=True, judged_at=NOW - 61 * S)
    assert [each.server for each in age_state(knowledge(down, over), NOW, NOW).servers] == ["down"]


def test_a_donor_that_has_heard_nothing_hands_on_nothing() -> None:
    known = age_state(knowledge(node("old", NOW - 11 * S), calls=()), NOW, NOW)
    assert (known.servers, known.limits, known.weight) == ((), (), 0.0)
