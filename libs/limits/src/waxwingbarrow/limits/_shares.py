"""Share of an account's limit for one host, from the demand that hosts gossip."""

from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.core import HostId, Instant, in_range


@attrs.frozen
class PeerDemand:
    """Demand of one account on another host.

    Parameters
    ----------
    demand_per_s : float
        Demand of the account on that host, refused requests included.
    received_at : Instant
        Time at which this host received the value.
    """

    host: HostId
    demand_per_s: float
    received_at: Instant


@attrs.frozen(kw_only=True)
class SharePolicy:
    """Constants of `compute_share`.

    Parameters
    ----------
    stale_ms : int
        Age from which a peer's demand counts as unknown. It spans several gossip
        intervals, so that one lost message has no effect.
    """

    stale_ms: int = attrs.field(default=5_000, validator=in_range(1, 3_600_000))


def compute_share(
    limit_per_s: float,
    own_demand: float,
    peer_demands: Iterable[PeerDemand],
    host_count: int,
    now: Instant,
    policy: SharePolicy,
) -> float:
    """Return this host's share of a limit, divided by demand among hosts in contact.

    Parameters
    ----------
    limit_per_s : float
        Limit of the account over all hosts.
    own_demand : float
        Demand on this host per second, as last gossiped: hosts that compute from the
        same values never exceed the limit together.
    peer_demands : iterable of PeerDemand
        Demand on other hosts.
    host_count : int
        Number of hosts, including this one and those out of contact.
    now : Instant
        Current time.
    policy : SharePolicy
        Age from which demand is stale.

    Returns
    -------
    float
        Rate per second that this host may admit. A host without contact to any other
        gets ``limit_per_s / host_count``.

    Notes
    -----
    Each host out of contact is assumed to use an equal share, so that the groups on
    both sides of a network partition together stay under the limit. Within a group the
    limit is divided by max-min fairness. Capacity that no host demands is divided
    equally, so that a host without recent traffic can admit its first requests.

    Examples
    --------
    >>> now = Instant(0, 0)
    >>> compute_share(90.0, 60.0, [], 3, now, SharePolicy())
    30.0
    >>> peers = [PeerDemand(HostId("b"), 10.0, now), PeerDemand(HostId("c"), 5.0, now)]
    >>> compute_share(90.0, 60.0, peers, 3, now, SharePolicy())
    65.0
    """
    fresh_demands = [
        peer.demand_per_s
        for peer in peer_demands
        if now.mono_ms - peer.received_at.mono_ms < policy.stale_ms
    ]
    reachable_count = 1 + len(fresh_demands)
    available = limit_per_s * reachable_count / max(host_count, reachable_count)
    fair_level = _compute_max_min_level(available, [own_demand, *fresh_demands])
    used = sum(min(demand, fair_level) for demand in (own_demand, *fresh_demands))
    return min(own_demand, fair_level) + max(available - used, 0.0) / reachable_count


def _compute_max_min_level(available: float, demands: Sequence[float]) -> float:
    """Return the max-min fair cap per host, or the largest demand if all are met."""
    remaining = available
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        equal_share = remaining / (len(ordered) - position)
        if demand >= equal_share:
            return equal_share
        remaining -= demand
    return ordered[-1]
