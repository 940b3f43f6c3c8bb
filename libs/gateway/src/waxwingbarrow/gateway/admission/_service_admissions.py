"""Admission by urgency for each service, from the views of its engines."""

import random
from collections.abc import Sequence

from waxwingbarrow.core import AccountId, Instant, ServiceName
from waxwingbarrow.gateway.base import AdmissionSettings
from waxwingbarrow.gateway.messages import (
    CapacityAnswer,
    CapacityDecision,
    CapacityQuery,
)
from waxwingbarrow.limits import (
    CapacityAdmission,
    CapacityAdmissionPolicy,
    CapacityRequest,
    FreeCapacity,
    RefuseUntil,
    ServeNow,
    WaitFor,
)
from waxwingbarrow.routing import Placement, PlacementPolicy, WorkerView


class ServiceAdmissions:
    """Decides on requests to model engines, separately for each service.

    Parameters
    ----------
    rng : random.Random
        See `CapacityAdmission`.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self._policy = CapacityAdmissionPolicy(scarce_share=settings.scarce_share)
        self._rng = rng
        self._admissions: dict[ServiceName, CapacityAdmission] = {}

    def decide(
        self,
        service: ServiceName,
        query: CapacityQuery,
        latest_start_ms: float,
        capacity: FreeCapacity,
        now: Instant,
    ) -> CapacityAnswer:
        """Decide on a request.

        Parameters
        ----------
        service : ServiceName
            One of the configuration, which bounds the number of services.
        latest_start_ms : float
            Time in which the request must have started.
        """
        admission = self._admissions.get(service)
        if admission is None:
            admission = self._admissions[service] = CapacityAdmission(
                self._policy, self._rng
            )
        request = CapacityRequest(
            priority=query.priority,
            account=AccountId(query.account),
            objective_ms=query.objective_ms,
            latest_start_ms=latest_start_ms,
            promise=query.promise,
            request_hash=query.request_hash,
        )
        match admission.decide(request, capacity, now):
            case ServeNow(is_promised):
                return CapacityAnswer(CapacityDecision.SERVE, is_promised=is_promised)
            case WaitFor(wait_ms, promise):
                return CapacityAnswer(
                    CapacityDecision.WAIT, round(wait_ms, 1), promise, True
                )
            case RefuseUntil(retry_after_s, is_promised):
                after_ms = round(retry_after_s * 1000, 1)
                return CapacityAnswer(
                    CapacityDecision.REFUSE, after_ms, is_promised=is_promised
                )

    def reset(self) -> None:
        """Forget all demand and promises, because another host decides now."""
        self._admissions.clear()


def measure_capacity(
    placement: Placement,
    views: Sequence[WorkerView],
    prompt_tokens: int,
    policy: PlacementPolicy,
    share: float = 1.0,
) -> FreeCapacity:
    """Return what is free for a request at the engines it may use.

    Parameters
    ----------
    placement : Placement
        The best engine for it.
    share : float
        Share of the engines that the deciding host may count on.
    """
    best = placement.view
    own_tokens = max(prompt_tokens - best.cached_tokens, 0)
    own_ms = best.slowdown * own_tokens / policy.prefill_tokens_per_ms
    usable = [view for view in views if not view.is_suspect] or views
    engines = sum(1 / max(view.slowdown, 0.01) for view in usable)
    return FreeCapacity(
        start_ms=placement.start_ms,
        own_ms=min(own_ms, placement.start_ms),
        engines=engines * share,
    )
