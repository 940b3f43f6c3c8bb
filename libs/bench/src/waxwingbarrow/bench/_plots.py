"""Plots of a benchmark run, drawn from ``bench.json``."""

import json
import re
from pathlib import Path
from typing import Any

from matplotlib import pyplot

pyplot.switch_backend("Agg")


def draw_plots(directory: Path) -> None:
    """Draw the slopes and the ratios to the baselines of ``bench.json``."""
    data = json.loads((directory / "bench.json").read_text())
    slopes = [
        *data["slopes"],
        data["overhead"]["stream_cpu"],
        *data["fleet"]["slopes"],
    ]
    for slope in slopes:
        _draw_slope(directory, slope)
    _draw_ratios(directory, data["rows"])


def _draw_slope(directory: Path, slope: dict[str, Any]) -> None:
    figure, axes = pyplot.subplots(figsize=(5, 3.5))
    costs = slope["costs"]
    medians = [cost["median"] for cost in costs]
    errors = [
        [cost["median"] - cost["low"] for cost in costs],
        [cost["high"] - cost["median"] for cost in costs],
    ]
    axes.errorbar(slope["sizes"], medians, yerr=errors, marker="o", capsize=3)
    axes.set(title=slope["name"], xlabel="size", ylabel=slope["unit"].split(" per ")[0])
    axes.set_ylim(bottom=0)
    _save_figure(directory, slope["name"], figure)


def _draw_ratios(directory: Path, rows: list[dict[str, Any]]) -> None:
    decisions: dict[str, list[float]] = {}
    for row in rows:
        if 0 < row["ratio"] < float("inf"):
            decisions.setdefault(row["decision"], []).append(row["ratio"])
    names = list(reversed(decisions))
    figure, axes = pyplot.subplots(figsize=(9, 0.28 * len(names) + 1))
    for row_position, name in enumerate(names):
        axes.plot(
            decisions[name], [row_position] * len(decisions[name]), "o", alpha=0.5
        )
    axes.axvline(1.0, color="grey", linewidth=1)
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set(xscale="log", xlabel="ours / baseline")
    _save_figure(directory, "ratios", figure)


def _save_figure(directory: Path, name: str, figure: Any) -> None:
    figure.tight_layout()
    figure.savefig(directory / (re.sub(r"[^a-z0-9]+", "-", name.lower()) + ".png"))
    pyplot.close(figure)
