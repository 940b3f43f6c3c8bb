"""Requests: planning, dispatch, retries, moves, rollout versions and usage."""

from waxwingbarrow.gateway.requests._capacity_gate import CapacityGate
from waxwingbarrow.gateway.requests._dispatch import Dispatcher
from waxwingbarrow.gateway.requests._moves import StreamMover
from waxwingbarrow.gateway.requests._planner import Planner
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets
from waxwingbarrow.gateway.requests._rollouts import Rollout, Rollouts
from waxwingbarrow.gateway.requests._routes import RouteTable
from waxwingbarrow.gateway.requests._usage import UsageCounter
from waxwingbarrow.gateway.requests._work_meter import WorkMeter

__all__ = [
    "CapacityGate",
    "Dispatcher",
    "Planner",
    "RetryBudgets",
    "Rollout",
    "Rollouts",
    "RouteTable",
    "StreamMover",
    "UsageCounter",
    "WorkMeter",
]
