"""Proof that failure detection finds dead members and declares no live one dead."""

import random
from collections import Counter
from collections.abc import Callable

from waxwingbarrow.bench._gossip import SimulatedFleet
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.core import HostId

MEMBER_COUNT = 60
SETTLE_S = 6
DETECTION_LIMIT_S = 13  # the work of a lost upstream must be moved within this time
PAUSE_S = 4  # half of the silence after which a member is declared dead


def run_membership(seed: int) -> PromiseResult:
    """Kill, pause and partition members of a simulated data centre, and lose frames.

    A violation is a live member that is declared dead, or a dead one that is not. There
    is no naive design here; a full mesh is measured elsewhere as the baseline of cost.
    """
    scenarios: dict[str, Callable[[random.Random], int]] = {
        "silent deaths": _kill_members,
        "short pauses": _pause_members,
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


def _start_fleet(loss_percent: float = 0) -> tuple[SimulatedFleet, list[HostId]]:
    fleet = SimulatedFleet(MEMBER_COUNT, loss_percent=loss_percent)
    fleet.run(SETTLE_S)
    return fleet, list(fleet.nodes)


def _kill_members(rng: random.Random) -> int:
    """Silence two members; every live member must declare both dead in time.

    Returns the missed detections plus the live members that are declared dead.
    """
    fleet, hosts = _start_fleet()
    dead = rng.sample(hosts, 2)
    for host in dead:
        fleet.nodes[host].paused = True
    fleet.run(DETECTION_LIMIT_S)
    alive = [host for host in hosts if host not in dead]
    missed = len(dead) * len(alive) - fleet.count_dead(dead)
    return missed + fleet.count_dead(alive)


def _pause_members(rng: random.Random) -> int:
    """Pause a fifth of the members for `PAUSE_S`; none may be declared dead."""
    fleet, hosts = _start_fleet()
    paused = rng.sample(hosts, MEMBER_COUNT // 5)
    for host in paused:
        fleet.nodes[host].paused = True
    fleet.run(PAUSE_S)
    for host in paused:
        fleet.nodes[host].paused = False
    return _count_false_deaths(fleet, hosts, 6)


def _cut_one_way(rng: random.Random) -> int:
    """Drop all frames between ten pairs of members in one direction."""
    fleet, hosts = _start_fleet()
    for _ in range(10):
        sender, receiver = rng.sample(hosts, 2)
        fleet.block([sender], [receiver])
    return _count_false_deaths(fleet, hosts, 16)


def _lose_frames(_: random.Random) -> int:
    """Lose 5% of the frames; each lost frame breaks its stream for a second."""
    fleet, hosts = _start_fleet(loss_percent=5)
    return _count_false_deaths(fleet, hosts, 20)


def _count_false_deaths(
    fleet: SimulatedFleet, hosts: list[HostId], seconds: int
) -> int:
    false_deaths = 0
    for _ in range(seconds):
        fleet.run(1)
        false_deaths += fleet.count_dead(hosts)
    return false_deaths
