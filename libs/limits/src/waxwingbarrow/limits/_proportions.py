"""Share of a limit for a host that knows only the total demand of the others."""


def compute_proportional_share(
    limit_per_s: float, own_demand: float, other_demand: float, host_count: int
) -> float:
    """Return this host's share of a limit that is divided in proportion to demand.

    `compute_share` is fairer to hosts with little demand, but needs the demand of each
    host. In a large deployment only sums are exchanged.

    Parameters
    ----------
    limit_per_s : float
        Limit over all hosts.
    own_demand, other_demand : float
        Demand per second on this host and on all other hosts together.
    host_count : int
        Number of hosts, this one included.

    Returns
    -------
    float
        Rate per second that this host may admit. Capacity that no host demands is
        divided equally.

    Examples
    --------
    >>> compute_proportional_share(100.0, 30.0, 170.0, 10)
    15.0
    >>> compute_proportional_share(100.0, 10.0, 40.0, 10)
    15.0
    """
    total_demand = own_demand + other_demand
    if total_demand > limit_per_s:
        return limit_per_s * own_demand / total_demand
    return own_demand + (limit_per_s - total_demand) / max(host_count, 1)
