"""Host offers, running hosts, and the capacity that services need."""

import enum

import attrs

from waxwingbarrow.core import (
    DataCentre,
    HostId,
    Incarnation,
    Instant,
    ServiceName,
    VersionName,
    Zone,
    in_range,
)


class HostState(enum.StrEnum):
    """Lifecycle state of a host; a host in `LEAVING` never serves again."""

    STARTING = "starting"
    LOADING = "loading"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen(order=True)
class OfferKey:
    """Identity of an offer, independent of its price."""

    data_centre: DataCentre
    zone: Zone
    machine_class: str
    reclaimable: bool


@attrs.frozen(kw_only=True)
class HostOffer:
    """A kind of host that the cloud offers.

    Parameters
    ----------
    reclaimable : bool
        Whether the cloud may reclaim the host at any time.
    price_per_hour : float
        Current price, in a currency that all offers share.
    accelerators : int
        Number of accelerators of the host.
    start_refused_until : Instant or None
        End of the backoff after a refused start; see `StartBackoff`.
    """

    machine_class: str
    zone: Zone
    data_centre: DataCentre
    reclaimable: bool
    price_per_hour: float = attrs.field(validator=in_range(1e-6, 1e6))
    accelerators: int = 0
    start_refused_until: Instant | None = None

    @property
    def key(self) -> OfferKey:
        """Identity of the offer."""
        return OfferKey(
            self.data_centre, self.zone, self.machine_class, self.reclaimable
        )


@attrs.frozen(kw_only=True)
class OfferList:
    """Offers as last read from the cloud API.

    Parameters
    ----------
    offers : tuple of HostOffer
        Offers of all data centres.
    read_at : Instant or None
        When the offers were read; None if they were never read.
    reachable : bool
        Whether the last call to the cloud API was answered.
    """

    offers: tuple[HostOffer, ...]
    read_at: Instant | None
    reachable: bool = True


@attrs.frozen(kw_only=True)
class RunningHost:
    """A host that runs, or is about to run, one worker of a service.

    Parameters
    ----------
    offer : HostOffer
        Offer from which the host was started.
    leave_by_ms : int or None
        Wall-clock time in milliseconds at which the cloud reclaims the host; None if
        no reclaim is announced.
    state_since : Instant or None
        When the host was first seen in its current state; None if unknown.
    in_flight : int or None
        Number of requests in flight on the host; None if unknown.
    incarnation : Incarnation or None
        Incarnation of the upstream process on the host; None if unknown.
    """

    host: HostId
    offer: HostOffer
    service: ServiceName
    version: VersionName
    state: HostState
    leave_by_ms: int | None = None
    state_since: Instant | None = None
    in_flight: int | None = None
    incarnation: Incarnation | None = None


@attrs.frozen(kw_only=True)
class HostList:
    """Running hosts of the platform's host list, possibly with order effects applied.

    Parameters
    ----------
    hosts : tuple of RunningHost
        Hosts in any state; see `OrderTracker.apply_order_effects` for those that the
        platform does not list yet.
    read_at : Instant or None
        Time as of which the platform's list is accurate, which is earlier than its
        arrival here; None if it was never read.
    """

    hosts: tuple[RunningHost, ...]
    read_at: Instant | None


@attrs.frozen(kw_only=True)
class ServiceNeed:
    """Capacity that one version of a service needs in one data centre.

    Parameters
    ----------
    min_workers : int
        Minimum number of workers, even without demand.
    max_reclaimable_percent : float
        Maximum percentage of the workers that may run on reclaimable hosts.
    demand_tokens_per_s : float
        Expected demand; in requests per second for a plain service.
    tokens_per_s_per_worker : float
        Throughput of one worker at the latency target, in the unit of the demand.
    model_bytes : int
        Size of the weights.
    accelerators : int
        Minimum number of accelerators of a suitable host.
    """

    service: ServiceName
    version: VersionName
    data_centre: DataCentre
    min_workers: int = attrs.field(default=1, validator=in_range(0, 100_000))
    max_reclaimable_percent: float = attrs.field(
        default=43.0, validator=in_range(0, 100)
    )
    demand_tokens_per_s: float = attrs.field(default=0.0, validator=in_range(0, 1e12))
    tokens_per_s_per_worker: float = attrs.field(
        default=1.0, validator=in_range(1e-6, 1e12)
    )
    model_bytes: int = 0
    accelerators: int = 0


class ZoneLoss(enum.StrEnum):
    """Which hosts of a zone are lost together.

    `EVERY_HOST` also covers the failure of a whole zone. `RECLAIMABLE` covers only the
    reclaim of all reclaimable hosts of a zone at once; on-demand hosts keep running, so
    fewer spare hosts are needed.
    """

    EVERY_HOST = "every-host"
    RECLAIMABLE = "reclaimable"


@attrs.frozen(kw_only=True)
class CapacityPolicy:
    """Settings of `plan_capacity`.

    Parameters
    ----------
    zone_loss : ZoneLoss
        Loss of a zone after which the demand must still be served.
    min_saving_percent : float
        Saving above which a running host is replaced by a cheaper one. A price has to
        move by twice as much before the replacement is undone, which prevents
        oscillation.
    spread_price_percent : float
        Price difference to the cheapest offer of a zone up to which new hosts are
        spread over machine classes.
    headroom_percent : float
        Extra workers above the demand while no zone is lost, for demand that grows
        faster than hosts start. Spare workers for the loss of a zone count towards it.
    scale_down_slack_percent : float
        Hysteresis of scaling down: a worker is kept as long as demand higher by this
        percentage would need it.
    max_concurrent_replacements : int
        Number of hosts of one need in the state `STARTING` or `LOADING` at which no
        further host is started only to save cost. Its weight load would delay urgent
        ones from the rate-limited store.
    max_data_age_ms : int
        Age of the offers or of the host list above which no host is stopped.
    start_timeout_ms, load_timeout_ms : int
        Time in the state `STARTING` or `LOADING` after which a host is stopped and
        replaced.
    drain_overdue_ms : int
        Duration above which a drain is reported as overdue; it is not aborted.
    """

    zone_loss: ZoneLoss = ZoneLoss.EVERY_HOST
    min_saving_percent: float = attrs.field(default=15.0, validator=in_range(0, 90))
    spread_price_percent: float = attrs.field(default=5.0, validator=in_range(0, 90))
    headroom_percent: float = attrs.field(default=15.0, validator=in_range(0, 900))
    scale_down_slack_percent: float = attrs.field(
        default=5.0, validator=in_range(0, 900)
    )
    max_concurrent_replacements: int = attrs.field(
        default=2, validator=in_range(0, 1_000)
    )
    max_data_age_ms: int = attrs.field(
        default=60_000, validator=in_range(1, 86_400_000)
    )
    start_timeout_ms: int = attrs.field(
        default=300_000, validator=in_range(1, 86_400_000)
    )
    load_timeout_ms: int = attrs.field(
        default=1_800_000, validator=in_range(1, 86_400_000)
    )
    drain_overdue_ms: int = attrs.field(
        default=600_000, validator=in_range(1, 86_400_000)
    )
