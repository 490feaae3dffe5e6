"""Scenarios: the input of a rehearsal, a TOML file that is validated when it is loaded.

A range is two numbers, least and most, from which a rehearsal draws one value. Times are in seconds where
the name ends in `_s`, and in milliseconds where it ends in `_ms`.
"""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta

from pebblepass.operator_config import FileError, decode_toml, read_toml

NodeFaultKind = Literal[
    "node-kill",
    "node-silent",
    "node-drain",
    "node-restart",
    "node-replace",
    "node-slow",
    "node-half",
    "node-garble",
    "node-reset",
    "node-refuse",
]
FaultKind = Literal[
    NodeFaultKind,
    "store-down",
    "registry-down",
    "router-term",
    "router-kill",
    "router-reload",
    "router-stall",
    "clients-leave",
]
DisturbanceKind = Literal["burst", "invalidation", "one-time", "skew"]

MAX_PROCESSES = 2048
"""The most routers, and the most mirror nodes, of a scenario."""

Positive = Annotated[float, Meta(gt=0)]
RouterCount = Annotated[int, Meta(ge=1, le=MAX_PROCESSES, description="routers in all data centres")]
NodeCount = Annotated[int, Meta(ge=1, le=MAX_PROCESSES, description="mirror nodes in all data centres")]
Share = Annotated[float, Meta(ge=0, le=1)]
Place = Annotated[int, Meta(ge=0)]


class Range(NamedTuple):
    """The bounds of a value that is drawn."""

    least: Annotated[float, Meta(ge=0)]
    most: Annotated[float, Meta(ge=0)]


class _Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if isinstance(value, Range) and value.least > value.most:
                raise ValueError(f"{name}: the least must come before the most")


class Fleet(_Checked, frozen=True):
    """`[fleet]`: data centres, routers and mirror nodes."""

    zones: Annotated[tuple[str, ...], Meta(min_length=1, description="the data centres")] = (
        "lozenets",
        "mladost",
        "druzhba",
    )
    routers: RouterCount = 3
    nodes: NodeCount = 12
    cross_ms: Annotated[Range, Meta(description="one-way delay between two data centres")] = Range(2.8, 5.2)
    same_ms: Annotated[Range, Meta(description="one-way delay within a data centre")] = Range(0.11, 0.32)
    told_s: Annotated[
        Range, Meta(description="delay until a change of the endpoint list reaches a router")
    ] = Range(0.52, 5.0)
    memory_mb: Annotated[int, Meta(ge=16, description="a router's memory limit")] = 192
    sockets: Annotated[int, Meta(ge=64, description="a router's limit of descriptors")] = 1024


class Node(_Checked, frozen=True):
    """`[node]`: a mirror node with one core; each node draws its own values."""

    speed: Annotated[Range, Meta(description="speed of the core; 1: the speed that `work_ms` refers to")] = (
        Range(0.85, 1.1)
    )
    slots: Annotated[Range, Meta(description="requests that are served concurrently and share the core")] = (
        Range(2, 6)
    )
    queue: Annotated[Range, Meta(description="most requests that wait; more are rejected")] = Range(8, 35)
    thrash_at: Annotated[Range, Meta(description="open requests above which the core loses speed")] = Range(
        8, 13
    )
    thrash: Annotated[Range, Meta(description="slowdown for each further request")] = Range(0.034, 0.14)
    pause_every_s: Annotated[Range, Meta(description="interval between the starts of pauses")] = Range(
        4.1, 12
    )
    pause_ms: Annotated[Range, Meta(description="length of a pause, in which nothing runs")] = Range(0, 31)
    cold_share: Annotated[Range, Meta(description="share of its speed that a node starts with")] = Range(
        0.32, 0.59
    )
    cold_s: Annotated[Range, Meta(description="time after its start at which a node is warm")] = Range(
        3.9, 8.9
    )
    report_ms: Annotated[Range, Meta(description="interval at which a load report is refreshed")] = Range(
        110, 420
    )
    miss_work: Annotated[Share, Meta(description="work of a miss, as a share of a hit's")] = 0.15
    error_rate: Annotated[Share, Meta(description="share of requests that end in an error")] = 0.0002


class Store(_Checked, frozen=True):
    """`[store]`: the package store; its capacity is relative to the misses of a pooled cache."""

    capacity: Annotated[Range, Meta(description="reads it can serve, as a multiple of the usual misses")] = (
        Range(1.8, 2.3)
    )
    work_ms: Annotated[Range, Meta(description="service time of one request when nothing else runs")] = Range(
        60, 110
    )
    queue: Annotated[Range, Meta(description="most requests that wait; more get 503")] = Range(24, 48)
    error_rate: Annotated[Share, Meta(description="share of requests that end in 500")] = 0.0005


class RequestClass(_Checked, frozen=True):
    """`[[class]]`: a class of requests."""

    name: Annotated[str, Meta(min_length=1, description="name, as in `c=`")]
    share: Annotated[Share, Meta(description="share of all requests")]
    work_ms: Annotated[Range, Meta(description="work of one request")]
    aim_ms: Annotated[Positive, Meta(description="an answer within this time earns the full worth")]
    deadline_ms: Annotated[Positive, Meta(description="time after which the client gives up")]
    worth: Annotated[Positive, Meta(description="worth of one request")]
    late_worth: Annotated[Share, Meta(description="share of the worth that a late answer earns")] = 0.25
    effect: Annotated[
        Literal["safe", "keyed", "unsafe"],
        Meta(description="a repeated request has no effect, is dropped, or does harm"),
    ] = "safe"
    window_s: Annotated[
        float, Meta(ge=0, description="time for which repeats of a keyed write are dropped")
    ] = 0.0
    write: Annotated[bool, Meta(description="whether it writes")] = False


class Namespace(_Checked, frozen=True):
    """`[[namespace]]`: a namespace, its share of the traffic and its quota."""

    name: Annotated[str, Meta(min_length=1, description="name, as in `t=`")]
    share: Annotated[Share, Meta(description="share of the traffic")]
    quota: Annotated[Positive, Meta(description="quota, as a multiple of its usual traffic")] = 1.3


class Traffic(_Checked, frozen=True):
    """`[traffic]`: requests of the clients, their timeouts and their retries."""

    rate: Annotated[Positive, Meta(description="requests per second over all routers, without retries")] = (
        120.0
    )
    swing: Annotated[Share, Meta(description="amplitude of the rate, as a share of its mean")] = 0.25
    keys: Annotated[int, Meta(ge=10, le=200_000, description="number of packages")] = 4000
    skew: Annotated[
        float, Meta(ge=0, le=2, description="exponent of the Zipf popularity of the packages")
    ] = 0.9
    pooled_hits: Annotated[
        Range, Meta(description="share of reads that one cache of the fleet's size would serve")
    ] = Range(0.85, 0.97)
    value_bytes: Annotated[Range, Meta(description="length of a value")] = Range(200, 3000)
    retries: Annotated[int, Meta(ge=0, le=5, description="most retries of a client")] = 2
    try_share: Annotated[Range, Meta(description="a request times out after this share of its deadline")] = (
        Range(0.5, 0.8)
    )
    backoff_ms: Annotated[Range, Meta(description="delay before a retry")] = Range(12, 100)
    over_share_worth: Annotated[Share, Meta(description="worth of traffic beyond a quota, as a share")] = 0.05
    notice_s: Annotated[Range, Meta(description="delay until the load balancer detects a dead router")] = (
        Range(0.96, 4.0)
    )


class Sync(_Checked, frozen=True):
    """`[sync]`: package tools that read many index entries in one command, in addition to `[traffic]`."""

    commands: Annotated[Positive, Meta(description="commands per second over all routers")] = 1.0
    keys: Annotated[int, Meta(ge=1, le=1024, description="keys of one command, all different")] = 100


class Disturbance(_Checked, frozen=True):
    """`[[trouble]]`: a disturbance of the traffic or of the cached copies."""

    kind: Annotated[DisturbanceKind, Meta(description="kind of disturbance")]
    at_s: Annotated[float, Meta(ge=0, description="start")]
    for_s: Annotated[float, Meta(ge=0, description="duration")] = 0.0
    share: Annotated[
        Range,
        Meta(
            description="share of the cached copies, reads or traffic affected, or of the rate that is added"
        ),
    ] = Range(0.32, 0.74)
    routers: Annotated[int, Meta(ge=1, description="routers that receive the skewed share")] = 1


class Fault(_Checked, frozen=True):
    """`[[fault]]`: a fault of a server, a router or the clients."""

    kind: Annotated[FaultKind, Meta(description="kind of fault")]
    at_s: Annotated[float, Meta(ge=0, description="start")]
    for_s: Annotated[float, Meta(ge=0, description="duration")] = 2.0
    place: Annotated[Place | None, Meta(description="index of the node or router; left out: drawn")] = None
    share: Annotated[Share, Meta(description="share of answers or clients affected")] = 1.0
    factor: Annotated[Positive, Meta(description="remaining speed, as a factor")] = 0.2


DEFAULT_CLASSES = (
    RequestClass(
        name="fetch",
        share=0.97,
        work_ms=Range(35, 64),
        aim_ms=300,
        deadline_ms=1200,
        worth=3,
        late_worth=0.25,
    ),
    RequestClass(
        name="yank",
        share=0.022,
        work_ms=Range(43, 77),
        aim_ms=500,
        deadline_ms=1000,
        worth=2,
        late_worth=0.3,
        effect="keyed",
        window_s=5.0,
        write=True,
    ),
    RequestClass(
        name="publish",
        share=0.008,
        work_ms=Range(58, 100),
        aim_ms=500,
        deadline_ms=1200,
        worth=8,
        late_worth=0.3,
        effect="keyed",
        window_s=2.5,
        write=True,
    ),
)
DEFAULT_NAMESPACES = (Namespace(name="public", share=0.63), Namespace(name="municipal", share=0.37))


class Scenario(_Checked, frozen=True):
    """A scenario."""

    title: Annotated[str, Meta(min_length=1, description="title of the report, one line")]
    length_s: Annotated[float, Meta(gt=0, le=3600, description="time for which clients send requests")]
    fleet: Annotated[Fleet, Meta(description="data centres, routers, nodes")] = Fleet()
    node: Annotated[Node, Meta(description="mirror nodes")] = Node()
    store: Annotated[Store, Meta(description="the package store")] = Store()
    traffic: Annotated[Traffic, Meta(description="traffic of the clients")] = Traffic()
    sync: Annotated[Sync | None, Meta(description="multi-key reads; left out: none")] = None
    classes: Annotated[
        tuple[RequestClass, ...], msgspec.Meta(min_length=1, description="classes of requests")
    ] = msgspec.field(default=DEFAULT_CLASSES, name="class")
    namespaces: Annotated[tuple[Namespace, ...], msgspec.Meta(min_length=1, description="namespaces")] = (
        msgspec.field(default=DEFAULT_NAMESPACES, name="namespace")
    )
    disturbances: Annotated[
        tuple[Disturbance, ...], Meta(description="disturbances of the traffic and the cached copies")
    ] = msgspec.field(default=(), name="trouble")
    faults: Annotated[tuple[Fault, ...], Meta(description="faults of servers, routers and clients")] = (
        msgspec.field(default=(), name="fault")
    )

    def __post_init__(self) -> None:
        for section, parts in (("class", self.classes), ("namespace", self.namespaces)):
            names = [part.name for part in parts]
            if len(set(names)) < len(names):
                raise ValueError(f"two entries of [[{section}]] have the same name")
            if abs(sum(part.share for part in parts) - 1) > 0.001:
                raise ValueError(f"the shares of [[{section}]] must add up to 1")
        starts: list[tuple[str, str, float]]
        starts = [
            (f"trouble[{i}]", disturbance.kind, disturbance.at_s)
            for i, disturbance in enumerate(self.disturbances)
        ]
        starts += [(f"fault[{i}]", fault.kind, fault.at_s) for i, fault in enumerate(self.faults)]
        for entry, kind, at in starts:
            if at >= self.length_s:
                raise ValueError(f"{entry}: {kind} at {at:g} s comes after the end at {self.length_s:g} s")
        if self.sync is not None and self.sync.keys * 2 > self.traffic.keys:
            raise ValueError(
                "sync.keys: at most half of traffic.keys, as all keys of a command are different"
            )
        for number, fault in enumerate(self.faults):
            count = self.fleet.routers if fault.kind.startswith("router") else self.fleet.nodes
            if fault.place is not None and fault.place >= count:
                raise ValueError(f"fault[{number}]: there are only {count}, numbered from 0")

    def scaled(self, routers: int | None, nodes: int | None, rate: float | None) -> Scenario:
        """Return this scenario at another scale; raises FileError where that is not valid."""
        fleet, traffic = self.fleet, self.traffic
        changes = {"fleet": msgspec.structs.replace(fleet, routers=routers or fleet.routers)}
        changes["fleet"] = msgspec.structs.replace(changes["fleet"], nodes=nodes or fleet.nodes)
        try:
            return msgspec.structs.replace(
                self, **changes, traffic=msgspec.structs.replace(traffic, rate=rate or traffic.rate)
            )
        except ValueError as error:
            raise FileError(f"at this scale: {error}") from None


def shipped_scenarios() -> list[str]:
    """Return the names of the scenarios in this package."""
    folder = files("pebblepass.simulation").joinpath("scenarios")
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load_scenario(name: str) -> Scenario:
    """Load a shipped scenario by its name, or a file by its path; raises FileError."""
    if name in shipped_scenarios():
        shipped_file = files("pebblepass.simulation").joinpath("scenarios").joinpath(f"{name}.toml")
        return decode_toml(name, shipped_file.read_bytes(), Scenario)
    if "/" not in name and not name.endswith(".toml"):
        raise FileError(f"{name}: no such scenario; give one of {', '.join(shipped_scenarios())}, or a path")
    return read_toml(Path(name), Scenario)
