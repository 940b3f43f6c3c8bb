"""Routing, admission and choice of an upstream for each request."""

import random
from collections.abc import Callable, Iterable

import attrs
from result import Err

from waxwingbarrow.core import Instant, ServiceName, UpstreamId
from waxwingbarrow.gateway.admission import Permits, QuotaAdmission, Quotas
from waxwingbarrow.gateway.base import Account, Call, CallMetadata, Codec, Engine, Route
from waxwingbarrow.gateway.messages import PlacementQuery
from waxwingbarrow.gateway.requests._capacity_gate import CapacityGate
from waxwingbarrow.gateway.requests._cold_upstreams import find_rule
from waxwingbarrow.gateway.requests._evacuation_check import check_evacuation
from waxwingbarrow.gateway.requests._planned_stop import StopCheck
from waxwingbarrow.gateway.requests._plans import (
    Plan,
    Refused,
    RequestTrace,
    make_fingerprints,
)
from waxwingbarrow.gateway.requests._refusals import (
    RETRY_AFTER_SUSPECT_S,
    check_size,
    describe_quota,
)
from waxwingbarrow.gateway.requests._rollouts import Rollouts
from waxwingbarrow.gateway.requests._routes import (
    NoAccount,
    NoRoute,
    RouteMatch,
    RouteTable,
    pick_service,
)
from waxwingbarrow.gateway.requests._work_meter import WorkMeter
from waxwingbarrow.gateway.upstreams import CrashTracker, Fingerprints, Fleet, Upstream
from waxwingbarrow.routing import (
    Placement,
    PlacementPolicy,
    RequestSize,
    choose_worker,
    estimate_start_ms,
)

DEFAULT_DEADLINE_MS = 30_000.0
# Times that refusals name in Retry-After. After the first one, an upstream that turned
# a request away is likely to accept another.
RETRY_AFTER_BUSY_S = 0.3
RETRY_AFTER_NOT_READY_S = 0.5
# A model request needs time after its first token, so it is refused at once if it would
# start later than this fraction of its remaining time. A stream that has begun is not:
# a refusal would cut it.
LATEST_START_FRACTION = 0.7


class Planner:
    """Checks requests, admits them by quota and chooses their upstreams.

    Parameters
    ----------
    measure_upstreams_age_ms : callable
        Returns the age of the known registrations of upstreams, for the log.
    capacity_gate : CapacityGate or None
        Admits requests by urgency; None if that is not enabled.

    Attributes
    ----------
    table : RouteTable or None
        Routes of the configuration in force; None before the first one is known.
    stop_check : StopCheck
        Refuses the requests that may not end before the process does.
    """

    def __init__(
        self,
        codec: Codec,
        fleet: Fleet,
        quotas: Quotas,
        quota_admission: QuotaAdmission,
        rollouts: Rollouts,
        crash_tracker: CrashTracker,
        work: WorkMeter,
        policy: PlacementPolicy,
        rng: random.Random,
        measure_upstreams_age_ms: Callable[[Instant], int | None],
        permits: Permits,
        capacity_gate: CapacityGate | None = None,
    ) -> None:
        self._codec = codec
        self._fleet = fleet
        self._quotas = quotas
        self._quota_admission = quota_admission
        self._rollouts = rollouts
        self._crash_tracker = crash_tracker
        self._work_meter = work
        self._policy = policy
        self._rng = rng
        self._measure_upstreams_age_ms = measure_upstreams_age_ms
        self._permits = permits
        self.capacity_gate = capacity_gate
        self.table: RouteTable | None = None
        self.stop_check = StopCheck()

    def plan(self, call: Call, now: Instant) -> Plan | Refused:
        """Resolve the route and account of a request, or refuse it before it runs."""
        if self.table is None:
            return Refused(503, "no configuration", RETRY_AFTER_NOT_READY_S)
        read = self._codec.read_call(call)
        if isinstance(read, Err):
            return Refused(400, read.err_value.reason)
        metadata = read.ok_value
        host = next((v for n, v in call.headers if n.lower() == b"host"), b"")
        path = call.target.split(b"?", 1)[0].decode("latin-1")
        host_name = host.decode("latin-1").rsplit(":", 1)[0].lower()
        match self.table.find(host_name, path, metadata.key):
            case NoRoute():
                return Refused(404, "no route")
            case NoAccount():
                return Refused(401, "unknown key")
            case RouteMatch(route, account):
                return self._make_plan(call, metadata, route, account, now)

    def _make_plan(
        self,
        call: Call,
        metadata: CallMetadata,
        route: Route,
        account: Account | None,
        now: Instant,
    ) -> Plan | Refused:
        assert self.table is not None
        name = account.name if account else ""
        service = pick_service(route, metadata.request_id)
        fingerprints = make_fingerprints(call, name, service, metadata)
        refused = self._check_suspicion(fingerprints, now)
        refused = refused or check_size(self.find_engine(service), metadata)
        refused = refused or check_evacuation(service, self._fleet)
        if refused is not None:
            return refused
        cost = self._quotas.compute_cost(account, metadata)
        deadline_ms = (
            DEFAULT_DEADLINE_MS
            if metadata.deadline_ms is None
            else metadata.deadline_ms
        )
        allowed_ms = int(min(deadline_ms, route.timeout_ms))
        trace = RequestTrace(
            metadata.request_id,
            route.name,
            name,
            config_version=self.table.configuration.version,
        )
        received = now.plus_ms(call.received_ms - now.mono_ms)
        plan = Plan(
            call,
            metadata,
            route,
            account,
            cost,
            received.plus_ms(allowed_ms),
            fingerprints,
            trace,
        )
        return self.stop_check.check(plan, now) or plan

    def _check_suspicion(
        self, fingerprints: Fingerprints, now: Instant
    ) -> Refused | None:
        """Refuse a request that is likely to crash the upstream that runs it."""
        reason = self._crash_tracker.find_refusal(fingerprints, now)
        if reason is None:
            return None
        return Refused(503, reason, RETRY_AFTER_SUSPECT_S)

    async def admit(self, plan: Plan, now: Instant) -> Refused | None:
        """Charge a request to its account; return a refusal if it is over the limit.

        Waits only if another host decides on the account's limit or the placement, or
        for capacity at the engines.
        """
        query = self._make_query(plan, now)
        admitted = await self._quota_admission.admit(
            plan.account, plan.cost, now, query
        )
        if isinstance(admitted, Err):
            over = admitted.err_value
            inputs = describe_quota(self._quotas, plan, now)
            inputs |= {"decided_by": over.decided_by, "keeper_left": over.left}
            return Refused(429, "over the limit", over.retry_after_s, inputs)
        admission = admitted.ok_value
        plan.charge = admission.charge
        plan.advice, plan.advice_source = admission.advice, admission.source
        if self.capacity_gate is None:
            return None
        return await self.capacity_gate.ask_until_decided(plan, self._make_query)

    def _make_query(self, plan: Plan, now: Instant) -> PlacementQuery | None:
        """Return what the keeper needs to place a request to a model engine."""
        metadata = plan.metadata
        service = self.pick_service(plan)
        if not metadata.has_token_counts or self.find_engine(service) is None:
            return None
        usable_upstreams = self._fleet.list_usable(service, None)
        request_id = metadata.request_id
        rule = find_rule(self._rollouts, self._fleet, service, request_id, now)
        remaining_ms = plan.deadline.mono_ms - now.mono_ms
        return PlacementQuery(
            service=service,
            data_centre=self._policy.data_centre,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.max_output_tokens,
            parts=[(part.part, part.tokens) for part in metadata.parts],
            latest_start_ms=remaining_ms * LATEST_START_FRACTION,
            version=rule.only or "",
            excluded_versions=sorted(rule.excluded),
            avoided_upstreams=[
                upstream.entry.upstream
                for upstream in usable_upstreams
                if self._fleet.is_suspect(upstream, now)
                or self._fleet.is_deferred(upstream, now)
            ],
            admission=self.capacity_gate.make_query(plan)
            if self.capacity_gate
            else None,
        )

    def select_upstream(
        self, plan: Plan, now: Instant
    ) -> tuple[Upstream, Placement] | Refused:
        """Choose the upstream for the next attempt.

        Upstreams that the request was already sent to are not chosen again.
        """
        refused = self._check_suspicion(plan.fingerprints, now)
        if not plan.may_have_run:
            refused = refused or self.stop_check.check(plan, now)
        if refused is not None:
            return refused
        metadata = plan.metadata
        service = self.pick_service(plan)
        engine = self.find_engine(service)
        request_id = metadata.request_id
        rule = find_rule(self._rollouts, self._fleet, service, request_id, now)
        allowed = self._fleet.list_allowed(
            service, rule.only, rule.excluded, plan.tried_upstreams
        )
        eligible = [
            upstream
            for upstream in allowed
            if not self._fleet.is_deferred(upstream, now)
        ]
        if allowed and not eligible:
            return_s = self.plan_return_s(plan, now)
            return Refused(503, "upstreams accept no more requests", return_s)
        placement, views = self._follow_advice(plan, eligible, engine, now), None
        work = RequestSize(
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.max_output_tokens,
        )
        if placement is None:
            views = self._fleet.view(eligible, metadata.parts, engine, now)
            chosen = choose_worker(work, views, self._policy, self._rng)
            if isinstance(chosen, Err):
                return Refused(503, "no upstream", self.plan_return_s(plan, now))
            placement = chosen.ok_value
        if not plan.is_work_counted:
            plan.is_work_counted = True
            speed = self._fleet.estimates.find_planned_speed(service, now)
            self._work_meter.add_request(service, metadata, placement.view, speed, now)
        is_model_request = engine is not None and metadata.has_token_counts
        if plan.expected_start_ms is None and is_model_request:
            # The time that a slow engine is known to need would hide its slowness.
            at_normal_speed = attrs.evolve(placement.view, slowdown=1.0)
            plan.expected_start_ms = estimate_start_ms(
                at_normal_speed, work, self._policy
            )
        latest_ms = (plan.deadline.mono_ms - now.mono_ms) * LATEST_START_FRACTION
        if self.capacity_gate is not None and engine is not None and views is not None:
            held = self.capacity_gate.check(
                plan, service, placement, views, latest_ms, now
            )
            if held is not None:
                return held
        late_ms = placement.start_ms - latest_ms
        if late_ms > 0 and not plan.is_response_begun:
            return Refused(503, "cannot start in time", max(late_ms / 1000, 0.1))
        upstream = self._fleet.upstreams[placement.view.upstream]
        trace = plan.trace
        trace.start_ms = round(placement.start_ms, 1)
        trace.cached_tokens = placement.view.cached_tokens
        trace.running = placement.view.running
        trace.candidates = placement.candidates
        trace.upstreams_age_ms = self._measure_upstreams_age_ms(now)
        return upstream, placement

    def plan_return_s(self, plan: Plan, now: Instant) -> float:
        """Return when the caller of a request that did not run should come back.

        That is when the first upstream of its service accepts requests again, those
        included that this attempt has tried.
        """
        service = self.pick_service(plan)
        usable_upstreams = self._fleet.list_usable(service, None)
        if not usable_upstreams or not all(
            self._fleet.is_deferred(upstream, now) for upstream in usable_upstreams
        ):
            return RETRY_AFTER_BUSY_S
        processes = [upstream.process for upstream in usable_upstreams]
        return self._permits.plan_return_s(service, processes, now)

    async def acquire_permit(self, plan: Plan, upstream: Upstream) -> bool:
        """Take a permit for the next attempt, if its upstream limits its requests.

        Without one the upstream is not chosen again for a while.
        """
        permitted, plan.permitted_upstream = plan.permitted_upstream, None
        if permitted == upstream.entry.upstream:
            return True
        return await self._permits.acquire(upstream.process)

    def _follow_advice(
        self,
        plan: Plan,
        eligible: Iterable[Upstream],
        engine: Engine | None,
        now: Instant,
    ) -> Placement | None:
        """Return the placement that the keeper advised, for the first attempt.

        Returns None if there is no advice, or if this host must not or should not use
        the upstream.
        """
        advice, plan.advice = plan.advice, None
        if advice is None:
            plan.advice_source = None
            return None
        advised = [
            item
            for item in eligible
            if item.entry.upstream == advice.upstream
            and not self._fleet.is_suspect(item, now)
        ]
        plan.trace.is_advised = bool(advised)
        if not advised:
            plan.advice_source = None
            return None
        if advice.is_permitted and (
            advice.is_cold or not self._fleet.is_cold(advised[0], now)
        ):
            plan.permitted_upstream = UpstreamId(advice.upstream)
        (view,) = self._fleet.view(advised, (), engine, now)
        return Placement(
            view=attrs.evolve(
                view, running=advice.running, cached_tokens=advice.cached_tokens
            ),
            start_ms=advice.start_ms,
            candidates=advice.candidates,
        )

    def find_engine(self, service: ServiceName) -> Engine | None:
        """Return the properties of a service's engines; None if they are not known."""
        described = self.table.services.get(service) if self.table else None
        return described.engine if described is not None else None

    def select_move_target(
        self, plan: Plan, source: Upstream, now: Instant
    ) -> Upstream | None:
        """Choose an upstream with a free slot and enough memory to move a run to.

        Returns None if there is none.
        """
        metadata, entry = plan.metadata, source.entry
        engine = self.find_engine(entry.service)
        if engine is None:
            return None
        # The memory of a run can be used only with the weights of the same version.
        usable_upstreams = self._fleet.list_usable(entry.service, entry.version)
        unlimited = [
            upstream
            for upstream in usable_upstreams
            if self._fleet.notices.find_lowest_limit_per_s(upstream.process, now)
            is None
            and not self._fleet.is_deferred(upstream, now)
        ]
        needed = metadata.prompt_tokens + metadata.max_output_tokens
        views = [
            view
            for view in self._fleet.view(unlimited, (), engine, now)
            if view.running < view.slots
            and view.used_tokens + needed <= view.memory_tokens
        ]
        work = RequestSize(output_tokens=metadata.max_output_tokens)
        chosen = choose_worker(work, views, self._policy, self._rng)
        if isinstance(chosen, Err):
            return None
        return self._fleet.upstreams[chosen.ok_value.view.upstream]

    def pick_service(self, plan: Plan) -> ServiceName:
        """Choose the service of a request; see `pick_service`."""
        return pick_service(plan.route, plan.metadata.request_id)
