"""Waiting and refusal of requests while engines are scarce.

The quota keeper decides if it answers. Otherwise this host decides by the same rules,
for its own requests and by its share of the engines. A request waits in its own task
at the host that holds the caller's connection, so a wait ends with the connection.
"""

import asyncio
from collections.abc import Callable, Sequence

import xxhash
from result import Err, Ok, Result

from waxwingbarrow.core import Clock, Instant, ServiceName
from waxwingbarrow.gateway.admission import (
    Admission,
    OverLimit,
    QuotaAdmission,
    ServiceAdmissions,
    measure_capacity,
)
from waxwingbarrow.gateway.base import Metrics
from waxwingbarrow.gateway.messages import (
    CapacityAnswer,
    CapacityDecision,
    CapacityQuery,
    PlacementAdvice,
    PlacementQuery,
)
from waxwingbarrow.gateway.requests._plans import Plan, Refused
from waxwingbarrow.gateway.requests._routes import pick_service
from waxwingbarrow.gateway.requests._work_meter import WorkMeter, estimate_work_ms
from waxwingbarrow.routing import (
    EngineSpeed,
    Placement,
    PlacementPolicy,
    WorkerView,
)

# Bounds on the requests that wait at this host and on the bytes of their bodies; the
# smallest host has 160 MB.
MAX_WAITING = 256
MAX_WAITING_BYTES = 8_000_000
NO_CAPACITY = "engines are busy"


class CapacityGate:
    """Lets requests to model engines wait, or refuses them, by urgency.

    Parameters
    ----------
    admissions : ServiceAdmissions
        Decides on requests that no keeper decided on.
    count_hosts : callable
        Returns the number of hosts that share the engines.
    policy : PlacementPolicy
        Prefill rate from which the engine time of a prompt is estimated.
    find_speed : callable
        Returns the speed of a service's engines that capacity is planned with.
    """

    def __init__(
        self,
        admissions: ServiceAdmissions,
        quota_admission: QuotaAdmission,
        work_meter: WorkMeter,
        metrics: Metrics,
        clock: Clock,
        count_hosts: Callable[[Instant], int],
        policy: PlacementPolicy,
        find_speed: Callable[[ServiceName, Instant], EngineSpeed],
    ) -> None:
        self._find_speed = find_speed
        self._admissions = admissions
        self._quota_admission = quota_admission
        self._work_meter = work_meter
        self._metrics = metrics
        self._clock = clock
        self._count_hosts = count_hosts
        self._policy = policy
        self._waiting = 0
        self._waiting_bytes = 0

    def make_query(self, plan: Plan) -> CapacityQuery | None:
        """Return what the keeper needs to decide on a request.

        Returns None for a stream that goes on from an earlier request, which has
        started already.
        """
        if plan.metadata.after_event is not None or plan.has_capacity:
            return None
        return CapacityQuery(
            priority=plan.priority,
            account=plan.account.name if plan.account is not None else "",
            objective_ms=plan.route.objective_ms,
            promise=plan.promise,
            request_hash=xxhash.xxh3_64_intdigest(plan.fingerprints.request.encode()),
        )

    async def ask_until_decided(
        self,
        plan: Plan,
        make_query: Callable[[Plan, Instant], PlacementQuery | None],
    ) -> Refused | None:
        """Wait as long as the keeper says, and return its refusal if it refuses.

        A request stays charged to its account while it waits. The charge is refunded if
        it is refused or its caller leaves.
        """
        is_admitted = False
        try:
            refused = self._apply_advice(plan)
            while refused is not None and await self.wait(plan, refused):
                now = self._clock.now()
                query = make_query(plan, now)
                asked: Result[Admission, OverLimit] = Ok(Admission(plan.charge))
                if query is not None:
                    asked = await self._quota_admission.admit(None, 0.0, now, query)
                assert not isinstance(asked, Err), "nothing is charged again"
                plan.advice = asked.ok_value.advice
                plan.advice_source = asked.ok_value.source
                refused = self._apply_advice(plan)
            is_admitted = refused is None
            return refused
        finally:
            if not is_admitted:
                self._quota_admission.refund(
                    plan.account, plan.cost, plan.charge, self._clock.now()
                )

    def _apply_advice(self, plan: Plan) -> Refused | None:
        advice = plan.advice
        if advice is None or advice.admission is None:
            return None
        source = plan.advice_source
        decided_by = (source.keeper if source is not None else "") or "keeper"
        if advice.admission.decision is not CapacityDecision.SERVE:
            plan.advice = None
            self._count_work(plan, advice)
        return self._apply(plan, advice.admission, advice.start_ms, decided_by)

    def check(
        self,
        plan: Plan,
        service: ServiceName,
        placement: Placement,
        views: Sequence[WorkerView],
        latest_start_ms: float,
        now: Instant,
    ) -> Refused | None:
        """Decide on a request that no keeper decided on, before its first attempt."""
        if plan.tried_upstreams or not plan.metadata.has_token_counts:
            return None
        query = self.make_query(plan)
        if query is None:
            return None
        capacity = measure_capacity(
            placement,
            views,
            plan.metadata.prompt_tokens,
            self._policy,
            1 / max(self._count_hosts(now), 1),
        )
        answer = self._admissions.decide(service, query, latest_start_ms, capacity, now)
        return self._apply(plan, answer, placement.start_ms, "own share")

    def _apply(
        self, plan: Plan, answer: CapacityAnswer, start_ms: float, decided_by: str
    ) -> Refused | None:
        plan.trace.capacity_decided_by = decided_by
        plan.promise = answer.promise
        if answer.decision is CapacityDecision.SERVE:
            plan.has_capacity = True
            result = "after a wait" if plan.trace.capacity_wait_ms else "at once"
            self._metrics.count_capacity_decision(
                plan.priority, result, plan.trace.capacity_wait_ms
            )
            return None
        inputs: dict[str, object] = {
            "route": plan.route.name,
            "account": plan.trace.account,
            "priority": plan.priority,
            "start_ms": start_ms,
            "is_promised": answer.is_promised,
            "capacity_decided_by": decided_by,
            "capacity_wait_ms": plan.trace.capacity_wait_ms,
        }
        is_wait = answer.decision is CapacityDecision.WAIT
        if not is_wait:
            self._metrics.count_capacity_decision(plan.priority, "refused", 0)
        return Refused(
            503,
            NO_CAPACITY,
            answer.after_ms / 1000,
            inputs,
            answer.after_ms if is_wait else None,
        )

    async def wait(self, plan: Plan, refused: Refused) -> bool:
        """Wait for capacity; return whether the request should be decided on again.

        A request that finds too many others waiting is refused. The capacity that was
        reserved for it is there when its caller comes back.
        """
        if refused.wait_ms is None:
            return False
        size = len(plan.call.body)
        if (
            self._waiting >= MAX_WAITING
            or self._waiting_bytes + size > MAX_WAITING_BYTES
        ):
            self._metrics.count_capacity_decision(
                plan.priority, "refused, host full", 0
            )
            return False
        started = self._clock.now()
        self._waiting += 1
        self._waiting_bytes += size
        try:
            await asyncio.sleep(refused.wait_ms / 1000)
        finally:
            self._waiting -= 1
            self._waiting_bytes -= size
            waited_ms = self._clock.now().mono_ms - started.mono_ms
            plan.trace.capacity_wait_ms += waited_ms
        return True

    def _count_work(self, plan: Plan, advice: PlacementAdvice) -> None:
        """Count the work of a held request, so that workers are ordered for it."""
        if plan.is_work_counted:
            return
        plan.is_work_counted = True
        now = self._clock.now()
        service = pick_service(plan.route, plan.metadata.request_id)
        speed = self._find_speed(service, now)
        work_ms = estimate_work_ms(plan.metadata, advice.cached_tokens, speed)
        self._work_meter.add(service, work_ms, now)
