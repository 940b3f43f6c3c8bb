"""Choice of the upstream of each attempt, and recording of the attempt's result."""

import hashlib
import random
from collections.abc import Callable, Collection

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    CrashSuspected,
    Instant,
    NoUpstream,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.daemon._control import Configuration, ControlPlane
from waxwingbarrow.daemon._fleet import Fleet, LoadReport
from waxwingbarrow.daemon._metrics import Metrics
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._rollouts import Rollouts
from waxwingbarrow.daemon._trace import Trace
from waxwingbarrow.rollout import ResponseQuality
from waxwingbarrow.routing import (
    CrashSuspects,
    LeavingSource,
    PrefixIndex,
    ReclaimPolicy,
    ReclaimStep,
    RetryBudget,
    RouteRequest,
    RoutingPolicy,
    StreamState,
    UpstreamChoice,
    UpstreamIncarnation,
    UpstreamView,
    choose_upstream,
    decide_reclaim,
    hash_prefix,
)
from waxwingbarrow.streams import ResumeToken
from waxwingbarrow.upstreams import LoadReport as ReportedLoad
from waxwingbarrow.upstreams import UpstreamAddress

CHARS_PER_TOKEN = 4  # usual for English text; only ratios between prompts matter here


@attrs.frozen
class Attempt:
    """One attempt at a request: the chosen upstream and the inputs of the choice.

    Parameters
    ----------
    fingerprint : str
        Digest of the request; see `compute_fingerprint`.
    prompt_tokens : int
        Estimated number of tokens in the prompt.
    prefix_blocks : tuple of int
        Hashes of the prompt's prefixes, one for each block.
    version : VersionName
        Version of the service that the attempt uses.
    """

    choice: UpstreamChoice
    fingerprint: str
    prompt_tokens: int
    prefix_blocks: tuple[int, ...]
    version: VersionName
    started: Instant

    @property
    def upstream(self) -> UpstreamId:
        """The upstream that runs the attempt."""
        return self.choice.view.upstream


def compute_fingerprint(request: CallerRequest) -> str:
    """Return the digest that is equal for all attempts at the same request.

    It relates crashes of upstreams to the request that may have caused them.
    """
    digest = hashlib.sha256()
    for part in (request.account, request.service, request.route.route):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()[:32]


class Dispatcher:
    """Chooses upstreams and records the results of attempts.

    Parameters
    ----------
    fleet : Fleet
        Upstreams and their health.
    control : ControlPlane
        Service documents and rollout verdicts.
    rollouts : Rollouts
        Traffic shares of versions, and evidence about them.
    policy : RoutingPolicy
        Weights in the choice of an upstream.
    block_chars : int
        Size of the blocks in which prompt prefixes are compared, in characters.
    metrics : Metrics
        Counters of attempts.
    trace : Trace
        Record of recent request events.
    rng : random.Random
        Chooses among equivalent upstreams.
    on_crash_change : callable
        Called when other hosts should learn of a crashed upstream or of a suspicion
        that was cleared.
    on_leaving : callable
        Called when an upstream reports that it is leaving.
    """

    def __init__(
        self,
        fleet: Fleet,
        control: ControlPlane,
        rollouts: Rollouts,
        policy: RoutingPolicy,
        block_chars: int,
        metrics: Metrics,
        trace: Trace,
        rng: random.Random,
        on_crash_change: Callable[[], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self.fleet = fleet
        self.prefixes = PrefixIndex(block_tokens=block_chars // CHARS_PER_TOKEN)
        self.crash_suspects = CrashSuspects()
        self.retry_budget = RetryBudget()
        self._control = control
        self._rollouts = rollouts
        self._policy = policy
        self._reclaim_policy = ReclaimPolicy()
        self._block_chars = block_chars
        self._metrics = metrics
        self._trace = trace
        self._rng = rng
        self._on_crash_change = on_crash_change
        self._on_leaving = on_leaving

    def pick_version(
        self, configuration: Configuration, request: CallerRequest, now: Instant
    ) -> VersionName:
        """Return the version for the first attempt at a request."""
        agreed = self._control.find_agreed_verdict(configuration)
        return self._rollouts.select_version(
            configuration, agreed, request.request_id, now
        )

    def choose(
        self,
        request: CallerRequest,
        prompt: str,
        max_output_tokens: int,
        version: VersionName,
        excluded: Collection[UpstreamId],
        now: Instant,
        fingerprint: str = "",
    ) -> Result[Attempt, NoUpstream | CrashSuspected]:
        """Choose the upstream of one attempt and record the start of the attempt.

        Parameters
        ----------
        prompt : str
            Prompt and the text delivered so far; empty for a plain service.
        excluded : collection of UpstreamId
            Upstreams not to choose, because an attempt there failed or left them.
        fingerprint : str
            Fingerprint of the original request; computed from `request` if empty.
        """
        fingerprint = fingerprint or compute_fingerprint(request)
        checked = self.crash_suspects.check(fingerprint, now)
        if isinstance(checked, Err):
            return checked
        prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        route_request = RouteRequest(
            service=request.service,
            route=request.route.route,
            priority_class=request.priority_class,
            prefix_blocks=hash_prefix(prompt, self._block_chars),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            version=version,
            account=request.account,
            fingerprint=fingerprint,
        )
        views = self.fleet.list_views(request.service, now)
        untried = [view for view in views if view.upstream not in excluded]
        to_avoid = self.crash_suspects.list_upstreams_to_avoid(fingerprint, now)
        # A suspected request avoids upstreams where another suspect runs. They are used
        # only if there is no other.
        preferred = [
            view
            for view in untried
            if UpstreamIncarnation(view.upstream, view.incarnation) not in to_avoid
        ]
        chosen = choose_upstream(
            route_request, preferred, self.prefixes, self._policy, now, self._rng
        )
        if isinstance(chosen, Err) and to_avoid:
            chosen = choose_upstream(
                route_request, untried, self.prefixes, self._policy, now, self._rng
            )
        if isinstance(chosen, Err):
            return chosen
        attempt = Attempt(
            chosen.ok_value,
            fingerprint,
            prompt_tokens,
            route_request.prefix_blocks,
            version,
            now,
        )
        self._start(request, route_request, attempt, now)
        return Ok(attempt)

    def _start(
        self,
        request: CallerRequest,
        route_request: RouteRequest,
        attempt: Attempt,
        now: Instant,
    ) -> None:
        view = attempt.choice.view
        self.fleet.start(view, attempt.prompt_tokens)
        self.crash_suspects.start(attempt.fingerprint, view.upstream, view.incarnation)
        if route_request.prefix_blocks:
            self.prefixes.record_prompt(view.upstream, route_request.prefix_blocks, now)
        self._trace.record(
            request.request_id,
            "attempt",
            f"{view.upstream} {attempt.version}",
            now,
        )

    def finish(
        self,
        configuration: Configuration,
        request: CallerRequest,
        attempt: Attempt,
        quality: ResponseQuality | None,
        now: Instant,
        detail: str = "",
    ) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        quality : ResponseQuality or None
            None if the result says nothing about the upstream or its version, for
            example after the caller disconnected.
        detail : str
            Description of the result, shown to operators.
        """
        view = attempt.choice.view
        succeeded = None if quality is None else quality is ResponseQuality.COMPLETE
        self.fleet.finish(view, succeeded, now)
        had_suspicion = bool(self.crash_suspects.list_suspicions(now))
        self.crash_suspects.finish(
            attempt.fingerprint,
            view.upstream,
            view.incarnation,
            bool(succeeded),
            now,
        )
        if succeeded and had_suspicion:
            self._on_crash_change()
        result = quality.value if quality is not None else "ended"
        self._metrics.attempts.labels(request.service, attempt.version, result).inc()
        self._trace.record(request.request_id, result, detail or view.upstream, now)
        if quality is not None:
            self._rollouts.record(
                configuration,
                attempt.version,
                request.route.route,
                quality,
                now.mono_ms - attempt.started.mono_ms,
                now,
            )

    def begin_resumed_attempt(self, token: ResumeToken, now: Instant) -> Attempt | None:
        """Start an attempt that resumes a stream at the upstream named in its token.

        Returns None if the upstream is not known any more or has another address.
        """
        view = self.fleet.find(token.upstream, now)
        if view is None or view.address != token.address:
            return None
        choice = UpstreamChoice(
            view=view, first_token_ms=0.0, matched_tokens=0, candidates=1
        )
        self.fleet.start(view, 0)
        self.crash_suspects.start(token.fingerprint, view.upstream, view.incarnation)
        return Attempt(choice, token.fingerprint, 0, (), token.version, now)

    def record_answer_start(self, attempt: Attempt, cached_tokens: int) -> None:
        """Record that the engine began to answer, and how many tokens were cached."""
        view = attempt.choice.view
        self.fleet.record_prompt_processed(view, attempt.prompt_tokens)
        recomputed = max(0, attempt.prompt_tokens - cached_tokens)
        self._metrics.recomputed_tokens.labels(view.service, attempt.version).inc(
            recomputed
        )
        if attempt.prefix_blocks:
            self.prefixes.adjust_capacity(
                view.upstream,
                attempt.prefix_blocks,
                attempt.choice.matched_tokens,
                cached_tokens,
            )

    def decide_reclaim(
        self,
        attempt: Attempt,
        context_chars: int,
        remaining_tokens: int,
        token_ms: float | None,
        now: Instant,
    ) -> ReclaimStep:
        """Decide whether a stream stays on an upstream that may be reclaimed.

        Parameters
        ----------
        context_chars : int
            Characters of the prompt and of the text generated so far.
        token_ms : float or None
            Observed time per token; None before the second token.
        """
        view = attempt.choice.view
        left_ms = self.fleet.compute_time_left_ms(view, now)
        if left_ms is None:
            return ReclaimStep.STAY
        state = StreamState(
            left_ms=left_ms,
            remaining_tokens=remaining_tokens,
            token_ms=token_ms,
            context_tokens=context_chars // CHARS_PER_TOKEN,
            prefill_tokens_per_s=view.prefill_tokens_per_s,
        )
        return decide_reclaim(state, self._reclaim_policy)

    def record_load(
        self, view: UpstreamView, load: ReportedLoad | None, now: Instant
    ) -> None:
        """Record the load that an upstream reported with a response."""
        if load is None:
            return
        self.fleet.report_load(
            view.upstream, view.incarnation, convert_load_report(load, now)
        )

    def record_leaving(self, view: UpstreamView) -> None:
        """Record that an upstream reported in a response that it is leaving."""
        source = LeavingSource.RESPONSE
        if self.fleet.report_leaving(view.upstream, view.incarnation, source):
            self._on_leaving()

    def record_upstream_loss(self, attempt: Attempt, now: Instant) -> None:
        """Record that the upstream process of an attempt was lost."""
        view = attempt.choice.view
        if self.crash_suspects.record_loss(view.upstream, view.incarnation, now):
            self.prefixes.forget(view.upstream)
            self._on_crash_change()

    def choose_fallback(
        self, configuration: Configuration, version: VersionName, now: Instant
    ) -> VersionName:
        """Return the version for a retry after a failed attempt at `version`."""
        rollout = configuration.document.rollout
        if rollout is None or version != rollout.to_version:
            return version
        agreed = self._control.find_agreed_verdict(configuration)
        share = self._rollouts.decide(configuration, agreed, now).share
        # Once all requests go to the new version, the old one may have no upstreams.
        return version if share.percent >= 100 else rollout.from_version


def make_address(view: UpstreamView) -> UpstreamAddress:
    """Return the address of an upstream."""
    return UpstreamAddress(view.upstream, view.address)


def convert_load_report(load: ReportedLoad, now: Instant) -> LoadReport:
    """Convert the load report of an upstream to the form that the fleet stores."""
    return LoadReport(
        in_flight=load.in_flight,
        queued_tokens=load.queued_tokens,
        prefill_tokens_per_s=load.prefill_tokens_per_s,
        decode_tokens_per_s=load.decode_tokens_per_s,
        batch_limit=max(1, load.batch_limit),
        reported_at=now.plus_ms(-load.age_ms),
    )
