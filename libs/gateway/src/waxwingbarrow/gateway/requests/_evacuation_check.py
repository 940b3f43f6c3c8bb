"""Refusal of requests whose service has upstreams only in evacuated data centres."""

from waxwingbarrow.core import ServiceName
from waxwingbarrow.gateway.requests._plans import Refused
from waxwingbarrow.gateway.upstreams import Fleet

# Orders to evacuate last for longer; callers learn within seconds that one was revoked.
RETRY_AFTER_EVACUATED_S = 2.0


def check_evacuation(service: ServiceName, fleet: Fleet) -> Refused | None:
    """Refuse a request if nothing may be sent to any upstream of its service."""
    if not fleet.evacuations.count or fleet.list_usable(service, None):
        return None
    if not fleet.list_accepting(service, None):
        return None
    return Refused(503, "all upstreams are evacuated", RETRY_AFTER_EVACUATED_S)
