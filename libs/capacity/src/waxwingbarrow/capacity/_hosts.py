"""Hosts on offer, running hosts, and what services need."""

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
    """Stage of a host's life; a host that leaves never serves again."""

    STARTING = "starting"
    LOADING = "loading"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen(order=True)
class OfferKey:
    """What identifies an offer while its price changes."""

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
        Whether the cloud may take the host back at any time.
    price_per_hour : float
        Present price, in a currency that all offers share.
    accelerators : int
        Accelerators of the host; 0 for a host without.
    start_refused_until : Instant or None
        End of the pause after a refused start; see `StartBackoff`.
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
        """What identifies the offer."""
        return OfferKey(
            self.data_centre, self.zone, self.machine_class, self.reclaimable
        )


@attrs.frozen(kw_only=True)
class OfferList:
    """Answer of the cloud API.

    Parameters
    ----------
    offers : tuple of HostOffer
        Offers of all data centres.
    read_at : Instant or None
        When they were read; None if they never were.
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
        Wall time at which the cloud takes the host, if it announced that.
    state_since : Instant or None
        When the host was first seen in its state; None if unknown.
    in_flight : int or None
        Requests that run there; None if unknown.
    incarnation : Incarnation or None
        Run of the upstream on the host; None if unknown.
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
    """Running hosts as the platform's host list and the order book report them.

    Parameters
    ----------
    hosts : tuple of RunningHost
        The hosts.
    read_at : Instant or None
        Time as of which the list is true, not when it was received; None if never read.
    """

    hosts: tuple[RunningHost, ...]
    read_at: Instant | None


@attrs.frozen(kw_only=True)
class ServiceNeed:
    """What one version of a service needs in one data centre.

    Parameters
    ----------
    workers : int
        Least number of workers, also without demand.
    max_reclaimable_percent : float
        Largest part of the workers that may be reclaimable.
    demand_tokens_per_s : float
        Expected demand; requests per second for a plain service.
    tokens_per_s_per_worker : float
        What one worker serves at the latency target, in the unit of the demand.
    model_bytes : int
        Size of the weights.
    accelerators : int
        Least number of accelerators of a suitable host.
    """

    service: ServiceName
    version: VersionName
    data_centre: DataCentre
    workers: int = attrs.field(default=1, validator=in_range(0, 100_000))
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
    """What the loss of a zone takes.

    `EVERY_HOST` also covers a zone that fails; `RECLAIMABLE` covers only a wave of
    reclaims, which leaves on-demand hosts, and needs fewer spare hosts.
    """

    EVERY_HOST = "every-host"
    RECLAIMABLE = "reclaimable"


@attrs.frozen(kw_only=True)
class CapacityPolicy:
    """Constants of the choice of hosts.

    Parameters
    ----------
    zone_loss : ZoneLoss
        Loss after which the demand must still be served.
    min_saving_percent : float
        A running host is replaced only by one cheaper by more than this. A price has
        to move by twice as much before the replacement is undone.
    spread_price_percent : float
        New hosts are spread over the machine classes whose price exceeds the zone's
        cheapest by at most this.
    headroom_percent : float
        Workers beyond the demand while no zone is lost, for demand that grows faster
        than hosts start. The spare for the loss of a zone counts towards it.
    scale_down_slack_percent : float
        Spare workers are kept as long as this much more demand would need them.
    max_concurrent_replacements : int
        Hosts of one need that may start or load at once only to save money; their
        weights would delay urgent loads from the rate-limited store.
    max_data_age_ms : int
        Nothing is stopped on older offers or an older host list.
    start_timeout_ms, load_timeout_ms : int
        A host that starts or loads for longer is given up and replaced.
    drain_overdue_ms : int
        A drain that takes longer is reported as overdue; it is not cut short.
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
