"""Complete rehearsals: reproducible reports, every broken rule detected, every request counted."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from pebblepass.accounting.ledger import Ledger
from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.reply import Reply
from pebblepass.daemon.router import RouterHost
from pebblepass.decisions.interface import Send, ServerState
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.emulators.ports import BLOCK_SIZE, FIRST_PORT, PortBlock
from pebblepass.simulation import runner
from pebblepass.simulation.network import CountedSocket, Network
from pebblepass.simulation.plan import make_plan
from pebblepass.simulation.report import as_json, compare, verdict
from pebblepass.simulation.request_counts import OUTCOMES
from pebblepass.simulation.runner import RehearsalError, rehearse
from pebblepass.simulation.scenario import (
    DEFAULT_CLASSES,
    Disturbance,
    Fault,
    Fleet,
    Node,
    Range,
    RequestClass,
    Scenario,
    Store,
    Traffic,
    load_scenario,
)
from tests.processes import ending, kill_processes_with, spawn

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND_TIMEOUT_S = 120  # of real time, for one command on a busy machine

ALL_DISTURBANCES = (
    Disturbance(kind="burst", at_s=2, for_s=8, share=Range(0.5, 0.5)),
    Disturbance(kind="invalidation", at_s=4, share=Range(0.74, 0.74)),
    Disturbance(kind="one-time", at_s=3, for_s=7, share=Range(0.2, 0.2)),
    Disturbance(kind="skew", at_s=3, for_s=7, share=Range(0.25, 0.25)),
)


def small(**changes: Any) -> Scenario:
    scenario = Scenario(
        title="small",
        length_s=12,
        fleet=Fleet(routers=2, nodes=8),
        traffic=Traffic(rate=60, swing=0),
    )
    return msgspec.structs.replace(scenario, **changes)


def healthy(faults: tuple[Fault, ...]) -> Scenario:
    """Return a scenario of fast nodes with copies of all keys, and these faults."""
    reads = RequestClass(
        name="read", share=1.0, work_ms=Range(1.4, 1.6), aim_ms=1000, deadline_ms=3000, worth=1
    )
    node = Node(
        speed=Range(1, 1),
        slots=Range(64, 64),
        queue=Range(1000, 1000),
        thrash_at=Range(1000, 1000),
        pause_ms=Range(0, 0),
        error_rate=0,
    )
    return small(
        node=node,
        store=Store(capacity=Range(200, 200), work_ms=Range(5, 5), queue=Range(500, 500), error_rate=0),
        classes=(reads,),
        traffic=Traffic(rate=300, swing=0, keys=20, pooled_hits=Range(0.99, 0.99)),
        faults=faults,
    )


def broken_rules(report: dict[str, Any]) -> list[str]:
    return [rule for rule, result in report["rules"].items() if not result["held"]]


def start_command(*arguments: str, **environ: str) -> subprocess.Popen[bytes]:
    return spawn(
        [sys.executable, "-m", "pebblepass.cli", "rehearse", *arguments],
        cwd=ROOT,
        env={**os.environ, **environ},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


@contextlib.contextmanager
def busy_cores() -> Iterator[None]:
    """Keep every core busy with a loop."""
    processes = [
        subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(os.cpu_count() or 1)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def test_same_seed_gives_identical_reports_on_idle_and_busy_machine(tmp_path: Path) -> None:
    def run_five(first: int) -> list[bytes]:
        files = [tmp_path / f"{number}.json" for number in range(first, first + 5)]
        started = [
            start_command("broken-parts", "--seed", "7", "--report", str(file), PYTHONHASHSEED=str(index))
            for index, file in enumerate(files)
        ]
        for process in started:
            _, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
            assert process.returncode == 0, error
        return [file.read_bytes() for file in files]

    idle_reports = run_five(0)
    with busy_cores():
        busy_reports = run_five(5)
    assert set(idle_reports) == set(busy_reports)
    assert len(set(idle_reports)) == 1


def test_connections_of_other_processes_change_no_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a rehearsal that never ends: another program connects to each of its listeners."""
    plan = make_plan(small(faults=(Fault(kind="router-kill", at_s=3, place=0),)), 3)
    undisturbed = as_json(rehearse(plan))
    strangers: list[socket.socket] = []
    connect = Network.connect

    def connect_among_strangers(network: Network, client: CountedSocket, address: tuple[str, int]) -> None:
        if address in network.listeners:
            strangers.append(socket.create_connection(address))
        connect(network, client, address)
        strangers.append(socket.create_connection(address))
        # Every other stranger stays, and the others close at once.
        for stranger in strangers[:-1:2]:
            stranger.close()

    monkeypatch.setattr(Network, "connect", connect_among_strangers)
    disturbed = as_json(rehearse(plan))
    for stranger in strangers:
        stranger.close()
    assert len(strangers) > 100
    assert disturbed == undisturbed


def test_connection_that_ends_early_is_a_rehearsal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a rehearsal that reads the end of a stream again and again."""
    monkeypatch.setattr(socket.socket, "recv", lambda *_: b"")
    with pytest.raises(
        RehearsalError, match=r"^the rehearsal was ended: a connection ended \d+ bytes early$"
    ):
        rehearse(make_plan(small(), 3))


def test_different_seeds_give_different_reports() -> None:
    reports = [rehearse(make_plan(small(), seed)) for seed in (1, 2)]
    assert reports[0]["trace"] != reports[1]["trace"]
    assert reports[0]["plan"] != reports[1]["plan"]


def test_every_request_is_counted_under_all_disturbances() -> None:
    plan = make_plan(small(disturbances=ALL_DISTURBANCES), 3)
    report = rehearse(plan)
    assert verdict(report) == []
    total: Counter[str] = Counter()
    for classes in report["tries"].values():
        for tally in classes.values():
            assert tally["asked"] == sum(tally[outcome] for outcome in OUTCOMES)
            total.update(tally)
    assert total["served"] > 100
    assert total["refused"] > 100  # the disturbances had an effect
    routers: Counter[str] = Counter()
    for tally in report["routers"].values():
        routers.update(tally)
    assert routers == total
    assert total["asked"] >= len(plan.operations)


def test_disturbances_reduce_service() -> None:
    undisturbed = rehearse(make_plan(small(), 3))
    disturbed = rehearse(make_plan(small(disturbances=ALL_DISTURBANCES), 3))
    assert disturbed["service"]["weighted"] < undisturbed["service"]["weighted"] - 0.05


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_under_one_fault_after_another(seed: int) -> None:
    report = rehearse(make_plan(load_scenario("broken-parts"), seed))
    assert verdict(report) == []
    assert len(report["events"]) == 16


OVERLAPPING_FAULTS = (
    Fault(kind="clients-leave", at_s=1, for_s=9, share=0.5),
    Fault(kind="router-kill", at_s=4, place=0),
    Fault(kind="node-drain", at_s=3),
    Fault(kind="router-term", at_s=7, place=1),
)


def test_rules_hold_under_overlapping_faults_with_long_values() -> None:
    scenario = small(
        faults=OVERLAPPING_FAULTS,
        traffic=Traffic(rate=40, swing=0, value_bytes=Range(70_000, 150_000)),
    )
    report = rehearse(make_plan(scenario, 5))
    assert verdict(report) == []
    total: Counter[str] = Counter()
    for tally in report["routers"].values():
        total.update(tally)
    assert total["gone"] > 20
    assert total["killed"] + total["unreached"] > 0
    assert total["served"] > 100


# Routers that break one rule each, to show that the check of the rule can fail.

ORDER = RequestClass(
    name="order",
    share=0.1,
    work_ms=Range(40, 60),
    aim_ms=500,
    deadline_ms=1200,
    worth=5,
    effect="unsafe",
    write=True,
)
FETCH = msgspec.structs.replace(DEFAULT_CLASSES[0], share=0.9)


class IgnoresDrains(RouterHost):
    """Ignores that a server drains or is removed."""

    def servers_changed(self, listing: EndpointList) -> bool:
        ready = tuple(s for s in listing.change.servers if s.state is ServerState.READY)
        return super().servers_changed(replace(listing, change=replace(listing.change, servers=ready)))


class AnswersTwice(RouterHost):
    """Writes a second answer after the first."""

    def forget_if_settled(self, request: OpenRequest) -> None:
        if request.closed and not request.attempts_in_flight and request.id in self._requests:
            assert isinstance(request.reply, Reply)
            request.reply._connection.write(b"-ERR and again\r\n")
        super().forget_if_settled(request)


class RepeatsWrites(RouterHost):
    """Sends every write twice."""

    def _send(self, action: Send) -> None:
        super()._send(action)
        request = self._requests.get(action.request)
        if request is not None and request.command.value is not None and request.attempts == 1:
            super()._send(action)


class OverloadsNewServers(RouterHost):
    """Sends every read to the server that started last."""

    newest = ""

    def servers_changed(self, listing: EndpointList) -> bool:
        accepted = super().servers_changed(listing)
        for server in listing.change.servers:
            if server.started and server.state is ServerState.READY:
                self.newest = server.id
        return accepted

    def _send(self, action: Send) -> None:
        if self.newest and action.server not in self._origins:
            action = Send(action.request, self.newest, action.timeout)
        super()._send(action)


class DropsAnswers(RouterHost):
    """Leaves every tenth request unanswered."""

    answers = 0

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        self.answers += 1
        if self.answers % 10:
            super()._answer(request_id, data, refused, failed)


def daemon_with_host(host: type[RouterHost]) -> type[Daemon]:
    class FaultyDaemon(Daemon):
        host_class = host

    return FaultyDaemon


FAULTY_HOSTS = [
    (IgnoresDrains, "drains kept", small(faults=(Fault(kind="node-drain", at_s=2, place=0),))),
    (AnswersTwice, "every request answered", small()),
    (DropsAnswers, "every request answered", small(disturbances=ALL_DISTURBANCES)),
    (RepeatsWrites, "no effect twice", small(classes=(FETCH, ORDER))),
    (
        OverloadsNewServers,
        "no cold node pushed over",
        small(
            fleet=Fleet(routers=2, nodes=8, told_s=Range(0.5, 0.6)),
            node=Node(miss_work=1.0, queue=Range(4, 4)),
            traffic=Traffic(rate=250, swing=0),
            faults=(Fault(kind="node-restart", at_s=2, for_s=0.5, place=0),),
        ),
    ),
]


@pytest.mark.parametrize(("host", "rule", "scenario"), FAULTY_HOSTS)
def test_router_that_breaks_one_rule_fails_by_that_rule_alone(
    host: type[RouterHost], rule: str, scenario: Scenario
) -> None:
    plan = make_plan(scenario, 3)
    assert broken_rules(rehearse(plan)) == []
    report = rehearse(plan, make=daemon_with_host(host))
    assert broken_rules(report) == [rule]
    assert verdict(report)[0].startswith(f"rule broken: {rule}")


def test_exception_in_the_daemon_fails_the_rehearsal() -> None:
    class RaisesOnDisconnect(RouterHost):
        def client_disconnected(self, reply: Any) -> None:
            raise ZeroDivisionError("injected fault")

    scenario = small(faults=(Fault(kind="clients-leave", at_s=1, for_s=9, share=0.2),))
    report = rehearse(make_plan(scenario, 3), make=daemon_with_host(RaisesOnDisconnect))
    assert any("injected fault" in line for line in report["crashes"])
    assert any(line.startswith("crashed") for line in verdict(report))


@pytest.mark.parametrize("pause_ms", [20, 50, 100])
def test_blocked_event_loop_causes_no_second_attempt(pause_ms: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers that arrive while the router's event loop is blocked must not count as late."""
    stalls = tuple(
        Fault(kind="router-stall", at_s=1 + number / 7, for_s=pause_ms / 1000, place=0)
        for number in range(40)
    )
    outcomes: list[str] = []
    record_attempt = Ledger.record_attempt

    def record_outcome(self: Ledger, cls: str, namespace: str | None, outcome: str, to_origin: bool) -> None:
        outcomes.append(outcome)
        record_attempt(self, cls, namespace, outcome, to_origin)

    monkeypatch.setattr(Ledger, "record_attempt", record_outcome)
    report = rehearse(make_plan(healthy(stalls), 3))
    assert verdict(report) == []
    assert set(outcomes) <= {"ok", "miss"}  # no attempt timed out, so none was repeated
    for tally in report["tries"].values():
        assert tally["read"]["served"] == tally["read"]["asked"] > 1000


def test_port_in_use_raises_rehearsal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        monkeypatch.setattr(runner, "take_port", lambda: other.getsockname()[1])
        with pytest.raises(RehearsalError, match=r"r0 can't listen at .* in use"):
            rehearse(make_plan(small(), 1))


def test_processes_take_ports_from_different_blocks() -> None:
    """Holds also while no socket listens on them, as between a router's end and its next start."""
    script = "from pebblepass.emulators import ports; print(ports.take_port(), flush=True); input()"
    command = [sys.executable, "-c", script]
    processes = [
        subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for _ in range(2)
    ]
    blocks = {
        (int(p.stdout.readline()) - FIRST_PORT) // BLOCK_SIZE for p in processes if p.stdout is not None
    }
    own_block = PortBlock()
    assert len({*blocks, (own_block.take() - FIRST_PORT) // BLOCK_SIZE}) == 3
    for process in processes:
        process.communicate(b"\n", timeout=COMMAND_TIMEOUT_S)


def test_port_with_a_listener_is_skipped() -> None:
    block = PortBlock()
    first = block.take()
    with socket.create_server(("127.0.0.1", first + 1)):
        assert block.take() == first + 2


def test_compare_returns_only_different_figures() -> None:
    undisturbed, disturbed = (rehearse(make_plan(small(disturbances=d), 3)) for d in ((), ALL_DISTURBANCES))
    assert compare(undisturbed, undisturbed) == {}
    figures = compare(undisturbed, disturbed)
    assert figures["service weighted"] == (
        undisturbed["service"]["weighted"],
        disturbed["service"]["weighted"],
    )


def test_report_contains_no_addresses_or_paths() -> None:
    text = as_json(rehearse(make_plan(small(), 1))).decode()
    assert "127.0.0.1" not in text
    assert os.fspath(ROOT) not in text


# The command


def test_release_morning_writes_report_and_exits_with_0(tmp_path: Path) -> None:
    page, file = tmp_path / "a.html", tmp_path / "a.json"
    process = start_command("release-morning", "--seed", "7", "--report", str(file), "--html", str(page))
    out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode == 0, error
    assert b"public" in out
    assert b"municipal" in out
    assert b"\x1b" not in out  # no escape sequences where the output is not a terminal
    assert page.read_text().count("<svg") == 10
    assert "<script" not in page.read_text()
    assert "http" not in page.read_text()
    assert msgspec.json.decode(file.read_bytes())["service"]["weighted"] > 0.3


INVALID_SCENARIOS = [
    ("title = 'x'\nlength_s = 3\nspeed = 1", "speed: unknown key"),
    ("title = 'x'\nlength_s = 3\n[traffic]\nrate = -1", "traffic.rate: expected `float` > 0.0"),
    (
        "title = 'x'\nlength_s = 3\n[[trouble]]\nkind = 'burst'\nat_s = 4",
        "trouble[0]: burst at 4 s comes after the end at 3 s",
    ),
    ("title = 'x'\nlength_s = 3\n[[fault]]\nkind = 'rain'\nat_s = 1", "fault[0].kind: invalid enum value"),
    ("title = 'x'\nlength_s = 3\n[node]\nspeed = [2, 1]", "node: speed: the least must come before the most"),
    ("title = 'x'\nlength_s = 3\n[[fault]]\nkind = 'node-kill'\nat_s = 1\nplace = 99", "fault[0]: there are"),
    (
        "title = 'x'\nlength_s = 3\n[[namespace]]\nname = 'a'\nshare = 0.5",
        "the shares of [[namespace]] must add up to 1",
    ),
    ("title = ", "not TOML"),
]


@pytest.mark.parametrize(("text", "message"), INVALID_SCENARIOS)
def test_invalid_scenario_prints_one_line_and_exits_with_2(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(text)
    process = start_command(str(file))
    out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode == 2
    assert out == b""
    assert error.decode().startswith(f"pebblepass: {file}: {message}")
    assert len(error.splitlines()) == 1


@pytest.mark.parametrize(
    "arguments", [("nowhere",), ("quiet", "--report", "/nowhere/a.json"), ("quiet", "--seed", "-1")]
)
def test_wrong_usage_exits_with_2(arguments: tuple[str, ...]) -> None:
    process = start_command(*arguments)
    out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode == 2
    assert out == b""
    assert error


def test_sigint_ends_the_run_and_prints_partial_report() -> None:
    process = start_command("release-morning", "--nodes", "40", "--rate", "2000")
    with ending(process):
        assert process.stderr is not None
        assert b"playing" in process.stderr.readline()
        process.send_signal(signal.SIGINT)
        out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode == 130, error
    assert b"(interrupted)" in out
    assert b"Traceback" not in error


# Real time: routers in processes of their own


def test_real_time_run_balances_and_leaves_no_process(tmp_path: Path) -> None:
    file, scenario = tmp_path / "a.json", tmp_path / "short.toml"
    scenario.write_text(SHORT)
    process = start_command(
        str(scenario), "--real-time", "--seed", "3", "--report", str(file), TMPDIR=str(tmp_path)
    )
    _, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode in (0, 1), error  # 1: on a busy machine answers may be late
    report = msgspec.json.decode(file.read_bytes())
    assert report["plan"] == make_plan(load_scenario(str(scenario)), 3).digest()
    assert report["balance"] == report["crashes"] == []
    assert report["clock"] == "real"
    assert report["figures"] == {"compared": ["r0", "r1", "r2"], "differences": []}
    assert all(16 << 10 < peak < 192 << 10 for peak in report["peak_memory_kb"].values())
    assert router_processes_in(tmp_path) == []


def test_sigint_in_real_time_leaves_no_process(tmp_path: Path) -> None:
    process = start_command("quiet", "--real-time", TMPDIR=str(tmp_path))
    try:
        with ending(process):
            assert process.stderr is not None
            assert b"playing" in process.stderr.readline()
            assert len(router_processes_in(tmp_path)) == 3
            process.send_signal(signal.SIGINT)
            out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
        assert process.returncode == 130, error
        assert b"(interrupted)" in out
        assert router_processes_in(tmp_path) == []
    finally:
        kill_processes_with("TMPDIR", str(tmp_path))


def test_router_above_its_memory_limit_is_killed_and_reported(tmp_path: Path) -> None:
    scenario = tmp_path / "tight.toml"
    scenario.write_text(SHORT + "[fleet]\nmemory_mb = 16\n")
    process = start_command(str(scenario), "--real-time", TMPDIR=str(tmp_path))
    out, error = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode in (1, 2)
    assert "MB of 16" in out.decode() + error.decode()


SHORT = "title = 'short'\nlength_s = 3\n[traffic]\nrate = 40\n"


def router_processes_in(folder: Path) -> list[str]:
    """Return the processes of routers whose configuration is in this folder."""
    found = []
    for entry in Path("/proc").glob("[0-9]*/environ"):
        with contextlib.suppress(OSError):
            if f"LB_CONFIG={folder}".encode() in entry.read_bytes():
                found.append(entry.parent.name)
    return found
