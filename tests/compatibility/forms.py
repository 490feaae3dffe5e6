"""The one module of these tests that names the program's types and functions.

A rename in the program is followed here and nowhere else in `tests/compatibility`; the frozen bytes and lists
stay as they are. Values are built by decoding frozen bytes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, cast, get_args

import click
import msgspec

from pebblepass import cli
from pebblepass.accounting import fleet, snapshot
from pebblepass.accounting import metrics as accounting_metrics
from pebblepass.accounting.ledger import Breach, BreachKind, Ledger
from pebblepass.accounting.service import AccountingService, make_ledger
from pebblepass.adapter import Adapter
from pebblepass.consensus import messages, records
from pebblepass.consensus import metrics as consensus_metrics
from pebblepass.consensus.actions import ChangeStep, ProposalConcluded, Send, Write
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import (
    NamespacePolicy,
    Policy,
    PolicyChecker,
    PolicyFile,
    StorePolicy,
    read_policy,
)
from pebblepass.consensus.replica import Replica
from pebblepass.consensus.reports import history, status
from pebblepass.consensus.service import FILE, FORMAT, VERSION, ServiceCallbacks, open_log
from pebblepass.consensus.setup import ReplicaSetup, genesis
from pebblepass.control.control_server import ControlServer, ControlSources
from pebblepass.control.counters import Counters
from pebblepass.daemon.config import load_config
from pebblepass.decisions import ServerState, interface
from pebblepass.decisions.settings import read_settings
from pebblepass.discovery.endpoint_list import ClockOffset, encode_endpoint_list, parse_endpoint_list
from pebblepass.emulators.ports import take_port
from pebblepass.handover import errors as handover_errors
from pebblepass.handover import messages as handover
from pebblepass.handover import router_snapshot
from pebblepass.handover.listener import SOCKET_NAME
from pebblepass.operator_config import AccountingSection, describe, load_operator
from pebblepass.peers import links
from pebblepass.scale.figures import Snapshot, change_figures, figures_by_role
from pebblepass.scale.hollow import CountingService
from pebblepass.scale.plan import Plan as ScalePlan
from pebblepass.scale.run import play as play_scale
from pebblepass.simulation.clairvoyant_bound import clairvoyant_bound
from pebblepass.simulation.plan import make_plan
from pebblepass.simulation.recovery import compare_to_references
from pebblepass.simulation.report import as_json, compare
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import load_scenario
from pebblepass.storage.disk import Directory
from pebblepass.storage.frames import FileHeader, StorageError, encode_frame, read_frames
from pebblepass.storage.log import Log
from tests.compatibility.checks import Form

# Messages between routers, and records of the consensus log

MESSAGE_BODIES: tuple[type[msgspec.Struct], ...] = get_args(messages.Body)
RECORDS: tuple[type[msgspec.Struct], ...] = get_args(records.Record)
MESSAGE_PARTS: tuple[type[msgspec.Struct], ...] = (
    messages.Sender,
    messages.Value,
    messages.Fleet,
    messages.Proposal,
    messages.Verdict,
    Policy,
    StorePolicy,
    NamespacePolicy,
)
MESSAGE = Form(messages.read_message, messages.encode)
RECORD = Form(records.read_record, messages.encode)
HELLO_TYPE: type[msgspec.Struct] = links.Hello
LINK_VERSION = links.VERSION


def policy_file(data: bytes) -> PolicyFile:
    """A policy file to propose."""
    return read_policy("policy", data)


def body_of(message: Any) -> msgspec.Struct:
    """The body of a decoded message."""
    body: msgspec.Struct = message.body
    return body


def sender_of(message: Any) -> msgspec.Struct:
    """The sender of a decoded message."""
    sender: msgspec.Struct = message.sender
    return sender


def message_form(sender: type[msgspec.Struct], body: type[msgspec.Struct]) -> Form:
    """The form of messages with a sender and a body of these types."""
    kind = msgspec.defstruct("Message", [("sender", sender), ("body", body)])
    return struct_form(kind)


def struct_form(kind: type[msgspec.Struct]) -> Form:
    """The form of one struct as MessagePack."""
    return Form(msgspec.msgpack.Decoder(kind).decode, messages.encode)


def hello_form(kind: type[msgspec.Struct]) -> Form:
    """The first message of a link, as it travels."""
    return Form(lambda data: msgspec.msgpack.decode(data[4:], type=kind), _framed_hello)


def _framed_hello(hello: Any) -> bytes:
    return links.framed(messages.encode(hello))


async def counted_kinds(frozen: list[bytes]) -> list[str]:
    """The kinds under which the runs of scale count these messages in their figures."""
    loop, origin = asyncio.get_running_loop(), genesis({"r1": "127.0.0.1:1"}, ["r1"])
    setup = ReplicaSetup("r2", "boot-2", LeaseTerms(10**9, 0.1), origin, lambda *_: "", "")
    service = CountingService(
        loop, lambda: NOW, setup, "fleet-1", None, ServiceCallbacks(lambda _: None, lambda _: None)
    )
    service._carry_out([Send("r1", MESSAGE.read(data)) for data in frozen])
    service.close()
    return [kind.removesuffix(" r") for kind in service.kinds]


# Logs

LOG_HEAD = FileHeader(FORMAT, VERSION, "fleet-1/router-2")
LOG_FILE = FILE
LogError = StorageError


def open_raw_log(folder: Path) -> tuple[list[bytes], int]:
    """The records of a folder's log, and the bytes that were cut off its end; raises LogError."""
    log = Log(Directory(folder), LOG_FILE, LOG_HEAD)
    records = log.open()
    assert records is not None
    return records, log.truncated_bytes


def write_raw_log(folder: Path, batches: list[list[bytes]]) -> None:
    """Begin a log with the first batch of records, and add the others."""
    log = Log(Directory(folder), LOG_FILE, LOG_HEAD)
    log.write_snapshot(batches[0])
    for batch in batches[1:]:
        log.append(batch)


def log_frames(data: bytes) -> list[bytes]:
    """The contents of a log's frames."""
    return read_frames(data).contents


def framed(content: bytes) -> bytes:
    """A frame with this content, and the checksum that belongs to it."""
    return encode_frame(content)


def open_voters_log(folder: Path) -> list[bytes]:
    """The records of a voter's folder, each of them decoded and encoded again."""
    records = open_log(Directory(folder), "fleet-1", "router-2").records
    return [RECORD.write(record) for record in records or []]


# Handover

NOW = 1_000_000_000_000
_UNIX = 1_700_000_000_000_000_000
CLOCK = ClockOffset(NOW, _UNIX)
HANDOVER_MESSAGE = Form(handover.decode, handover.encode)
HANDOVER_ACCOUNT = Form(
    lambda data: router_snapshot.decode_snapshot(data, NOW, CLOCK.monotonic),
    lambda account: router_snapshot.encode_snapshot(account, CLOCK.unix_ms),
)
HandoverError = handover_errors.HandoverError
HANDOVER_SOCKET = SOCKET_NAME
"""The name of the socket at which the two processes meet."""


def account_parts(account: bytes) -> list[bytes]:
    """The messages in which an account travels."""
    return [handover.encode(chunk) for chunk in handover.split_snapshot(account)]


# Accounting

ROUTER = "router-2"


def _write_snapshot(held: Any) -> bytes:
    told = msgspec.to_builtins(held)
    return snapshot.encode(
        told["router"],
        told["epoch"],
        told["written_unix_ns"],
        told["closing"],
        told["breaches"],
        told["figures"],
    )


SNAPSHOT = Form(lambda data: snapshot.decode(data, ROUTER), _write_snapshot)
SNAPSHOT_TYPES: tuple[type[msgspec.Struct], ...] = (snapshot.Snapshot, snapshot.Row)


def snapshot_form(kind: type[msgspec.Struct]) -> Form:
    """Snapshots read as a struct of this type."""
    return Form(
        msgspec.json.Decoder(kind).decode, lambda held: msgspec.json.encode(msgspec.to_builtins(held)) + b"\n"
    )


def carried(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The rows of a ledger that has opened with these."""
    return _ledger(rows).export_rows()


def _ledger(rows: list[dict[str, Any]]) -> Ledger:
    ledger = make_ledger(settings())
    ledger.import_rows(rows)
    return ledger


def accounting_exposition(rows: list[dict[str, Any]]) -> str:
    """The page of metrics of a ledger with these rows."""
    return accounting_metrics.exposition(_ledger(rows).cut()).decode()


def cuts_table(lines: list[bytes]) -> str:
    """The table of cuts that were collected, as CSV."""
    return fleet.as_csv(fleet.sum_cuts(fleet.read_cuts(lines)))


def breach() -> dict[str, Any]:
    """A breach as it is told to operators."""
    return Breach(3, BreachKind.NEVER_CLOSED, 5, "request-7", "get", "acme", "resp").as_dict()


BREACH_KINDS = [kind.value for kind in BreachKind]


async def accounting_pages(folder: Path, rows: list[dict[str, Any]]) -> dict[str, bytes]:
    """What the ledger's listener answers to each call, and the names of the files that it keeps."""
    loop = asyncio.get_running_loop()
    section = AccountingSection(listen=f"127.0.0.1:{take_port()}", directory=str(folder))
    service = AccountingService(loop, section, ROUTER, settings(), lambda: _UNIX, "epoch-5")
    service.ledger.import_rows(rows)
    service.ledger.record_disconnected("request-8", 9)
    address = await service.start(lambda: 0, tuple)
    assert address is not None
    told = {}
    for call in ("GET /figures", "GET /metrics", "POST /breaches/acknowledge?through=1", "GET /other"):
        told[call] = await http_call(address, call)
    service.stop(closing=True)
    return told


async def http_call(address: tuple[str, int], call: str) -> bytes:
    """The status and the body of one call."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return head.split(b" ", 2)[1] + b"\n" + body


# The simulator's wire

ACTIONS = (
    interface.Send("q1", "s1", 11, 12),
    interface.Reject("q2", 13),
    interface.Fail("q3"),
    interface.SetTimer(14, "timer-2"),
    interface.Subscribe(),
    interface.HealthCheck("s2"),
)


class AdapterRecorder:
    """An adapter whose router notes each event that it is given, and answers with every kind of action."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.orders: list[Any] = []
        self._adapter = Adapter()
        self._adapter._routers[3] = cast(Any, self)

    def handle(self, event: Any, now: int) -> tuple[Any, ...]:
        """In the router's place."""
        self.events.append(event)
        return ACTIONS

    def feed(self, lines: bytes) -> AdapterRecorder:
        """Deliver events, one a line; raises WireError."""
        for line in lines.splitlines():
            batch = b'{"nowNs":1,"groups":[{"router":3,"in":[' + line + b"]}]}"
            self.orders = msgspec.json.decode(self._adapter.answer(batch))["groups"][0]["orders"]
        return self


# The operator's file, and the platform's

FACTS = json.loads((Path(__file__).parent / "frozen" / "settings.json").read_text())


def settings(facts: dict[str, Any] | None = None) -> Any:
    """The settings of the platform's object, by default of the frozen one."""
    return read_settings(FACTS if facts is None else facts)


def config(folder: Path, told: Any, environ: Mapping[str, str]) -> Any:
    """The configuration of a router whose file holds this."""
    file = folder / "config.json"
    file.write_bytes(msgspec.json.encode(told))
    return load_config({"LB_CONFIG": str(file), **environ})


def operator_lines(file: Path) -> list[str]:
    """Every key of an operator's file that is in force, and its value."""
    return [f"{name} = {value!r}" for name, value, _ in describe(load_operator(file))]


# Discovery


def listing(data: bytes) -> Any:
    """A list of servers, in the reader's own terms."""
    return parse_endpoint_list(msgspec.json.decode(data), CLOCK)


def rewritten_listing(data: bytes) -> bytes:
    """A list of servers as one router tells it to another."""
    read = listing(data)
    ready = [server for server in read.change.servers if server.state is ServerState.READY]
    return msgspec.json.encode(encode_endpoint_list(read.generation, ready, read.addresses, CLOCK))


# The command


def command_names(command: click.Command = cli.main, name: str = "pebblepass") -> Iterator[str]:
    """Every verb, its arguments and its options, of a command and all below it."""
    yield name
    for parameter in command.params:
        for option in (*parameter.opts, *parameter.secondary_opts):
            yield f"{name} {option}"
    if isinstance(command, click.Group):
        context = click.Context(command)
        for verb in command.list_commands(context):
            below = command.get_command(context, verb)
            assert below is not None
            yield from command_names(below, f"{name} {verb}")


# A fleet's own metrics, and what its routers tell of themselves


def fleet_exposition() -> str:
    """The page of metrics of a router in a fleet."""
    told = consensus_metrics.FleetMetrics(3, True, 2, {"decided": 5}, {"messages": 7}, {"no hello": 9})
    return consensus_metrics.exposition(told).decode()


class LoneVoter:
    """A fleet of one router, moved by hand until a proposed policy is in force."""

    def __init__(self, proposal: bytes) -> None:
        checker = PolicyChecker(settings())
        origin = genesis({"r1": "127.0.0.1:1"}, ["r1"])
        terms = LeaseTerms(1_000_000_000, 0.1)
        setup = ReplicaSetup("r1", "boot-1", terms, origin, checker.check, "disk-1", 1, checker.pools, dict)
        self.now, self.concluded = NOW, False
        self.steps: dict[str, None] = {}
        self._replica = Replica(setup, None, self.now)
        self._carry_out(self._replica.start(self.now))
        self._run()
        wanted = msgspec.msgpack.decode(proposal, type=messages.Proposal)
        self._carry_out(self._replica.propose(wanted, self.now))
        self._run()

    def _run(self) -> None:
        for _ in range(200):
            self.now = max(self._replica.due(self.now), self.now + 1)
            self._carry_out(self._replica.tick(self.now))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Write):
                self._carry_out(self._replica.written(action.token, self.now))
            elif isinstance(action, ProposalConcluded):
                self.concluded = True
            elif isinstance(action, ChangeStep):
                self.steps[action.event] = None

    def status(self) -> dict[str, Any]:
        """What operators are told of it."""
        return status(self._replica, self.now)

    def history(self) -> list[dict[str, Any]]:
        """Its versions."""
        return history(self._replica)


# The control address


def counter_lines() -> list[str]:
    """The platform's counters."""
    return Counters(["get", "put"]).lines(11, 12, 13)


async def control_pages() -> dict[str, bytes]:
    """What the control address answers to each call, when the router is ready and when it is not."""
    ready = [True]
    sources = ControlSources(lambda: ready[0], counter_lines)
    control = ControlServer(asyncio.get_running_loop(), sources)
    address = await control.listen(("127.0.0.1", 0))
    pages = {
        call: await http_call(address, call)
        for call in ("GET /control/ready", "GET /control/counters", "POST /control/ready", "GET /control/x")
    }
    ready[0] = False
    pages["GET /control/ready, not ready"] = await http_call(address, "GET /control/ready")
    control.close()
    return pages


# Reports


def simulation_report(scenario: Path) -> dict[str, Any]:
    """The report of a scenario, with the part on recovery; twice the same run stands for its calm twin."""
    plan = make_plan(load_scenario(str(scenario)), 3)
    report = rehearse(plan)
    report["recovery"] |= compare_to_references(report, report, plan, clairvoyant_bound(plan))
    report["compared"] = compare(report, report)
    written: dict[str, Any] = msgspec.json.decode(as_json(report))
    return written


def scale_figures() -> dict[str, Any]:
    """The figures of two looks at a fleet: the plan, what each role did, and what a change cost."""
    plan = ScalePlan(3, voters=1, full=1)
    names = ("empty", "hollow0", "f0000", "lone0", "c0")
    seen = {
        name: {"r0000": 1, "f0000": 2} for name in ("messages_in", "messages_out", "bytes_in", "bytes_out")
    }
    told = {"c0": {**seen, "kinds": {"Grant r": 3, "Learn f": 4, "Renew c": 5}, "connections": 6, "pid": 7}}
    before = Snapshot(1.0, dict.fromkeys(names, 1.0), dict.fromkeys(names, 2.0), {})
    after = Snapshot(5.0, dict.fromkeys(names, 3.0), dict.fromkeys(names, 4.0), told)
    roles = figures_by_role(plan, before, after)
    changes = change_figures(plan, before, after, [[1.0, 2.0, 3.0]], roles)
    return {"plan": msgspec.to_builtins(plan), "roles": roles, "changes": changes}


def scale_run(folder: Path) -> dict[str, Any]:
    """The figures that a run of two routers at a control machine has written."""
    plan = ScalePlan(2, voters=1, full=1, lease_ms=500, window_s=0.5, changes=1, patience_s=60.0)
    play_scale(plan, folder, lambda _: None)
    written: dict[str, Any] = msgspec.json.decode((folder / "figures.json").read_bytes())
    return written
