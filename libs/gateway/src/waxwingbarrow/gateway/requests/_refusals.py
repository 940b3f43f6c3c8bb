"""Refusal of prompts that no engine can hold, and log fields of refusals by quota."""

import attrs

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.admission import Quotas
from waxwingbarrow.gateway.base import CallMetadata, Engine
from waxwingbarrow.gateway.requests._plans import Plan, Refused

# Time after which callers of requests that cannot be served should come back.
RETRY_AFTER_SUSPECT_S = 30.0


def check_size(engine: Engine | None, metadata: CallMetadata) -> Refused | None:
    """Refuse a prompt that does not fit into the memory of any engine."""
    if engine is None or not engine.memory_tokens:
        return None
    if metadata.prompt_tokens <= engine.memory_tokens:
        return None
    return Refused(503, "larger than an engine's memory", RETRY_AFTER_SUSPECT_S)


def describe_quota(quotas: Quotas, plan: Plan, now: Instant) -> dict[str, object]:
    """Return the request's cost and the state of its account's quota, as log fields."""
    account = plan.account
    state = quotas.describe(account, now) if account is not None else None
    return {
        "route": plan.route.name,
        "account": account.name if account is not None else "",
        "cost": plan.cost,
        **(attrs.asdict(state) if state is not None else {}),
    }
