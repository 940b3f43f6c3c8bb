"""Capacity planning, worker scaling, weight load scheduling and orders to hosts.

Orders carry the fencing token of the capacity lease, so that those of an earlier
holder can be refused.
"""

from waxwingbarrow.capacity._actions import (
    CapacityPlan,
    KeepReason,
    PlannedKeep,
    PlannedStart,
    PlannedStop,
    Shortfall,
    ShortfallReason,
    StartReason,
    StopPhase,
    StopReason,
)
from waxwingbarrow.capacity._backoff import (
    BackoffPolicy,
    StartBackoff,
)
from waxwingbarrow.capacity._hosts import (
    CapacityPolicy,
    HostList,
    HostOffer,
    HostState,
    OfferKey,
    OfferList,
    RunningHost,
    ServiceNeed,
    ZoneLoss,
)
from waxwingbarrow.capacity._order_tracker import (
    OrderTracker,
)
from waxwingbarrow.capacity._orders import (
    DrainHost,
    LeaseNotHeld,
    LoadVersion,
    Order,
    OrderContent,
    OrderDone,
    OrderEntry,
    OrderFailure,
    OrderNotSent,
    OrderPolicy,
    OrderRefused,
    OrderResult,
    OrderStale,
    OrderState,
    OrderUnsettled,
    ReturnHost,
    StartHost,
    TakeoverPending,
    TargetBusy,
)
from waxwingbarrow.capacity._planning import (
    plan_capacity,
)
from waxwingbarrow.capacity._targets import (
    compute_needed_workers,
)
from waxwingbarrow.capacity._weight_loads import (
    LoadRequest,
    WeightLoad,
    plan_weight_loads,
)
from waxwingbarrow.capacity._worker_scaling import (
    ScalingNeed,
    ScalingOrder,
    ScalingPolicy,
    ScalingState,
    WorkerPool,
    compute_desired_workers,
    plan_scaling,
)

__all__ = [
    "BackoffPolicy",
    "CapacityPlan",
    "CapacityPolicy",
    "DrainHost",
    "HostList",
    "HostOffer",
    "HostState",
    "KeepReason",
    "LeaseNotHeld",
    "LoadRequest",
    "LoadVersion",
    "OfferKey",
    "OfferList",
    "Order",
    "OrderContent",
    "OrderDone",
    "OrderEntry",
    "OrderFailure",
    "OrderNotSent",
    "OrderPolicy",
    "OrderRefused",
    "OrderResult",
    "OrderStale",
    "OrderState",
    "OrderTracker",
    "OrderUnsettled",
    "PlannedKeep",
    "PlannedStart",
    "PlannedStop",
    "ReturnHost",
    "RunningHost",
    "ScalingNeed",
    "ScalingOrder",
    "ScalingPolicy",
    "ScalingState",
    "ServiceNeed",
    "Shortfall",
    "ShortfallReason",
    "StartBackoff",
    "StartHost",
    "StartReason",
    "StopPhase",
    "StopReason",
    "TakeoverPending",
    "TargetBusy",
    "WeightLoad",
    "WorkerPool",
    "ZoneLoss",
    "compute_desired_workers",
    "compute_needed_workers",
    "plan_capacity",
    "plan_scaling",
    "plan_weight_loads",
]
