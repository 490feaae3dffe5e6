"""Faults of servers that only some seeds of a soak have: what clients request, and how servers answer it."""

from __future__ import annotations

import enum
import random
import socket
import threading
from typing import Any

from tests.sockets import MISS, SETTINGS, get, hit, put, reset

FIRST_SEED = 1000
"""Seeds from here on have a fault of the servers; those before are played without one, as always."""
FIRST_SLOW_SEED = 2000
"""Seeds from here on have a slow discovery."""
VALUE_FRACTION = 0.4
"""Fraction of the requests that are reads of long values; with LONG_CLASS, all are of that class."""
VALUE_BYTES = {"break": 300_000, "no-length": 3 << 20}
VALUE_TIMEOUT_MS = 2000
LATEST_BREAK_S = 1.0  # sooner than a value is passed on at the latest
RESET_FRACTION = 0.3
PATIENT_DEADLINE_S, PATIENT_TIMEOUT_MS = 4.0, 3200
PATIENT_ANSWER_S = 3.0
PATIENT_BATCH = 6
"""Writes that a client sends one after another without waiting for their answers, PATIENT_GAP_S apart."""
PATIENT_GAP_S = 0.4


class Fault(enum.Enum):
    """What goes wrong."""

    NONE = ""
    BREAKING_VALUES = "break"
    """Long values whose server breaks them off, with commands behind them."""
    VALUES_WITHOUT_LENGTH = "no-length"
    """Long values of the origin without a length, which are reset on the way."""
    LONG_CLASS = "long-class"
    """Writes of a class whose deadline is longer than the platform waits at a planned restart."""
    SLOW_DISCOVERY = "slow-discovery"
    """Discovery that is polled and slow, while a cache server begins to drain; see `slow_discovery`."""


def fault_of(seed: int) -> Fault:
    """Return the fault of a seed."""
    if seed >= FIRST_SLOW_SEED:
        return Fault.SLOW_DISCOVERY
    faults = (Fault.BREAKING_VALUES, Fault.VALUES_WITHOUT_LENGTH, Fault.LONG_CLASS)
    return faults[seed % len(faults)] if seed >= FIRST_SEED else Fault.NONE


def request_fraction(fault: Fault) -> float:
    """Return the fraction of the requests that a fault concerns."""
    fractions = {Fault.NONE: 0.0, Fault.SLOW_DISCOVERY: 0.0, Fault.LONG_CLASS: 1.0}
    return fractions.get(fault, VALUE_FRACTION)


def settings(fault: Fault) -> dict[str, Any]:
    """Return the settings of a router."""
    if fault is Fault.SLOW_DISCOVERY:
        return {**SETTINGS, "membershipMode": "subscribe"}
    if fault is not Fault.LONG_CLASS:
        return SETTINGS
    deadline = int(PATIENT_DEADLINE_S * 1e9)
    patient = {"name": "patient", "aimNs": 10**9, "giveUpNs": deadline, "semantics": "dedup"}
    return {**SETTINGS, "classes": [*SETTINGS["classes"], {**patient, "dedupWindowNs": deadline}]}


def request(fault: Fault, request_id: str, key: str) -> tuple[bytes, float]:
    """Encode a request that the fault concerns; also return its timeout in seconds."""
    if fault is Fault.LONG_CLASS:
        return put(request_id, cls="patient", d=PATIENT_TIMEOUT_MS), PATIENT_TIMEOUT_MS / 1000
    return get(request_id, key, VALUE_TIMEOUT_MS), VALUE_TIMEOUT_MS / 1000


def long_value(fault: Fault, request_id: bytes) -> bytes:
    """Return the long value that a server makes for a request."""
    return request_id.ljust(VALUE_BYTES[fault.value], b".")


def answer_from_cache(
    fault: Fault, connection: socket.socket, request_id: bytes, draw: float, stopped: threading.Event
) -> bytes:
    """Answer as a cache server; `draw`: a random number from 0 to 1. Raises OSError to break a value off."""
    if fault is Fault.VALUES_WITHOUT_LENGTH:
        return MISS
    answer = hit(long_value(fault, request_id))
    rng = random.Random(draw)
    connection.sendall(answer[: rng.randrange(70_000, len(answer))])
    stopped.wait(rng.uniform(0, LATEST_BREAK_S))
    if rng.random() < 0.5:
        return reset(connection)
    raise OSError("broken off by an orderly end")


def answer_without_length(fault: Fault, connection: socket.socket, request_id: bytes, draw: float) -> bytes:
    """Answer as an origin that states no length: raises OSError at the end, or for a reset on the way."""
    value = long_value(fault, request_id)
    connection.sendall(b"HTTP/1.1 200 X\r\n\r\n")
    if draw < RESET_FRACTION:
        connection.sendall(value[:-1000])
        return reset(connection)
    connection.sendall(value)
    raise OSError("the end of the connection is that of the value")
