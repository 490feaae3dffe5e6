"""Plots of the fitted quantities: measured values, fit, prediction at the target, and bound."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from pebblepass.scale.fit import Fit, measured_value, predict

matplotlib.use("Agg")

from matplotlib import pyplot


def draw_plots(fits: Sequence[Fit], folder: Path, measured: Mapping[str, Any] | None) -> None:
    """Write one PNG file per quantity into a folder; `measured` holds the figures of a run at the target."""
    for fitted in fits:
        quantity = fitted.quantity
        figure, axes = pyplot.subplots(figsize=(6, 4))
        sizes = np.linspace(0, fitted.target * 1.05, 100)
        axes.plot(sizes, [predict(fitted, size) for size in sizes], label="fit")
        axes.plot(fitted.sizes, fitted.values, "o", label="measured")
        margin = fitted.margin if np.isfinite(fitted.margin) else 0.0
        axes.errorbar(
            [fitted.target], [fitted.predicted], [margin], fmt="s", capsize=4, label="predicted, 95 %"
        )
        value = None if measured is None else measured_value(measured, quantity)
        if value is not None:
            axes.plot([fitted.target], [value], "x", markersize=10, label="measured at the target")
        if quantity.bound is not None:
            axes.axhline(quantity.bound, linestyle="--", label="bound")
        axes.set_xlabel("routers")
        axes.set_ylabel(f"{quantity.name} ({quantity.unit})" if quantity.unit else quantity.name)
        axes.legend()
        figure.tight_layout()
        figure.savefig(folder / f"{quantity.name.replace(': ', '-').replace(' ', '-')}.png", dpi=100)
        pyplot.close(figure)
