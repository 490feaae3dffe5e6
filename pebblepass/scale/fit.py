"""Least-squares fits of a fleet's costs over its size, with standard errors and predictions.

No I/O. The polynomial degree of a quantity follows from the known cause of its growth and is never chosen by
goodness of fit, because the fit is extrapolated to sizes that have not been run.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import numpy as np
from msgspec import Struct, field

TARGET_ROUTERS = 930
MAX_DEVIATION = 0.15  # fraction of a prediction; a run that deviates by more refutes it
# Student's t for a 95% interval, by degrees of freedom starting at 1.
STUDENT_T = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
NORMAL_T = 1.96  # for more degrees of freedom than the table has


class Quantity(Struct, frozen=True):
    """A measured quantity, and the form of its growth."""

    name: str
    path: tuple[str, ...] = field(name="where")
    """Keys that lead to its value in a run's figures."""
    unit: str
    degree: int
    """Degree of the polynomial in the number of routers: 1 or 2."""
    reason: str
    """Why it grows with this degree."""
    bound: float | None = None
    """The limit that users set; None: no limit."""


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
    """A quantity fitted over the number of routers."""

    quantity: Quantity
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    factors: tuple[float, ...]
    """Coefficients of 1, N and, for degree 2, N squared."""
    errors: tuple[float, ...]
    """Standard errors of the coefficients; infinite if there are no more runs than coefficients."""
    target: float
    predicted: float
    margin: float
    """Half the width of the 95% prediction interval for one more run at the target."""

    @property
    def exceeds_bound(self) -> bool:
        """Whether the prediction exceeds the limit that users set."""
        return self.quantity.bound is not None and self.predicted > self.quantity.bound


class FitError(ValueError):
    """The runs can't be fitted; the message is one line."""


def student_t(degrees_of_freedom: int) -> float:
    """Student's t of a 95% interval for these degrees of freedom."""
    if degrees_of_freedom < 1:
        return float("inf")
    return STUDENT_T[degrees_of_freedom - 1] if degrees_of_freedom <= len(STUDENT_T) else NORMAL_T


def measured_value(figures: Mapping[str, Any], quantity: Quantity) -> float | None:
    """The quantity's value in a run's figures; None if the run has not measured it."""
    value: Any = figures
    for key in quantity.path:
        if not isinstance(value, Mapping) or key not in value:
            return None
        value = value[key]
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


def fit_quantity(
    quantity: Quantity, sizes: Sequence[float], values: Sequence[float], target: float = TARGET_ROUTERS
) -> Fit:
    """Fit one quantity; raises FitError if there are too few different sizes."""
    degree = quantity.degree
    if len(set(sizes)) <= degree:
        raise FitError(
            f"{quantity.name}: {len(set(sizes))} different sizes are too few to fit {degree + 1} coefficients"
        )
    # Sizes are scaled to at most 1: columns of very different magnitude would lose precision.
    largest = max(sizes)
    scaled = np.asarray(sizes, dtype=float) / largest
    design = np.vander(scaled, degree + 1, increasing=True)
    measured = np.asarray(values, dtype=float)
    coefficients, *_ = np.linalg.lstsq(design, measured, rcond=None)
    degrees_of_freedom = len(measured) - degree - 1
    residuals = measured - design @ coefficients
    variance = float(residuals @ residuals) / degrees_of_freedom if degrees_of_freedom > 0 else float("inf")
    inverse = np.linalg.inv(design.T @ design)
    target_row = np.vander(np.asarray([target / largest]), degree + 1, increasing=True)[0]
    leverage = float(target_row @ inverse @ target_row)
    powers = [largest**power for power in range(degree + 1)]
    return Fit(
        quantity,
        tuple(float(size) for size in sizes),
        tuple(float(value) for value in values),
        tuple(float(coefficient) / power for coefficient, power in zip(coefficients, powers, strict=True)),
        tuple(
            float(np.sqrt(variance * inverse[power, power])) / powers[power] for power in range(degree + 1)
        ),
        float(target),
        float(target_row @ coefficients),
        student_t(degrees_of_freedom) * float(np.sqrt(variance * (1 + leverage)))
        if degrees_of_freedom > 0
        else float("inf"),
    )


def predict(fitted: Fit, size: float) -> float:
    """The value that a fit predicts for a number of routers."""
    return sum(factor * size**power for power, factor in enumerate(fitted.factors))


def fit_all(runs: Sequence[Mapping[str, Any]], target: float = TARGET_ROUTERS) -> list[Fit]:
    """Fit every quantity that the runs have measured; raises FitError if none can be fitted."""
    fits, reason = [], "no run has measured anything"
    for quantity in QUANTITIES:
        rows = [
            (float(run["plan"]["routers"]), value)
            for run in runs
            if (value := measured_value(run, quantity)) is not None
        ]
        if not rows:
            continue
        try:
            fits.append(fit_quantity(quantity, [row[0] for row in rows], [row[1] for row in rows], target))
        except FitError as error:
            reason = str(error)
    if not fits:
        raise FitError(reason)
    return fits


def relative_deviation(predicted: float, measured: float) -> float:
    """A run's deviation from its prediction, as a fraction of the prediction."""
    if predicted == 0:
        return 0.0 if measured == 0 else float("inf")
    return (measured - predicted) / abs(predicted)
