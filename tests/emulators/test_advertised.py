"""Emulators report the timeout that an attempt advertises, however its bytes are segmented."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from pebblepass.emulators.advertised import AdvertisedTimeout, read_advertised_timeout
from pebblepass.emulators.core import CoreParameters
from pebblepass.emulators.effects import EffectLog
from pebblepass.emulators.node import EmulatedNode, NodeSetup, WorkRange
from pebblepass.emulators.observer import NullObserver
from pebblepass.emulators.store import EmulatedStore, StoreSetup
from pebblepass.simulation.clock import START_S, VirtualLoop
from pebblepass.wire import http
from pebblepass.wire.address import Address
from pebblepass.wire.resp import command
from tests.virtual import run_virtual

CORE = CoreParameters(speed=1.0, slots=8, queue=8)
DELAYS = {"here": 0.01}
INFO = b"c=read,t=acme,d=%b,k=1"
PIECE_GAP_S = 0.05


class RecordingObserver(NullObserver):
    """Records the advertised timeouts."""

    def __init__(self) -> None:
        self.advertised: list[AdvertisedTimeout] = []

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """Record the timeout."""
        self.advertised.append(advertised)


async def start_node(loop: VirtualLoop, observer: RecordingObserver) -> Address:
    """Start an emulated cache server."""
    setup = NodeSetup("s0", CORE, 10, 1.0, {"read": WorkRange(0.001, 0.001)}, 0.5, 0.0, (10, 10), DELAYS)
    node = EmulatedNode(loop, setup, random.Random(1), EffectLog({}, print), observer, lambda _, __: None)
    await node.start()
    return node.listeners.address("here")


async def start_store(loop: VirtualLoop, observer: RecordingObserver) -> Address:
    """Start an emulated store."""
    setup = StoreSetup("store", CORE, 0.001, 0.0, (10, 10), DELAYS)
    rng, effects = random.Random(1), EffectLog({}, print)
    store = EmulatedStore(loop, setup, rng, effects, observer, lambda _, __: None, lambda _: None)
    await store.start()
    return store.listeners.address("here")


StartEmulator = Callable[[VirtualLoop, RecordingObserver], Awaitable[Address]]


def reported(start: StartEmulator, *pieces: bytes) -> list[AdvertisedTimeout]:
    """The timeouts that an emulator reports for these pieces, written `PIECE_GAP_S` apart."""
    observer = RecordingObserver()

    async def work(loop: VirtualLoop) -> None:
        _, writer = await asyncio.open_connection(*await start(loop, observer))
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(PIECE_GAP_S)
        writer.close()

    run_virtual(work)
    return observer.advertised


def at(gaps: int) -> Any:
    """The time at which a piece is written, after so many gaps."""
    return pytest.approx(START_S + gaps * PIECE_GAP_S)


def read(request: bytes, timeout: bytes) -> bytes:
    return command(b"KV.GET", b"key", request, INFO % timeout)


def to_store(method: str, request: bytes, info: bytes, body: bytes | None = None) -> bytes:
    headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (request, info)
    return http.request(method, "/key", "store:1", headers, body)


@pytest.mark.parametrize(
    "data",
    [
        read(b"q", b"250"),
        command(b"KV.SET", b"key", b"q", INFO % b"250", b"value"),
        command(b"KV.MGET", b"2", b"key", b"other", b"q", INFO % b"250"),
    ],
)
def test_node_reports_advertised_timeout_of_command(data: bytes) -> None:
    assert reported(start_node, data) == [AdvertisedTimeout("q", "s0", 250, at(0), at(0))]


def test_node_reports_each_pipelined_read() -> None:
    reports = reported(start_node, read(b"q.0", b"250") + read(b"q.1", b"250") + read(b"q.2", b"249"))
    assert [(report.request, report.timeout_ms) for report in reports] == [
        ("q.0", 250),
        ("q.1", 250),
        ("q.2", 249),
    ]


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_store_reports_advertised_timeout_of_request(method: str) -> None:
    body = b"value" if method == "PUT" else None
    reports = reported(start_store, to_store(method, b"q", INFO % b"250", body))
    assert reports == [AdvertisedTimeout("q", "store", 250, at(0), at(0))]


def test_store_reports_each_request_on_a_connection() -> None:
    first, second = (
        to_store("GET", name, INFO % timeout) for name, timeout in ((b"a", b"250"), (b"b", b"100"))
    )
    reports = reported(start_store, first, second)
    assert [(report.request, report.timeout_ms) for report in reports] == [("a", 250), ("b", 100)]
    assert [report.first_byte_at for report in reports] == [at(0), at(1)]


@pytest.mark.parametrize(
    ("start", "data"),
    [
        (start_node, read(b"q", b"250")),
        (start_node, command(b"KV.SET", b"key", b"q", INFO % b"250", b"value")),
        (start_store, to_store("GET", b"q", INFO % b"250")),
        (start_store, to_store("PUT", b"q", INFO % b"250", b"value")),
    ],
)
def test_first_and_last_byte_times_are_reported_at_any_split(start: StartEmulator, data: bytes) -> None:
    for cut in range(1, len(data)):
        (report,) = reported(start, data[:cut], data[cut:])
        assert (report.timeout_ms, report.first_byte_at, report.last_byte_at) == (250, at(0), at(1)), cut


def test_command_starting_in_anothers_segment_has_own_first_byte_time() -> None:
    one, other = read(b"a", b"250"), read(b"b", b"240")
    both = one + other
    for cut in range(len(one) + 1, len(both)):
        first, second = reported(start_node, one[:5], both[5:cut], both[cut:])
        assert (first.first_byte_at, first.last_byte_at) == (at(0), at(1)), cut
        assert (second.first_byte_at, second.last_byte_at) == (at(1), at(2)), cut


MALFORMED = [b"c=read,t=acme", b"c=read,d=", b"c=read,d=-5", b"c=read,d=2.5", b"c=read,d=1,d=9", b"d 250"]


@pytest.mark.parametrize("info", MALFORMED)
def test_missing_or_malformed_timeout_is_reported_as_none(info: bytes) -> None:
    node, store = command(b"KV.GET", b"key", b"q", info), to_store("GET", b"q", info)
    assert [report.timeout_ms for report in reported(start_node, node)] == [None]
    assert [report.timeout_ms for report in reported(start_store, store)] == [None]


def test_store_request_without_info_header_is_reported() -> None:
    bare = http.request("GET", "/key", "store:1", b"Request-Id: q\r\n")
    assert [report.timeout_ms for report in reported(start_store, bare)] == [None]


def test_probes_report_no_timeout() -> None:
    assert reported(start_node, command(b"PING") + command(b"INFO", b"load")) == []
    assert reported(start_store, http.request("GET", "/health/live", "store:1")) == []


@pytest.mark.parametrize(
    ("info", "timeout"), [(b"d=0", 0), (b"c=x,d=17", 17), (b"d=999999999,k=3", 999999999)]
)
def test_timeout_is_parsed_at_any_position(info: bytes, timeout: int) -> None:
    assert read_advertised_timeout(info) == timeout


def test_names_ending_in_d_and_too_many_digits_are_rejected() -> None:
    assert read_advertised_timeout(b"c=read,id=5,bd=7") is None
    assert read_advertised_timeout(b"d=1234567890") is None
