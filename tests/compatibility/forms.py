"""The only module of these tests that imports the program's types and functions.

When the program renames one, only this module changes in `tests/compatibility`; the frozen files stay as they
are. Values are built by decoding frozen bytes.
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
from tests.compatibility.checks import Codec

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
MESSAGE = Codec(messages.read_message, messages.encode)
RECORD = Codec(records.read_record, messages.encode)
HELLO_TYPE: type[msgspec.Struct] = links.Hello
LINK_VERSION = links.VERSION


def policy_file(data: bytes) -> PolicyFile:
    """Decode a policy file for a proposal."""
    return read_policy("policy", data)


def body_of(message: Any) -> msgspec.Struct:
    """Return the body of a decoded message."""
    body: msgspec.Struct = message.body
    return body


def sender_of(message: Any) -> msgspec.Struct:
    """Return the sender of a decoded message."""
    sender: msgspec.Struct = message.sender
    return sender


def message_codec(sender: type[msgspec.Struct], body: type[msgspec.Struct]) -> Codec:
    """Return the codec of messages with a sender and a body of these types."""
    kind = msgspec.defstruct("Message", [("sender", sender), ("body", body)])
    return struct_codec(kind)


def struct_codec(kind: type[msgspec.Struct]) -> Codec:
    """Return the MessagePack codec of one struct type."""
    return Codec(msgspec.msgpack.Decoder(kind).decode, messages.encode)


def hello_codec(kind: type[msgspec.Struct]) -> Codec:
    """Return the codec of a link's first message, with its length prefix."""
    return Codec(lambda data: msgspec.msgpack.decode(data[4:], type=kind), _framed_hello)


def _framed_hello(hello: Any) -> bytes:
    return links.framed(messages.encode(hello))


async def counted_kinds(frozen: list[bytes]) -> list[str]:
    """Return the kinds under which the scale runs count these messages."""
    loop, origin = asyncio.get_running_loop(), genesis({"r1": "127.0.0.1:1"}, ["r1"])
    setup = ReplicaSetup("r2", "boot-2", LeaseTerms(10**9, 0.1), origin, lambda *_: "", "")
    service = CountingService(
        loop, lambda: NOW, setup, "fleet-1", None, ServiceCallbacks(lambda _: None, lambda _: None)
    )
    service._carry_out([Send("r1", MESSAGE.read(data)) for data in frozen])
    service.close()
    return [kind.removesuffix(" r") for kind in service.kinds]


# Logs

LOG_HEADER = FileHeader(FORMAT, VERSION, "fleet-1/router-2")
LOG_FILE = FILE
LogError = StorageError


def open_raw_log(folder: Path) -> tuple[list[bytes], int]:
    """Return the records of a folder's log, and the bytes truncated from its end; raises LogError."""
    log = Log(Directory(folder), LOG_FILE, LOG_HEADER)
    records = log.open()
    assert records is not None
    return records, log.truncated_bytes


def write_raw_log(folder: Path, batches: list[list[bytes]]) -> None:
    """Start a log with the first batch of records, and append the others."""
    log = Log(Directory(folder), LOG_FILE, LOG_HEADER)
    log.write_snapshot(batches[0])
    for batch in batches[1:]:
        log.append(batch)


def log_frames(data: bytes) -> list[bytes]:
    """Return the contents of a log's frames."""
    return read_frames(data).contents


def framed(content: bytes) -> bytes:
    """Return a frame with this content and its checksum."""
    return encode_frame(content)


def open_voters_log(folder: Path) -> list[bytes]:
    """Return the records of a voter's folder, each decoded and encoded again."""
    records = open_log(Directory(folder), "fleet-1", "router-2").records
    return [RECORD.write(record) for record in records or []]


# Handover

NOW = 1_000_000_000_000
_UNIX = 1_700_000_000_000_000_000
CLOCK = ClockOffset(NOW, _UNIX)
HANDOVER_MESSAGE = Codec(handover.decode, handover.encode)
HANDOVER_SNAPSHOT = Codec(
    lambda data: router_snapshot.decode_snapshot(data, NOW, CLOCK.monotonic),
    lambda decoded: router_snapshot.encode_snapshot(decoded, CLOCK.unix_ms),
)
HandoverError = handover_errors.HandoverError
HANDOVER_SOCKET = SOCKET_NAME
"""The name of the socket that connects the two processes."""


def snapshot_messages(encoded: bytes) -> list[bytes]:
    """Return the messages that carry a router snapshot."""
    return [handover.encode(chunk) for chunk in handover.split_snapshot(encoded)]


# Accounting

ROUTER = "router-2"


def _write_snapshot(decoded: Any) -> bytes:
    values = msgspec.to_builtins(decoded)
    return snapshot.encode(
        values["router"],
        values["epoch"],
        values["written_unix_ns"],
        values["closing"],
        values["breaches"],
        values["figures"],
    )


SNAPSHOT = Codec(lambda data: snapshot.decode(data, ROUTER), _write_snapshot)
SNAPSHOT_TYPES: tuple[type[msgspec.Struct], ...] = (snapshot.Snapshot, snapshot.Row)


def snapshot_codec(kind: type[msgspec.Struct]) -> Codec:
    """Return the codec of snapshots that are decoded as a struct of this type."""
    return Codec(
        msgspec.json.Decoder(kind).decode,
        lambda decoded: msgspec.json.encode(msgspec.to_builtins(decoded)) + b"\n",
    )


def imported_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the rows of a ledger that has imported these."""
    return _ledger(rows).export_rows()


def _ledger(rows: list[dict[str, Any]]) -> Ledger:
    ledger = make_ledger(settings())
    ledger.import_rows(rows)
    return ledger


def accounting_exposition(rows: list[dict[str, Any]]) -> str:
    """Return the metrics page of a ledger with these rows."""
    return accounting_metrics.exposition(_ledger(rows).cut()).decode()


def cuts_table(lines: list[bytes]) -> str:
    """Return the report on collected cuts as CSV."""
    return fleet.as_csv(fleet.sum_cuts(fleet.read_cuts(lines)))


def breach() -> dict[str, Any]:
    """Return a breach as it is reported to operators."""
    return Breach(3, BreachKind.NEVER_CLOSED, 5, "request-7", "get", "acme", "resp").as_dict()


BREACH_KINDS = [kind.value for kind in BreachKind]


async def accounting_pages(folder: Path, rows: list[dict[str, Any]]) -> dict[str, bytes]:
    """Return the listener's answer to each call; the service leaves its files in the folder."""
    loop = asyncio.get_running_loop()
    section = AccountingSection(listen=f"127.0.0.1:{take_port()}", directory=str(folder))
    service = AccountingService(loop, section, ROUTER, settings(), lambda: _UNIX, "epoch-5")
    service.ledger.import_rows(rows)
    service.ledger.record_disconnected("request-8", 9)
    address = await service.start(lambda: 0, tuple)
    assert address is not None
    answers = {}
    for call in ("GET /figures", "GET /metrics", "POST /breaches/acknowledge?through=1", "GET /other"):
        answers[call] = await http_call(address, call)
    service.stop(closing=True)
    return answers


async def http_call(address: tuple[str, int], call: str) -> bytes:
    """Return the status and the body of one call."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return head.split(b" ", 2)[1] + b"\n" + body


# The simulator's protocol

ACTIONS = (
    interface.Send("q1", "s1", 11, 12),
    interface.Reject("q2", 13),
    interface.Fail("q3"),
    interface.SetTimer(14, "timer-2"),
    interface.Subscribe(),
    interface.HealthCheck("s2"),
)


class AdapterRecorder:
    """An adapter with a stub router that records each event and answers with every kind of action."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.orders: list[Any] = []
        self._adapter = Adapter()
        self._adapter._routers[3] = cast(Any, self)

    def handle(self, event: Any, now: int) -> tuple[Any, ...]:
        """Record an event in place of the router."""
        self.events.append(event)
        return ACTIONS

    def feed(self, lines: bytes) -> AdapterRecorder:
        """Deliver events, one per line; raises WireError."""
        for line in lines.splitlines():
            batch = b'{"nowNs":1,"groups":[{"router":3,"in":[' + line + b"]}]}"
            self.orders = msgspec.json.decode(self._adapter.answer(batch))["groups"][0]["orders"]
        return self


# The operator's file, and the platform's configuration

FACTS = json.loads((Path(__file__).parent / "frozen" / "settings.json").read_text())


def settings(facts: dict[str, Any] | None = None) -> Any:
    """Decode the platform's settings object, by default the frozen one."""
    return read_settings(FACTS if facts is None else facts)


def config(folder: Path, contents: Any, environ: Mapping[str, str]) -> Any:
    """Return the configuration of a router whose file has these contents."""
    file = folder / "config.json"
    file.write_bytes(msgspec.json.encode(contents))
    return load_config({"LB_CONFIG": str(file), **environ})


def operator_lines(file: Path) -> list[str]:
    """Return every key in force under an operator's file, with its value."""
    return [f"{name} = {value!r}" for name, value, _ in describe(load_operator(file))]


# Discovery


def listing(data: bytes) -> Any:
    """Decode an endpoint list."""
    return parse_endpoint_list(msgspec.json.decode(data), CLOCK)


def rewritten_listing(data: bytes) -> bytes:
    """Decode an endpoint list, and encode it as one router sends it to another."""
    decoded = listing(data)
    ready = [server for server in decoded.change.servers if server.state is ServerState.READY]
    return msgspec.json.encode(encode_endpoint_list(decoded.generation, ready, decoded.addresses, CLOCK))


# The command


def command_names(command: click.Command = cli.main, name: str = "pebblepass") -> Iterator[str]:
    """Yield a command with its arguments, options and subcommands."""
    yield name
    for parameter in command.params:
        for option in (*parameter.opts, *parameter.secondary_opts):
            yield f"{name} {option}"
    if isinstance(command, click.Group):
        context = click.Context(command)
        for verb in command.list_commands(context):
            subcommand = command.get_command(context, verb)
            assert subcommand is not None
            yield from command_names(subcommand, f"{name} {verb}")


# The metrics and status of a fleet's routers


def fleet_exposition() -> str:
    """Return the metrics page of a router in a fleet."""
    fleet_metrics = consensus_metrics.FleetMetrics(
        3, True, 2, {"decided": 5}, {"messages": 7}, {"no hello": 9}
    )
    return consensus_metrics.exposition(fleet_metrics).decode()


class SingleVoterFleet:
    """A fleet of one router that runs on a manual clock until a proposed policy is in force."""

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
        decoded_proposal = msgspec.msgpack.decode(proposal, type=messages.Proposal)
        self._carry_out(self._replica.propose(decoded_proposal, self.now))
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
        """Return the status that operators see."""
        return status(self._replica, self.now)

    def history(self) -> list[dict[str, Any]]:
        """Return its policy versions."""
        return history(self._replica)


# The control address


def counter_lines() -> list[str]:
    """Return the counters that the platform reads."""
    return Counters(["get", "put"]).lines(11, 12, 13)


async def control_pages() -> dict[str, bytes]:
    """Return the control address's answer to each call, for a router that is ready and one that is not."""
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
    """Return a scenario's report with its recovery part; the run itself serves as the undisturbed run."""
    plan = make_plan(load_scenario(str(scenario)), 3)
    report = rehearse(plan)
    report["recovery"] |= compare_to_references(report, report, plan, clairvoyant_bound(plan))
    report["compared"] = compare(report, report)
    written: dict[str, Any] = msgspec.json.decode(as_json(report))
    return written


def scale_figures() -> dict[str, Any]:
    """Return the figures of two snapshots of a fleet: plan, traffic by role, and cost of a change."""
    plan = ScalePlan(3, voters=1, full=1)
    names = ("empty", "hollow0", "f0000", "lone0", "c0")
    traffic = {
        name: {"r0000": 1, "f0000": 2} for name in ("messages_in", "messages_out", "bytes_in", "bytes_out")
    }
    counted = {
        "c0": {**traffic, "kinds": {"Grant r": 3, "Learn f": 4, "Renew c": 5}, "connections": 6, "pid": 7}
    }
    before = Snapshot(1.0, dict.fromkeys(names, 1.0), dict.fromkeys(names, 2.0), {})
    after = Snapshot(5.0, dict.fromkeys(names, 3.0), dict.fromkeys(names, 4.0), counted)
    roles = figures_by_role(plan, before, after)
    changes = change_figures(plan, before, after, [[1.0, 2.0, 3.0]], roles)
    return {"plan": msgspec.to_builtins(plan), "roles": roles, "changes": changes}


def scale_run(folder: Path) -> dict[str, Any]:
    """Return the figures that a scale run of two routers has written."""
    plan = ScalePlan(2, voters=1, full=1, lease_ms=500, window_s=0.5, changes=1, patience_s=60.0)
    play_scale(plan, folder, lambda _: None)
    written: dict[str, Any] = msgspec.json.decode((folder / "figures.json").read_bytes())
    return written
