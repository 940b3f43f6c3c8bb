"""Choice of upstream, upstream health, retry budgets and prompt cache indexes.

Also detects requests that crash upstreams and decides what happens to the streams of an
upstream that the cloud reclaims.
"""

from waxwingbarrow.routing._backlog import BacklogPolicy, BacklogTracker
from waxwingbarrow.routing._blocks import hash_prefix
from waxwingbarrow.routing._budget import RetryBudget
from waxwingbarrow.routing._choice import choose_upstream, select_subset
from waxwingbarrow.routing._crashes import (
    CrashSuspects,
    CrashSuspicion,
    UpstreamIncarnation,
    find_culprits,
)
from waxwingbarrow.routing._engine_speeds import (
    DecodingTime,
    EngineSpeed,
    EstimatePolicy,
    PrefillTime,
)
from waxwingbarrow.routing._engines import (
    Placement,
    PlacementPolicy,
    RequestSize,
    WorkerView,
    choose_worker,
    estimate_start_ms,
)
from waxwingbarrow.routing._estimates import EngineEstimator
from waxwingbarrow.routing._health import (
    HealthPolicy,
    HealthRegistry,
    LeavingSource,
    UpstreamHealth,
)
from waxwingbarrow.routing._hedging import (
    AttemptTimes,
    HedgePolicy,
    HedgeRefusal,
    SlowAttempt,
    compute_hedge_delay_ms,
    find_hedge_refusal,
)
from waxwingbarrow.routing._parts import PartIndex, PromptPart
from waxwingbarrow.routing._prefixes import CacheEvent, CacheEventKind, PrefixIndex
from waxwingbarrow.routing._reclaims import (
    ReclaimPolicy,
    ReclaimStep,
    StreamState,
    decide_reclaim,
)
from waxwingbarrow.routing._views import (
    HealthState,
    RouteRequest,
    RoutingPolicy,
    UpstreamChoice,
    UpstreamView,
)

__all__ = [
    "AttemptTimes",
    "BacklogPolicy",
    "BacklogTracker",
    "CacheEvent",
    "CacheEventKind",
    "CrashSuspects",
    "CrashSuspicion",
    "DecodingTime",
    "EngineEstimator",
    "EngineSpeed",
    "EstimatePolicy",
    "HealthPolicy",
    "HealthRegistry",
    "HealthState",
    "HedgePolicy",
    "HedgeRefusal",
    "LeavingSource",
    "PartIndex",
    "Placement",
    "PlacementPolicy",
    "PrefillTime",
    "PrefixIndex",
    "PromptPart",
    "ReclaimPolicy",
    "ReclaimStep",
    "RequestSize",
    "RetryBudget",
    "RouteRequest",
    "RoutingPolicy",
    "SlowAttempt",
    "StreamState",
    "UpstreamChoice",
    "UpstreamHealth",
    "UpstreamIncarnation",
    "UpstreamView",
    "WorkerView",
    "choose_upstream",
    "choose_worker",
    "compute_hedge_delay_ms",
    "decide_reclaim",
    "estimate_start_ms",
    "find_culprits",
    "find_hedge_refusal",
    "hash_prefix",
    "select_subset",
]
