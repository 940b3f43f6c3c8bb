"""Duties that one host carries out at a time."""

from waxwingbarrow.gateway.duties._duties import (
    MEMBER_TTL_MS,
    DutyRunner,
    DutyTask,
    Lease,
)
from waxwingbarrow.gateway.duties._duty_tasks import RolloutTask, UsageTask
from waxwingbarrow.gateway.duties._leased_cloud import LeasedCloud
from waxwingbarrow.gateway.duties._scaling import ScalingTask

__all__ = [
    "MEMBER_TTL_MS",
    "DutyRunner",
    "DutyTask",
    "Lease",
    "LeasedCloud",
    "RolloutTask",
    "ScalingTask",
    "UsageTask",
]
