"""Scenarios: what a rehearsal is told, as a checked TOML file.

Ranges are two numbers, least and most; a rehearsal draws one value from each. Times ending in `_s` are
seconds, in `_ms` milliseconds.
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

MOST_PROCESSES = 2048
"""Routers, and mirror nodes, that a scenario may have."""

Positive = Annotated[float, Meta(gt=0)]
RouterCount = Annotated[int, Meta(ge=1, le=MOST_PROCESSES, description="routers of all data centres")]
NodeCount = Annotated[int, Meta(ge=1, le=MOST_PROCESSES, description="mirror nodes of all data centres")]
Share = Annotated[float, Meta(ge=0, le=1)]
Place = Annotated[int, Meta(ge=0)]


class Range(NamedTuple):
    """The least and the most of what is drawn."""

    least: Annotated[float, Meta(ge=0)]
    most: Annotated[float, Meta(ge=0)]


class _Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    def __post_init__(self) -> None:
        for name in self.__struct_fields__:
            held = getattr(self, name)
            if isinstance(held, Range) and held.least > held.most:
                raise ValueError(f"{name}: the least stands before the most")


class Fleet(_Checked, frozen=True):
    """`[fleet]`: data centres, routers and mirror nodes."""

    zones: Annotated[tuple[str, ...], Meta(min_length=1, description="the data centres")] = (
        "lozenets",
        "mladost",
        "druzhba",
    )
    routers: RouterCount = 3
    nodes: NodeCount = 12
    cross_ms: Annotated[Range, Meta(description="one way between two data centres")] = Range(2.8, 5.2)
    same_ms: Annotated[Range, Meta(description="one way within a data centre")] = Range(0.11, 0.32)
    told_s: Annotated[Range, Meta(description="a change of the list reaches a router so much later")] = Range(
        0.52, 5.0
    )
    memory_mb: Annotated[int, Meta(ge=16, description="a router's memory limit")] = 192
    sockets: Annotated[int, Meta(ge=64, description="a router's descriptors")] = 1024


class Node(_Checked, frozen=True):
    """`[node]`: one mirror node of one core; each node draws its own values."""

    speed: Annotated[
        Range, Meta(description="the core's speed, 1 being the one that works are stated for")
    ] = Range(0.85, 1.1)
    slots: Annotated[Range, Meta(description="requests that run side by side and share the core")] = Range(
        2, 6
    )
    queue: Annotated[Range, Meta(description="requests that wait at most; more are turned away")] = Range(
        8, 35
    )
    thrash_at: Annotated[Range, Meta(description="requests held from which on the core loses speed")] = Range(
        8, 13
    )
    thrash: Annotated[Range, Meta(description="the speed lost for each request more")] = Range(0.034, 0.14)
    pause_every_s: Annotated[Range, Meta(description="from one pause to the next")] = Range(4.1, 12)
    pause_ms: Annotated[Range, Meta(description="the length of a pause in which nothing runs")] = Range(0, 31)
    cold_share: Annotated[Range, Meta(description="the share of its speed that a node starts with")] = Range(
        0.32, 0.59
    )
    cold_s: Annotated[Range, Meta(description="after which a node that has started is warm")] = Range(
        3.9, 8.9
    )
    report_ms: Annotated[Range, Meta(description="a load report is refreshed so often")] = Range(110, 420)
    miss_work: Annotated[Share, Meta(description="the work of a miss, as a share of a hit's")] = 0.15
    error_rate: Annotated[Share, Meta(description="the share of requests that end in an error")] = 0.0002


class Store(_Checked, frozen=True):
    """`[store]`: the package store, sized by the fetches that a pooled cache would leave."""

    capacity: Annotated[Range, Meta(description="what it can do, as a multiple of the usual misses")] = Range(
        1.8, 2.3
    )
    work_ms: Annotated[Range, Meta(description="how long one request takes it when nothing else runs")] = (
        Range(60, 110)
    )
    queue: Annotated[Range, Meta(description="requests that wait at most; more get 503")] = Range(24, 48)
    error_rate: Annotated[Share, Meta(description="the share of requests that end in 500")] = 0.0005


class RequestClass(_Checked, frozen=True):
    """`[[class]]`: one class of requests."""

    name: Annotated[str, Meta(min_length=1, description="its name, as in `c=`")]
    share: Annotated[Share, Meta(description="its share of all requests")]
    work_ms: Annotated[Range, Meta(description="the work of one request")]
    aim_ms: Annotated[Positive, Meta(description="an answer within this time earns the full worth")]
    deadline_ms: Annotated[Positive, Meta(description="after this time the client has given up")]
    worth: Annotated[Positive, Meta(description="what one request is worth")]
    late_worth: Annotated[Share, Meta(description="the share of the worth that a late answer earns")] = 0.25
    effect: Annotated[
        Literal["safe", "keyed", "unsafe"], Meta(description="what a repeat does: nothing, dropped, harm")
    ] = "safe"
    window_s: Annotated[
        float, Meta(ge=0, description="for how long repeats of a keyed write are dropped")
    ] = 0.0
    write: Annotated[bool, Meta(description="whether it changes the package")] = False


class Namespace(_Checked, frozen=True):
    """`[[namespace]]`: one namespace and its share."""

    name: Annotated[str, Meta(min_length=1, description="its name, as in `t=`")]
    share: Annotated[Share, Meta(description="its share of the traffic")]
    quota: Annotated[Positive, Meta(description="its allowance, as a multiple of its usual traffic")] = 1.3


class Traffic(_Checked, frozen=True):
    """`[traffic]`: what clients ask for, and how they wait and repeat."""

    rate: Annotated[Positive, Meta(description="requests a second over all routers, first tries only")] = (
        120.0
    )
    swing: Annotated[Share, Meta(description="how far the rate swings about its mean")] = 0.25
    keys: Annotated[int, Meta(ge=10, le=200_000, description="packages that are asked for")] = 4000
    skew: Annotated[float, Meta(ge=0, le=2, description="the exponent of the packages' popularity")] = 0.9
    pooled_hits: Annotated[
        Range, Meta(description="reads that one cache of the fleet's size would serve")
    ] = Range(0.85, 0.97)
    value_bytes: Annotated[Range, Meta(description="the length of a value")] = Range(200, 3000)
    retries: Annotated[int, Meta(ge=0, le=5, description="a client's repeats at most")] = 2
    try_share: Annotated[Range, Meta(description="a try is given up after this share of the time left")] = (
        Range(0.5, 0.8)
    )
    backoff_ms: Annotated[Range, Meta(description="the wait before a client's repeat")] = Range(12, 100)
    over_share_worth: Annotated[Share, Meta(description="what traffic beyond a share is worth")] = 0.05
    notice_s: Annotated[Range, Meta(description="the front notices a dead router so late")] = Range(0.96, 4.0)


class Sync(_Checked, frozen=True):
    """`[sync]`: package tools that read many index entries in one command, beside all else."""

    commands: Annotated[Positive, Meta(description="commands a second over all routers")] = 1.0
    keys: Annotated[int, Meta(ge=1, le=1024, description="keys of one command, all different")] = 100


class Disturbance(_Checked, frozen=True):
    """`[[trouble]]`: something that the clients or the data bring."""

    kind: Annotated[DisturbanceKind, Meta(description="what happens")]
    at_s: Annotated[float, Meta(ge=0, description="when it begins")]
    for_s: Annotated[float, Meta(ge=0, description="how long it lasts")] = 0.0
    share: Annotated[
        Range, Meta(description="of the kept copies, of the reads, of the traffic, or the rate added")
    ] = Range(0.32, 0.74)
    routers: Annotated[int, Meta(ge=1, description="routers that carry the skewed share")] = 1


class Fault(_Checked, frozen=True):
    """`[[fault]]`: a part that breaks."""

    kind: Annotated[FaultKind, Meta(description="what breaks")]
    at_s: Annotated[float, Meta(ge=0, description="when it begins")]
    for_s: Annotated[float, Meta(ge=0, description="how long it lasts")] = 2.0
    place: Annotated[Place | None, Meta(description="which node or router; left out: drawn")] = None
    share: Annotated[Share, Meta(description="the share of answers or clients that it touches")] = 1.0
    factor: Annotated[Positive, Meta(description="the speed that is left, as a factor")] = 0.2


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
    """A whole scenario."""

    title: Annotated[str, Meta(min_length=1, description="one line for the report")]
    length_s: Annotated[float, Meta(gt=0, le=3600, description="how long clients ask")]
    fleet: Annotated[Fleet, Meta(description="data centres, routers, nodes")] = Fleet()
    node: Annotated[Node, Meta(description="a mirror node")] = Node()
    store: Annotated[Store, Meta(description="the package store")] = Store()
    traffic: Annotated[Traffic, Meta(description="what clients ask for")] = Traffic()
    sync: Annotated[Sync | None, Meta(description="reads of many keys; left out: none")] = None
    classes: Annotated[
        tuple[RequestClass, ...], msgspec.Meta(min_length=1, description="classes of requests")
    ] = msgspec.field(default=DEFAULT_CLASSES, name="class")
    namespaces: Annotated[tuple[Namespace, ...], msgspec.Meta(min_length=1, description="namespaces")] = (
        msgspec.field(default=DEFAULT_NAMESPACES, name="namespace")
    )
    disturbances: Annotated[tuple[Disturbance, ...], Meta(description="what clients or the data bring")] = (
        msgspec.field(default=(), name="trouble")
    )
    faults: Annotated[tuple[Fault, ...], Meta(description="parts that break")] = msgspec.field(
        default=(), name="fault"
    )

    def __post_init__(self) -> None:
        for words, parts in (("class", self.classes), ("namespace", self.namespaces)):
            names = [part.name for part in parts]
            if len(set(names)) < len(names):
                raise ValueError(f"two entries of [[{words}]] have one name")
            if abs(sum(part.share for part in parts) - 1) > 0.001:
                raise ValueError(f"the shares of [[{words}]] must add up to 1")
        dated: list[tuple[str, str, float]]
        dated = [(f"trouble[{i}]", trouble.kind, trouble.at_s) for i, trouble in enumerate(self.disturbances)]
        dated += [(f"fault[{i}]", fault.kind, fault.at_s) for i, fault in enumerate(self.faults)]
        for place, kind, at in dated:
            if at >= self.length_s:
                raise ValueError(f"{place}: {kind} at {at:g} s comes after the end at {self.length_s:g} s")
        if self.sync is not None and self.sync.keys * 2 > self.traffic.keys:
            raise ValueError(
                "sync.keys: at most half of traffic.keys, as all keys of a command are different"
            )
        for number, fault in enumerate(self.faults):
            count = self.fleet.routers if fault.kind.startswith("router") else self.fleet.nodes
            if fault.place is not None and fault.place >= count:
                raise ValueError(f"fault[{number}]: there are only {count} such places")

    def scaled(self, routers: int | None, nodes: int | None, rate: float | None) -> Scenario:
        """The same scenario at another scale; raises FileError where it can't be had."""
        fleet, traffic = self.fleet, self.traffic
        changes = {"fleet": msgspec.structs.replace(fleet, routers=routers or fleet.routers)}
        changes["fleet"] = msgspec.structs.replace(changes["fleet"], nodes=nodes or fleet.nodes)
        try:
            return msgspec.structs.replace(
                self, **changes, traffic=msgspec.structs.replace(traffic, rate=rate or traffic.rate)
            )
        except ValueError as error:
            raise FileError(f"at this scale: {error}") from None


def shipped() -> list[str]:
    """The names of the scenarios that come with the kit."""
    folder = files("pebblepass.simulation").joinpath("scenarios")
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load_scenario(name: str) -> Scenario:
    """Load a shipped scenario by its name, or a file by its path; raises FileError in one plain line."""
    if name in shipped():
        shipped_file = files("pebblepass.simulation").joinpath("scenarios").joinpath(f"{name}.toml")
        return decode_toml(name, shipped_file.read_bytes(), Scenario)
    if "/" not in name and not name.endswith(".toml"):
        raise FileError(f"{name}: no such scenario; there are {', '.join(shipped())}, or name a file")
    return read_toml(Path(name), Scenario)
