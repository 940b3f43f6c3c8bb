"""Capacity plan: hosts to start, to stop and to keep, with the reasons."""

import enum

import attrs

from waxwingbarrow.capacity._hosts import HostOffer, RunningHost
from waxwingbarrow.core import DataCentre, ServiceName, VersionName


class StartReason(enum.StrEnum):
    """Why a host is started."""

    DEMAND = "demand"
    SPARE = "spare for the loss of a zone"
    CHEAPER = "replaces a dearer host"


class StopPhase(enum.StrEnum):
    """Step of a stop: a serving host is drained, an idle one returned to the cloud."""

    DRAIN = "drain"
    RETURN = "return"


class StopReason(enum.StrEnum):
    """Why a host is stopped."""

    NOT_NEEDED = "not needed"
    REPLACED = "a cheaper set of hosts serves"
    DRAINED = "drained"
    START_OVERDUE = "start overdue"


class KeepReason(enum.StrEnum):
    """Why a host is kept."""

    NEEDED = "needed"
    WAITS_FOR_REPLACEMENT = "replacement does not serve yet"
    SHORTFALL = "constraints not met"
    CLOUD_UNREACHABLE = "cloud API unreachable"
    STALE_DATA = "information old"
    RECLAIMED = "the cloud takes it"
    DRAINING = "drains"
    DRAIN_OVERDUE = "drain overdue"


class ShortfallReason(enum.StrEnum):
    """Constraint that the available offers cannot meet."""

    NO_SPARE = "a zone's loss is not covered"
    RECLAIMS_ONLY = "only a wave of reclaims is covered"
    DEMAND = "too few hosts for the demand"
    CLOUD_UNREACHABLE = "cloud API unreachable"


@attrs.frozen
class PlannedStart:
    """Host to start from an offer; it runs one worker of the version."""

    offer: HostOffer
    service: ServiceName
    version: VersionName
    reason: StartReason


@attrs.frozen
class PlannedStop:
    """Host to drain, or to return to the cloud if it has no requests in flight."""

    host: RunningHost
    phase: StopPhase
    reason: StopReason


@attrs.frozen
class PlannedKeep:
    """Host that is left as it is."""

    host: RunningHost
    reason: KeepReason


@attrs.frozen
class Shortfall:
    """Constraint of a service need that the plan does not meet.

    Parameters
    ----------
    needed : int
        Number of workers that must remain after the loss of a zone.
    remaining : int
        Number of workers that would remain after it once the plan is carried out.
    """

    service: ServiceName
    version: VersionName
    data_centre: DataCentre
    reason: ShortfallReason
    needed: int
    remaining: int


@attrs.frozen
class CapacityPlan:
    """Result of `plan_capacity`.

    Parameters
    ----------
    starts : tuple of PlannedStart
        Hosts to start, most urgent first.
    stops : tuple of PlannedStop
        Hosts to drain or to return to the cloud.
    keeps : tuple of PlannedKeep
        All other running hosts.
    shortfalls : tuple of Shortfall
        Constraints that the current offers cannot meet.
    cost_per_hour : float
        Cost of the target hosts at current prices.
    """

    starts: tuple[PlannedStart, ...]
    stops: tuple[PlannedStop, ...]
    keeps: tuple[PlannedKeep, ...]
    shortfalls: tuple[Shortfall, ...]
    cost_per_hour: float
