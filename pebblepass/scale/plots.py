"""A plot a quantity: what was measured, the fit, the target and the bound."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from pebblepass.scale.fit import Fit, at_size, value_of

matplotlib.use("Agg")

from matplotlib import pyplot


def draw(fits: Sequence[Fit], folder: Path, seen: Mapping[str, Any] | None) -> None:
    """Write them into a folder, by name; `seen`: a run at the target."""
    for told in fits:
        quantity = told.quantity
        figure, axes = pyplot.subplots(figsize=(6, 4))
        sizes = np.linspace(0, told.target * 1.05, 100)
        axes.plot(sizes, [at_size(told, size) for size in sizes], label="fit")
        axes.plot(told.sizes, told.values, "o", label="measured")
        margin = told.margin if np.isfinite(told.margin) else 0.0
        axes.errorbar([told.target], [told.predicted], [margin], fmt="s", capsize=4, label="predicted, 95 %")
        found = None if seen is None else value_of(seen, quantity)
        if found is not None:
            axes.plot([told.target], [found], "x", markersize=10, label="measured at the target")
        if quantity.bound is not None:
            axes.axhline(quantity.bound, linestyle="--", label="bound")
        axes.set_xlabel("routers")
        axes.set_ylabel(f"{quantity.name} ({quantity.unit})" if quantity.unit else quantity.name)
        axes.legend()
        figure.tight_layout()
        figure.savefig(folder / f"{quantity.name.replace(': ', '-').replace(' ', '-')}.png", dpi=100)
        pyplot.close(figure)
