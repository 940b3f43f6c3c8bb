"""Capacity planning, worker scaling, weight load scheduling and orders to hosts.

Orders carry the fencing number of the capacity lease, so that those of an earlier
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
    Cell,
    CountNeed,
    CountOrder,
    CountPolicy,
    CountState,
    compute_desired_workers,
    plan_counts,
)

__all__ = [
    "BackoffPolicy",
    "CapacityPlan",
    "CapacityPolicy",
    "Cell",
    "CountNeed",
    "CountOrder",
    "CountPolicy",
    "CountState",
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
    "ZoneLoss",
    "compute_desired_workers",
    "compute_needed_workers",
    "plan_capacity",
    "plan_counts",
    "plan_weight_loads",
]
