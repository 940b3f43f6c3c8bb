"""Account limits, fair queueing and admission."""

from waxwingbarrow.limits._admission import (
    AccountLimit,
    Admission,
    AdmissionController,
    AdmissionPolicy,
    AdmissionRequest,
    DequeueResult,
    RefusedAdmission,
)
from waxwingbarrow.limits._buckets import TokenBucket
from waxwingbarrow.limits._demand import AccountDemand, DemandMeter
from waxwingbarrow.limits._estimates import Estimate, check_deadline
from waxwingbarrow.limits._proportions import compute_proportional_share
from waxwingbarrow.limits._queue import FairQueue, QueueItem
from waxwingbarrow.limits._room import (
    FreeCapacity,
    RefuseUntil,
    RoomAdmission,
    RoomPolicy,
    RoomRequest,
    RoomVerdict,
    ServeNow,
    WaitFor,
)
from waxwingbarrow.limits._shares import PeerDemand, SharePolicy, compute_share

__all__ = [
    "AccountDemand",
    "AccountLimit",
    "Admission",
    "AdmissionController",
    "AdmissionPolicy",
    "AdmissionRequest",
    "DemandMeter",
    "DequeueResult",
    "Estimate",
    "FairQueue",
    "FreeCapacity",
    "PeerDemand",
    "QueueItem",
    "RefuseUntil",
    "RefusedAdmission",
    "RoomAdmission",
    "RoomPolicy",
    "RoomRequest",
    "RoomVerdict",
    "ServeNow",
    "SharePolicy",
    "TokenBucket",
    "WaitFor",
    "check_deadline",
    "compute_proportional_share",
    "compute_share",
]
