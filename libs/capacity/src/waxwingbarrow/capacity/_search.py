"""Least-cost choice of hosts for one need under the loss of a zone.

Notes
-----
For a fixed number of hosts the choices that respect the limit per zone are the bases
of a matroid. The cheapest base is found greedily; the cheapest base with one fewer
reclaimable host differs from it by one exchange (H. N. Gabow and R. E. Tarjan,
"Efficient algorithms for a family of matroid intersection problems", 1984).
"""

from collections.abc import Iterator, Mapping, Sequence

import attrs

from waxwingbarrow.capacity._hosts import ZoneLoss
from waxwingbarrow.core import Zone


@attrs.frozen(order=True, cache_hash=True)
class Cell:
    """Hosts of one zone that the cloud takes alike."""

    zone: Zone
    reclaimable: bool


@attrs.frozen
class CellCosts:
    """Costs of the hosts of a cell, cheapest first.

    Parameters
    ----------
    running : tuple of float
        Costs of the running hosts, ascending.
    new : float or None
        Cost of each further host; None if none can be started.
    """

    running: tuple[float, ...]
    new: float | None

    def cost_of(self, index: int) -> float | None:
        """Return the cost of the host at this position; None if there is none."""
        # Running hosts dearer than a new one come after all new ones, that is, never.
        if index < len(self.running):
            cost = self.running[index]
            return cost if self.new is None else min(cost, self.new)
        return self.new


@attrs.frozen
class SearchTask:
    """The choice to make.

    Parameters
    ----------
    cells : Mapping
        Costs by cell.
    least_workers : int
        Least number of hosts.
    surviving_workers : int
        Least number of hosts after the loss of any one zone.
    max_reclaimable_percent : float
        Largest part of the hosts that may be reclaimable.
    zone_loss : ZoneLoss or None
        What the loss of a zone takes; None plans for no loss.
    """

    cells: Mapping[Cell, CellCosts]
    least_workers: int
    surviving_workers: int
    max_reclaimable_percent: float
    zone_loss: ZoneLoss | None


@attrs.frozen
class Counts:
    """Chosen number of hosts by cell, and their cost."""

    by_cell: Mapping[Cell, int]
    cost: float


def find_cheapest(task: SearchTask) -> Counts | None:
    """Return the least-cost choice, or None if no choice meets the constraints."""
    best: Counts | None = None
    first = max(task.least_workers, task.surviving_workers)
    for total in range(first, limit_hosts(first) + 1):
        if best is not None and _bound_cost(task, total) >= best.cost:
            break
        found = choose_counts(task, total)
        if found is not None and (best is None or found.cost < best.cost - 1e-9):
            best = found
    return best


def limit_hosts(needed: int) -> int:
    """Return how many hosts a need may get at most.

    Two zones that replace each other hold twice the needed hosts; two more cover the
    rounding of the reclaimable part. Without a limit a zone with reclaimable offers
    only would be balanced by any number of on-demand hosts elsewhere.
    """
    return 2 * needed + 2


def choose_counts(task: SearchTask, total: int) -> Counts | None:
    """Return the least-cost choice of exactly `total` hosts, or None."""
    zones = len({cell.zone for cell in task.cells})
    room = zones * (total - task.surviving_workers)
    if task.zone_loss is ZoneLoss.EVERY_HOST and room < total:
        return None
    choice = _Choice(task, total)
    if not all(choice.add_cheapest() for _ in range(total)):
        return None
    limit = limit_reclaimable(total, task.max_reclaimable_percent)
    while choice.count_reclaimable() > limit:
        if not choice.exchange_reclaimable():
            return None
    return Counts({c: n for c, n in choice.counts.items() if n}, choice.cost)


def limit_reclaimable(total: int, percent: float) -> int:
    """Return how many of `total` hosts may be reclaimable."""
    return int(total * percent / 100 + 1e-9)


def count_survivors(by_cell: Mapping[Cell, int], zone_loss: ZoneLoss | None) -> int:
    """Return how many hosts remain after the loss of the zone that costs most hosts."""
    lost: dict[Zone, int] = {}
    for cell, count in by_cell.items():
        if _is_lost(cell, zone_loss):
            lost[cell.zone] = lost.get(cell.zone, 0) + count
    return sum(by_cell.values()) - max(lost.values(), default=0)


def _is_lost(cell: Cell, zone_loss: ZoneLoss | None) -> bool:
    match zone_loss:
        case None:
            return False
        case ZoneLoss.EVERY_HOST:
            return True
        case ZoneLoss.RECLAIMABLE:
            return cell.reclaimable


def _bound_cost(task: SearchTask, total: int) -> float:
    """Return a lower bound of the cost that never falls with `total`."""
    least = {
        kind: min(
            (
                cost
                for cell, costs in task.cells.items()
                if cell.reclaimable is kind and (cost := costs.cost_of(0)) is not None
            ),
            default=0.0,
        )
        for kind in (False, True)
    }
    reclaimable = limit_reclaimable(total, task.max_reclaimable_percent)
    if least[True] >= least[False]:
        reclaimable = 0
    return reclaimable * least[True] + (total - reclaimable) * least[False]


class _Choice:
    """Hosts chosen so far for a fixed total."""

    def __init__(self, task: SearchTask, total: int) -> None:
        self._task = task
        self._zone_limit = total - task.surviving_workers
        self._cells: Sequence[Cell] = sorted(task.cells)
        self.counts: dict[Cell, int] = dict.fromkeys(self._cells, 0)
        self._lost: dict[Zone, int] = dict.fromkeys((c.zone for c in self._cells), 0)
        self.cost = 0.0

    def count_reclaimable(self) -> int:
        """Return the number of reclaimable hosts."""
        return sum(n for cell, n in self.counts.items() if cell.reclaimable)

    def add_cheapest(self) -> bool:
        """Add the cheapest host that the limit per zone allows."""
        best: tuple[float, Cell] | None = None
        for cell in self._cells:
            cost = self._task.cells[cell].cost_of(self.counts[cell])
            if cost is None or not self._has_room(cell, None):
                continue
            if best is None or cost < best[0]:
                best = cost, cell
        if best is None:
            return False
        self._change(best[1], 1)
        return True

    def exchange_reclaimable(self) -> bool:
        """Replace a reclaimable host by an on-demand one at the least extra cost."""
        best: tuple[float, Cell, Cell] | None = None
        for extra, out, into in self._list_exchanges():
            if best is None or extra < best[0]:
                best = extra, out, into
        if best is None:
            return False
        self._change(best[1], -1)
        self._change(best[2], 1)
        return True

    def _list_exchanges(self) -> Iterator[tuple[float, Cell, Cell]]:
        for out in self._cells:
            if not out.reclaimable or not self.counts[out]:
                continue
            saved = self._task.cells[out].cost_of(self.counts[out] - 1) or 0.0
            for into in self._cells:
                cost = self._task.cells[into].cost_of(self.counts[into])
                if into.reclaimable or cost is None or not self._has_room(into, out):
                    continue
                yield cost - saved, out, into

    def _has_room(self, cell: Cell, leaving: Cell | None) -> bool:
        if not _is_lost(cell, self._task.zone_loss):
            return True
        freed = int(leaving is not None and leaving.zone == cell.zone)
        return self._lost[cell.zone] - freed < self._zone_limit

    def _change(self, cell: Cell, step: int) -> None:
        position = self.counts[cell] if step > 0 else self.counts[cell] - 1
        self.cost += step * (self._task.cells[cell].cost_of(position) or 0.0)
        self.counts[cell] += step
        if _is_lost(cell, self._task.zone_loss):
            self._lost[cell.zone] += step
