"""Statistics and processor times that all measurements use."""

import os
import platform
import statistics
from collections.abc import Sequence

import attrs
import psutil


@attrs.frozen
class Spread:
    """Values of repeated runs.

    Parameters
    ----------
    median, low, high : float
        Median, least and greatest value.
    runs : int
        Number of repetitions.
    """

    median: float
    low: float
    high: float
    runs: int


@attrs.frozen
class Slope:
    """Cost against size, fitted by least squares in each repetition.

    Parameters
    ----------
    name, unit : str
        What was measured; the unit is that of `per_item`.
    sizes : tuple of float
        Sizes that were measured.
    costs : tuple of Spread
        Cost at each size, in the numerator of `unit`.
    per_item : Spread
        Slopes of the repetitions.
    base : Spread
        Intercepts of the repetitions: the cost that does not depend on the size.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[Spread, ...]
    per_item: Spread
    base: Spread


@attrs.frozen
class Machine:
    """The machine of a run and its load average when the run began."""

    cores: int
    memory_gib: float
    python: str
    load_1_min: float


def measure_spread(values: Sequence[float]) -> Spread:
    """Return the median and the range of repeated values."""
    return Spread(statistics.median(values), min(values), max(values), len(values))


def fit_slope(
    name: str, unit: str, sizes: Sequence[float], rounds: Sequence[Sequence[float]]
) -> Slope:
    """Fit a line through the costs of each repetition.

    Parameters
    ----------
    name, unit : str
        As in `Slope`.
    sizes : sequence of float
        At least two sizes.
    rounds : sequence of sequence of float
        For each repetition, the cost at each size.
    """
    lines = [statistics.linear_regression(sizes, costs) for costs in rounds]
    return Slope(
        name,
        unit,
        tuple(sizes),
        tuple(measure_spread(costs) for costs in zip(*rounds, strict=True)),
        measure_spread([line.slope for line in lines]),
        measure_spread([line.intercept for line in lines]),
    )


def find_percentile(values: Sequence[float], percent: float) -> float:
    """Return the value at position ``percent / 100 * len(values)`` in sorted order.

    Positions count from 0. They are rounded down and end at the greatest value.

    Examples
    --------
    >>> find_percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def describe_machine() -> Machine:
    """Return the facts about the machine that belong to every published figure."""
    return Machine(
        psutil.cpu_count() or 0,
        round(psutil.virtual_memory().total / 2**30, 1),
        platform.python_version(),
        round(os.getloadavg()[0], 2),
    )
