"""Status of the host as operators see it."""

import attrs

from waxwingbarrow.core import DataCentre, HostId, ServiceName, UpstreamId, VersionName
from waxwingbarrow.rollout import Move


@attrs.frozen
class ServiceStatus:
    """A service document in force."""

    service: ServiceName
    revision: int
    author: str
    accounts: int


@attrs.frozen
class UpstreamStatus:
    """An upstream as this host sees it."""

    upstream: UpstreamId
    service: ServiceName
    version: VersionName
    state: str
    in_flight: int


@attrs.frozen(kw_only=True)
class HostStatus:
    """Answer to ``GET /v1/operator/status``.

    Parameters
    ----------
    log_lag_s : float or None
        Time since the tail of the control stream was last read; None if it never was.
    """

    host: HostId
    data_centre: DataCentre
    lifecycle: str
    control_offset: int
    log_lag_s: float | None
    peers: tuple[HostId, ...]
    services: tuple[ServiceStatus, ...]
    moves: tuple[Move, ...]
    upstreams: tuple[UpstreamStatus, ...]
    clock_suspect: bool = False
