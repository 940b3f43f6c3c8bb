"""Attempts to make a data centre blame live members or overlook dead ones."""

import random
from collections import Counter
from collections.abc import Callable

from waxwingbarrow.bench._gossip import SimulatedFleet
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.core import HostId

MEMBERS = 60
SETTLE_S = 6
DETECT_LIMIT_S = 13  # an upstream's work is moved within this time
PAUSE_S = 4  # half of the time after which silence means death


def run_membership(seed: int) -> PromiseResult:
    """Kill, pause and cut members of a simulated data centre.

    A violation is a live member that is declared dead, or a dead one that is not. No
    naive design is run; the full mesh is measured as the baseline of cost instead.
    """
    scenarios: dict[str, Callable[[random.Random], int]] = {
        "silent deaths": _kill,
        "short pauses": _pause,
        "one-way cuts": _cut_one_way,
        "lost frames": _lose_frames,
    }
    rng = random.Random(seed)
    events: Counter[str] = Counter()
    for name, scenario in scenarios.items():
        events[name] = scenario(rng)
    return PromiseResult(
        cases=len(scenarios), violations=sum(events.values()), events=events
    )


def _settle(loss_percent: float = 0) -> tuple[SimulatedFleet, list[HostId]]:
    fleet = SimulatedFleet(MEMBERS, loss_percent=loss_percent)
    fleet.run(SETTLE_S)
    return fleet, list(fleet.nodes)


def _kill(rng: random.Random) -> int:
    """Two members die silently; every other one must know it in time."""
    fleet, hosts = _settle()
    dead = rng.sample(hosts, 2)
    for host in dead:
        fleet.nodes[host].paused = True
    fleet.run(DETECT_LIMIT_S)
    alive = [host for host in hosts if host not in dead]
    missed = len(dead) * len(alive) - fleet.count_dead(dead)
    return missed + fleet.count_dead(alive)


def _pause(rng: random.Random) -> int:
    """A fifth of the members pause for half of the time that means death."""
    fleet, hosts = _settle()
    paused = rng.sample(hosts, MEMBERS // 5)
    for host in paused:
        fleet.nodes[host].paused = True
    fleet.run(PAUSE_S)
    for host in paused:
        fleet.nodes[host].paused = False
    return _watch(fleet, hosts, 6)


def _cut_one_way(rng: random.Random) -> int:
    """Frames between some pairs of members are dropped in one direction."""
    fleet, hosts = _settle()
    for _ in range(10):
        sender, receiver = rng.sample(hosts, 2)
        fleet.block([sender], [receiver])
    return _watch(fleet, hosts, 16)


def _lose_frames(_: random.Random) -> int:
    """Each lost frame breaks its stream for a second; five in 100 are lost."""
    fleet, hosts = _settle(loss_percent=5)
    return _watch(fleet, hosts, 20)


def _watch(fleet: SimulatedFleet, hosts: list[HostId], seconds: int) -> int:
    false_deaths = 0
    for _ in range(seconds):
        fleet.run(1)
        false_deaths += fleet.count_dead(hosts)
    return false_deaths
