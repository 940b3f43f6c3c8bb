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
from waxwingbarrow.limits._capacity_admission import (
    CapacityAdmission,
    CapacityAdmissionPolicy,
    CapacityRequest,
    CapacityVerdict,
    FreeCapacity,
    RefuseUntil,
    ServeNow,
    WaitFor,
)
from waxwingbarrow.limits._demand import AccountDemand, DemandMeter
from waxwingbarrow.limits._estimates import Estimate, check_deadline
from waxwingbarrow.limits._proportions import compute_proportional_share
from waxwingbarrow.limits._queue import FairQueue, QueueItem
from waxwingbarrow.limits._shares import PeerDemand, SharePolicy, compute_share

__all__ = [
    "AccountDemand",
    "AccountLimit",
    "Admission",
    "AdmissionController",
    "AdmissionPolicy",
    "AdmissionRequest",
    "CapacityAdmission",
    "CapacityAdmissionPolicy",
    "CapacityRequest",
    "CapacityVerdict",
    "DemandMeter",
    "DequeueResult",
    "Estimate",
    "FairQueue",
    "FreeCapacity",
    "PeerDemand",
    "QueueItem",
    "RefuseUntil",
    "RefusedAdmission",
    "ServeNow",
    "SharePolicy",
    "TokenBucket",
    "WaitFor",
    "check_deadline",
    "compute_proportional_share",
    "compute_share",
]
