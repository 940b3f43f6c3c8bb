"""Status of the host for operators."""

import attrs

from waxwingbarrow.core import (
    DataCentre,
    HostId,
    Instant,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.daemon._control import ControlPlane
from waxwingbarrow.daemon._fleet import Fleet
from waxwingbarrow.daemon._lifecycle import Lifecycle
from waxwingbarrow.daemon._rollouts import Rollouts
from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.peers import PeerNode
from waxwingbarrow.rollout import Move


@attrs.frozen
class ServiceStatus:
    """The document of a service that is in force.

    Parameters
    ----------
    author : str
        Operator who published the revision.
    accounts : int
        Number of accounts in the document.
    """

    service: ServiceName
    revision: int
    author: str
    accounts: int


@attrs.frozen
class UpstreamStatus:
    """An upstream as this host sees it.

    Parameters
    ----------
    state : str
        Health state.
    in_flight : int
        Estimated number of requests at the upstream, from all entry hosts.
    """

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
    control_offset : int
        Offset of the first entry of the control stream that this host lacks.
    log_lag_s : float or None
        Time in seconds since the tail of the control stream was last read; None if it
        was never read.
    moves : tuple of Move
        Rollouts, each from one version to another.
    clock_suspect : bool
        Whether the host's clock has jumped.
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


def make_status(
    settings: Settings,
    lifecycle: Lifecycle,
    control: ControlPlane,
    peers: PeerNode,
    rollouts: Rollouts,
    fleet: Fleet,
    clock_suspect: bool,
    now: Instant,
) -> HostStatus:
    """Return the status of a host, collected from its parts."""
    last_read = control.reader.last_tail_read
    moves = (
        rollouts.describe(item, control.find_agreed_verdict(item), now)
        for item in control.configurations.values()
    )
    return HostStatus(
        host=settings.host_id,
        data_centre=settings.data_centre,
        lifecycle=lifecycle.state,
        control_offset=control.state.next_offset,
        log_lag_s=(now.mono_ms - last_read.mono_ms) / 1000 if last_read else None,
        peers=peers.list_peers(),
        services=tuple(
            ServiceStatus(name, item.revision, item.author, len(item.document.accounts))
            for name, item in sorted(control.configurations.items())
        ),
        moves=tuple(move for move in moves if move is not None),
        upstreams=tuple(
            UpstreamStatus(
                view.upstream,
                view.service,
                view.version,
                view.health_state.value,
                view.in_flight,
            )
            for view in fleet.list_all(now)
        ),
        clock_suspect=clock_suspect,
    )
