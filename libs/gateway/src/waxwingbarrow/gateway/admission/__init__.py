"""Admission over all hosts: quotas, permits and placement."""

from waxwingbarrow.gateway.admission._cold_permits import ColdHosts
from waxwingbarrow.gateway.admission._permits import STAND_IN_SHARE, Permits
from waxwingbarrow.gateway.admission._placements import (
    AttemptReporter,
    PlacementAdviser,
)
from waxwingbarrow.gateway.admission._quota_admission import (
    Admission,
    AdviceSource,
    Charge,
    OverLimit,
    QuotaAdmission,
)
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.admission._service_admissions import (
    ServiceAdmissions,
    measure_capacity,
)

__all__ = [
    "STAND_IN_SHARE",
    "Admission",
    "AdviceSource",
    "AttemptReporter",
    "Charge",
    "ColdHosts",
    "OverLimit",
    "Permits",
    "PlacementAdviser",
    "QuotaAdmission",
    "QuotaKeeper",
    "Quotas",
    "ServiceAdmissions",
    "measure_capacity",
]
