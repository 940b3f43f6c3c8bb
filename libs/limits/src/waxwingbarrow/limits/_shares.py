"""A host's share of an account's limit, from the demand that hosts gossip."""

from collections.abc import Iterable, Sequence

import attrs

from waxwingbarrow.core import HostId, Instant, in_range


@attrs.frozen
class PeerDemand:
    """Demand of one account on another host.

    Parameters
    ----------
    demand_per_s : float
        What the account asked for there, refused requests included.
    learned_at : Instant
        When this host received the figure.
    """

    host: HostId
    demand_per_s: float
    learned_at: Instant


@attrs.frozen(kw_only=True)
class SharePolicy:
    """Constants of `compute_share`.

    Parameters
    ----------
    stale_ms : int
        Age from which a peer's demand is unknown. Several gossip intervals, so that
        one lost message changes nothing.
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
    """Divide an account's limit by demand among the hosts that hear each other.

    Parameters
    ----------
    limit_per_s : float
        Limit of the account over all hosts.
    own_demand : float
        Demand on this host per second, as last gossiped: hosts that compute from the
        same figures never exceed the limit together.
    peer_demands : iterable of PeerDemand
        Demand on other hosts.
    host_count : int
        Hosts known before any cut, this one included.
    now : Instant
        Present time.
    policy : SharePolicy
        Age at which demand is stale.

    Returns
    -------
    float
        What this host may admit per second. A host that hears nobody gets
        ``limit_per_s / host_count``.

    Notes
    -----
    Each host out of contact is assumed to use its equal part, so the groups on both
    sides of a partition stay under the limit together. Within a group the demand is
    met by max-min fairness, and what nobody asks for is spread equally, so that a host
    without recent traffic can admit its first requests.

    Examples
    --------
    >>> now = Instant(0, 0)
    >>> compute_share(90.0, 60.0, [], 3, now, SharePolicy())
    30.0
    >>> peers = [PeerDemand(HostId("b"), 10.0, now), PeerDemand(HostId("c"), 5.0, now)]
    >>> compute_share(90.0, 60.0, peers, 3, now, SharePolicy())
    65.0
    """
    fresh = [
        peer.demand_per_s
        for peer in peer_demands
        if now.mono_ms - peer.learned_at.mono_ms < policy.stale_ms
    ]
    group = 1 + len(fresh)
    available = limit_per_s * group / max(host_count, group)
    level = _find_level(available, [own_demand, *fresh])
    used = sum(min(demand, level) for demand in (own_demand, *fresh))
    return min(own_demand, level) + max(available - used, 0.0) / group


def _find_level(available: float, demands: Sequence[float]) -> float:
    """Return the most that each may take so that all together take `available`."""
    remaining = available
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        equal_part = remaining / (len(ordered) - position)
        if demand >= equal_part:
            return equal_part
        remaining -= demand
    return ordered[-1]
