"""Slopes of what a fleet costs over its size: least squares, their errors, and what they say of a target.

No I/O. A quantity is fitted by the form that its reason gives, never by the one that fits best: by how it
grows it is told at a size that nobody has run.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import numpy as np
from msgspec import Struct

TARGET = 930
OFF = 0.15  # of a prediction: from there on a run has refuted it
# Student's t for an interval of 95 %, by degrees of freedom.
STUDENT = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
MANY = 1.96


class Quantity(Struct, frozen=True):
    """What is fitted."""

    name: str
    where: tuple[str, ...]
    """Its path in a run's figures."""
    unit: str
    degree: int
    """1: a constant and a slope; 2: the square as well."""
    reason: str
    """Why it grows so."""
    bound: float | None = None
    """What the users allow; None: they say nothing."""


QUANTITIES = (
    Quantity(
        "router: messages",
        ("phases", "idle", "router", "messages_per_s"),
        "1/s",
        1,
        "a question to each voter and its answer, each third of a lease",
    ),
    Quantity(
        "router: bytes",
        ("phases", "idle", "router", "bytes_per_s"),
        "B/s",
        1,
        "likewise; a message names its sender only",
        6_000.0,
    ),
    Quantity(
        "router: CPU",
        ("phases", "idle", "router", "cores"),
        "cores",
        1,
        "each message walks the members",
        0.044,
    ),
    Quantity(
        "router: memory",
        ("phases", "change", "router", "memory_mb"),
        "MB",
        1,
        "each version kept names all members",
        32.0,
    ),
    Quantity(
        "voter: messages",
        ("phases", "idle", "voter", "messages_per_s"),
        "1/s",
        1,
        "each router asks each voter",
    ),
    Quantity("voter: bytes", ("phases", "idle", "voter", "bytes_per_s"), "B/s", 1, "likewise"),
    Quantity(
        "voter: CPU",
        ("phases", "idle", "voter", "cores"),
        "cores",
        2,
        "messages grow with the members, and each walks the members",
    ),
    Quantity(
        "voter: memory",
        ("phases", "change", "voter", "memory_mb"),
        "MB",
        1,
        "a link, a lease and a name each",
    ),
    Quantity(
        "voter: descriptors", ("phases", "idle", "voter", "connections"), "", 1, "a link from each router"
    ),
    Quantity("change: a value", ("phases", "change", "value_bytes"), "B", 1, "it names all members"),
    Quantity(
        "change: bytes a router",
        ("phases", "change", "bytes_per_router"),
        "B",
        1,
        "the value, as often as it is sent to each",
    ),
    Quantity(
        "change: bytes in all",
        ("phases", "change", "bytes"),
        "B",
        2,
        "the value names all members, and goes to all",
    ),
    Quantity(
        "change: messages in all", ("phases", "change", "messages"), "", 1, "the same few to and from each"
    ),
    Quantity(
        "change: CPU of a voter",
        ("phases", "change", "voter_cpu_s"),
        "s",
        2,
        "the proposer walks all members at each message until it is in force",
    ),
    Quantity(
        "change: half of the routers",
        ("phases", "change", "p50_s"),
        "s",
        2,
        "the proposer's CPU",
    ),
    Quantity("change: all routers", ("phases", "change", "max_s"), "s", 2, "the proposer's CPU", 18.0),
    Quantity(
        "join: all routers", ("phases", "join", "all_joined_s"), "s", 2, "a value to each, from each voter"
    ),
    Quantity(
        "discovery: calls a router",
        ("phases", "discovery", "calls_per_router_s"),
        "1/s",
        1,
        "a watch that ends after 2 s, and the next one",
    ),
    Quantity(
        "discovery: a change at all",
        ("phases", "discovery", "change_s"),
        "s",
        1,
        "an answer to each watch",
    ),
    Quantity(
        "discovery: after an outage",
        ("phases", "discovery", "after_outage_s"),
        "s",
        1,
        "a connection and an answer to each",
    ),
    Quantity(
        "discovery: most calls a second after it",
        ("phases", "discovery", "after_outage", "most_a_second"),
        "1/s",
        1,
        "each tries again ten times a second",
    ),
    Quantity(
        "restart of some: all of them",
        ("phases", "some", "all_joined_s"),
        "s",
        1,
        "some renewals, and the dials",
    ),
    Quantity(
        "restart of all: from the voters on",
        ("phases", "all", "after_voters_s"),
        "s",
        2,
        "a value to each, from each voter",
    ),
)


class Fit(Struct, frozen=True):
    """A quantity over the number of routers."""

    quantity: Quantity
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    factors: tuple[float, ...]
    """Of 1, N and, with degree 2, N squared."""
    errors: tuple[float, ...]
    """Their standard errors; nothing is left to tell them by where they are infinite."""
    target: float
    predicted: float
    margin: float
    """At the target: a further run falls within so much of the prediction, 19 times of 20."""

    @property
    def missed(self) -> bool:
        """Whether the prediction is beyond what the users allow."""
        return self.quantity.bound is not None and self.predicted > self.quantity.bound


class FitError(ValueError):
    """Nothing can be fitted; the text is one plain line."""


def student(freedom: int) -> float:
    """Student's t for 95 %."""
    if freedom < 1:
        return float("inf")
    return STUDENT[freedom - 1] if freedom <= len(STUDENT) else MANY


def value_of(figures: Mapping[str, Any], quantity: Quantity) -> float | None:
    """A run's value of a quantity; None: it has not measured it."""
    at: Any = figures
    for key in quantity.where:
        if not isinstance(at, Mapping) or key not in at:
            return None
        at = at[key]
    return float(at) if isinstance(at, int | float) and not isinstance(at, bool) else None


def fit(quantity: Quantity, sizes: Sequence[float], values: Sequence[float], target: float = TARGET) -> Fit:
    """Fit one quantity; raises FitError where the sizes are too few."""
    degree = quantity.degree
    if len(set(sizes)) <= degree:
        raise FitError(
            f"{quantity.name}: {len(set(sizes))} sizes are too few for {degree + 1} factors of its form"
        )
    # Scaled: the square of a size beside 1 would cost digits.
    largest = max(sizes)
    scaled = np.asarray(sizes, dtype=float) / largest
    table = np.vander(scaled, degree + 1, increasing=True)
    seen = np.asarray(values, dtype=float)
    found, *_ = np.linalg.lstsq(table, seen, rcond=None)
    freedom = len(seen) - degree - 1
    rest = seen - table @ found
    spread = float(rest @ rest) / freedom if freedom > 0 else float("inf")
    inverse = np.linalg.inv(table.T @ table)
    at = np.vander(np.asarray([target / largest]), degree + 1, increasing=True)[0]
    leverage = float(at @ inverse @ at)
    powers = [largest**power for power in range(degree + 1)]
    return Fit(
        quantity,
        tuple(float(size) for size in sizes),
        tuple(float(value) for value in values),
        tuple(float(each) / power for each, power in zip(found, powers, strict=True)),
        tuple(float(np.sqrt(spread * inverse[power, power])) / powers[power] for power in range(degree + 1)),
        float(target),
        float(at @ found),
        student(freedom) * float(np.sqrt(spread * (1 + leverage))) if freedom > 0 else float("inf"),
    )


def at_size(told: Fit, size: float) -> float:
    """What a fit says of a size."""
    return sum(factor * size**power for power, factor in enumerate(told.factors))


def fit_all(runs: Sequence[Mapping[str, Any]], target: float = TARGET) -> list[Fit]:
    """Fit all that these runs have measured; raises FitError where that is nothing."""
    fits, why = [], "no run has measured anything"
    for quantity in QUANTITIES:
        rows = [
            (float(run["plan"]["routers"]), value)
            for run in runs
            if (value := value_of(run, quantity)) is not None
        ]
        if not rows:
            continue
        try:
            fits.append(fit(quantity, [row[0] for row in rows], [row[1] for row in rows], target))
        except FitError as error:
            why = str(error)
    if not fits:
        raise FitError(why)
    return fits


def off(predicted: float, seen: float) -> float:
    """By which part of a prediction a run is off."""
    if predicted == 0:
        return 0.0 if seen == 0 else float("inf")
    return (seen - predicted) / abs(predicted)
