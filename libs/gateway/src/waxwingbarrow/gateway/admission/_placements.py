"""Placement of requests to engines by one host for all, in deployments with relays.

There a host learns of the requests of the others half a second late, when most of their
prompts have been prefilled, and of few of their prompt parts. Hosts that choose by such
figures send several long prompts to one engine while others are idle. The quota keeper
is asked about most requests anyway, so it also tells where to send them. A host follows
the advice as long as it may use that upstream itself, and reports the first event or
the failure, so that all hosts avoid an engine that one of them found slow or broken.
"""

import random
from collections.abc import Callable

import attrs
from result import Err

from waxwingbarrow.core import DataCentre, Instant, ServiceName, UpstreamId, VersionName
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.admission._quota_admission import AdviceSource, RequestKey
from waxwingbarrow.gateway.admission._service_admissions import (
    ServiceAdmissions,
    measure_capacity,
)
from waxwingbarrow.gateway.base import Engine
from waxwingbarrow.gateway.messages import (
    MESSAGE_FORMAT,
    AttemptOutcome,
    AttemptReport,
    CapacityDecision,
    PlacementAdvice,
    PlacementQuery,
)
from waxwingbarrow.gateway.upstreams import EngineEstimates, Fleet, Upstream
from waxwingbarrow.routing import (
    BacklogPolicy,
    BacklogTracker,
    DecodingTime,
    PlacementPolicy,
    PrefillTime,
    PromptPart,
    RequestSize,
    choose_worker,
)


class PlacementAdviser:
    """Chooses upstreams for the requests of all hosts while this host is the keeper.

    Parameters
    ----------
    policy : PlacementPolicy
        Its data centre is replaced by that of the host that asks.
    find_engine : callable
        Returns the properties of a service's engines; None if they are not known.
    admissions : ServiceAdmissions or None
        Decides which requests are served while engines are scarce; None if all are that
        can start in time.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: PlacementPolicy,
        rng: random.Random,
        find_engine: Callable[[ServiceName], Engine | None],
        permit_keeper: PermitKeeper,
        admissions: ServiceAdmissions | None = None,
    ) -> None:
        self._fleet = fleet
        self._permit_keeper = permit_keeper
        self._policy = policy
        self._rng = rng
        self._find_engine = find_engine
        self._admissions = admissions
        self._backlog = BacklogTracker(
            BacklogPolicy(prefill_tokens_per_ms=policy.prefill_tokens_per_ms),
            fleet.find_usual_slowdown,
        )

    def advise(
        self, query: PlacementQuery, key: RequestKey, now: Instant
    ) -> PlacementAdvice | None:
        """Choose an upstream for a request and count the request there.

        A request that cannot start in time, waits or is refused is not counted, because
        it is not sent.
        Returns None if no upstream can be used.

        Parameters
        ----------
        key : tuple
            Identifies the request in the later report about its attempt.
        """
        service = ServiceName(query.service)
        engine = self._find_engine(service)
        if engine is None:
            return None
        parts = tuple(PromptPart(part, tokens) for part, tokens in query.parts)
        allowed = self._fleet.list_allowed(
            service,
            VersionName(query.version) if query.version else None,
            query.excluded_versions,
            query.avoided_upstreams,
        )
        permitted = [
            item
            for item in allowed
            if not self._permit_keeper.measure_wait_s(item.process, now)
        ]
        views = self._fleet.view(permitted, parts, engine, now, self._backlog)
        size = RequestSize(
            prompt_tokens=query.prompt_tokens, output_tokens=query.output_tokens
        )
        policy = attrs.evolve(self._policy, data_centre=DataCentre(query.data_centre))
        chosen = choose_worker(size, views, policy, self._rng)
        if isinstance(chosen, Err):
            return None
        placement = chosen.ok_value
        view = placement.view
        is_placed = placement.start_ms <= query.latest_start_ms
        admission = None
        if self._admissions is not None and query.admission is not None:
            capacity = measure_capacity(placement, views, query.prompt_tokens, policy)
            admission = self._admissions.decide(
                service, query.admission, query.latest_start_ms, capacity, now
            )
            is_placed = admission.decision is CapacityDecision.SERVE
        if is_placed:
            process = self._fleet.upstreams[view.upstream].process
            self._permit_keeper.take(process, now)
            prefill_tokens = max(query.prompt_tokens - view.cached_tokens, 0)
            has_slot = view.running < view.slots
            self._backlog.record(
                view.upstream, key, prefill_tokens, now, has_slot=has_slot
            )
            if len(self._backlog) > 2 * len(self._fleet.upstreams):
                self._backlog.retain(self._fleet.upstreams)
            self._fleet.parts.record_prompt(view.upstream, parts)
        return PlacementAdvice(
            str(view.upstream),
            round(placement.start_ms, 1),
            view.cached_tokens,
            view.running,
            placement.candidates,
            is_placed,
            admission,
            self._fleet.is_cold(self._fleet.upstreams[view.upstream], now),
        )

    def note_attempt(self, report: AttemptReport, sender: str, now: Instant) -> None:
        """Record the outcome of an attempt of any host.

        Parameters
        ----------
        sender : str
            Address of the host; empty for this one, whose own records have it already.
        """
        name, key = UpstreamId(report.upstream), (sender, report.number)
        upstream = self._fleet.upstreams.get(name)
        if upstream is None or upstream.entry.process_started_ms != report.started_ms:
            return
        time: PrefillTime | DecodingTime | None = None
        match report.outcome:
            case AttemptOutcome.FIRST_EVENT:
                time = self._backlog.note_first_event(name, key, now)
            case AttemptOutcome.ENDED:
                if report.step_ms is None or report.running is None:
                    return
                time = DecodingTime(step_ms=report.step_ms, running=report.running)
            case _:
                self._backlog.note_failure(name, key)
        if time is not None:
            service = upstream.entry.service
            self._fleet.estimates.record(service, name, time, now, is_alone=True)
        if not sender:
            return
        match report.outcome:
            case AttemptOutcome.FIRST_EVENT:
                self._fleet.record(upstream, False, now)
            case AttemptOutcome.FAILED:
                self._fleet.record(upstream, True, now)
            case AttemptOutcome.UNREACHABLE:
                self._fleet.record_unreachable(upstream, now)
            case AttemptOutcome.NOT_RUN:
                upstream.record(True, now)

    def reset(self) -> None:
        """Forget all placements, because another host places the requests now."""
        self._backlog.clear()
        if self._admissions is not None:
            self._admissions.reset()


class AttemptReporter:
    """Reports outcomes of attempts at engines to the keeper.

    Parameters
    ----------
    adviser : PlacementAdviser
        Gets the reports while this host is the keeper.
    list_keepers : callable
        Returns the addresses of the keeper and its deputies; see `QuotaAdmission`.
    send : callable
        Sends a message to a host's address.
    estimates : EngineEstimates or None
        Gets what this host observes while there is no keeper; None if no speeds are
        estimated.
    """

    def __init__(
        self,
        adviser: PlacementAdviser,
        list_keepers: Callable[[Instant], list[str]],
        send: Callable[[AttemptReport, str], None],
        estimates: EngineEstimates | None = None,
    ) -> None:
        self._estimates = estimates
        self._adviser = adviser
        self._list_keepers = list_keepers
        self._send = send

    def report(
        self,
        upstream: Upstream,
        advice: AdviceSource | None,
        outcome: AttemptOutcome,
        now: Instant,
        time: PrefillTime | DecodingTime | None = None,
    ) -> None:
        """Report how far an attempt came.

        Parameters
        ----------
        advice : AdviceSource or None
            What the attempt followed. Other attempts are reported to the host that
            would be asked now.
        time : PrefillTime, DecodingTime or None
            What the attempt says about the speed of the engine.
        """
        entry = upstream.entry
        if advice is None:
            keepers = self._list_keepers(now)
            if not keepers:
                if self._estimates is not None and time is not None:
                    self._estimates.record(
                        entry.service, entry.upstream, time, now, is_alone=False
                    )
                return
            advice = AdviceSource(keepers[0], 0)
        decoding = time if isinstance(time, DecodingTime) else None
        report = AttemptReport(
            MESSAGE_FORMAT,
            advice.number,
            entry.upstream,
            entry.process_started_ms,
            outcome,
            decoding.step_ms if decoding is not None else None,
            decoding.running if decoding is not None else None,
        )
        if advice.keeper:
            self._send(report, advice.keeper)
        else:
            self._adviser.note_attempt(report, "", now)
