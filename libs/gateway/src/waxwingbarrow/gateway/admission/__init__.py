"""Admission over all hosts: quotas, permits and placement."""

from waxwingbarrow.gateway.admission._cold_permits import ColdHosts
from waxwingbarrow.gateway.admission._permits import STAND_IN_SHARE, Permits
from waxwingbarrow.gateway.admission._placements import (
    AttemptReporter,
    PlacementAdviser,
)
from waxwingbarrow.gateway.admission._quota_admission import (
    AdviceSource,
    Charge,
    QuotaAdmission,
)
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas

__all__ = [
    "STAND_IN_SHARE",
    "AdviceSource",
    "AttemptReporter",
    "Charge",
    "ColdHosts",
    "Permits",
    "PlacementAdviser",
    "QuotaAdmission",
    "QuotaKeeper",
    "Quotas",
]
