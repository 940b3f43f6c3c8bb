"""Comparison of rollout decisions with fixed thresholds on generated versions."""

import enum
import random
import statistics
from collections.abc import Iterator
from typing import Protocol

import attrs

from waxwingbarrow.core import (
    HostId,
    Incarnation,
    Instant,
    RequestId,
    RouteName,
    VersionName,
)
from waxwingbarrow.document import Rollout, ServiceDocument, read_document
from waxwingbarrow.rollout import (
    Done,
    Evidence,
    EvidenceKey,
    EvidenceRecorder,
    ResponseQuality,
    Share,
    Withdrawals,
    Withdrawn,
    decide_rollout,
    encode_evidence,
    pick_version,
)

SEED = 20270301
REVISION = 7
ORIGIN_COUNT = 4
# Decisions use the counters of the previous tick, because gossip has a delay.
TICK_MS = 10_000
REQUESTS_PER_S = 12
ROUTES = (("care-plan", 0.55), ("question", 0.4), ("tagging", 0.05))
FAULTY_ROUTE = "tagging"  # the rarest route, where a pooled average hides a fault
LOAD_FAULT_SHARE_PERCENT = 30
# Bursts of failures and slow responses of a noisy version, which has no fault.
BURST_COUNT = 6
BURST_MS = 60_000
DOCUMENT_JSON = """{"schema_version": 1, "service": "care-assistant", "kind": "model",
"accounts": [{"account": "a", "requests_per_s": 100, "tokens_per_s": 1000,
"key_hashes": ["sha256:%064d"]}],
"routes": [%s], "versions": [{"version": "old", "model": "m1"},
{"version": "new", "model": "m2"}], "stable_version": "old",
"rollout": {"from_version": "old", "to_version": "new",
"start": "2027-03-01T08:00:00Z", "finish_by": "2027-03-01T09:00:00Z"},
"placements": [{"data_centre": "dc-1", "workers": 9}]}"""


class VersionKind(enum.StrEnum):
    """Behaviour of a generated version; the values name rows of the tables."""

    HEALTHY = "healthy"
    NOISY = "healthy noisy"
    AT_ONCE = "failing at once"
    LATE = "failing late"
    SLOW = "slow"
    WRONG_LENGTH = "wrong length"
    UNDER_LOAD = "under load only"
    ONE_ROUTE = "on one route only"

    @property
    def is_good(self) -> bool:
        """Whether the version has no fault."""
        return self in (VersionKind.HEALTHY, VersionKind.NOISY)


@attrs.frozen
class RolloutRow:
    """Outcomes of one policy with one kind of version.

    Parameters
    ----------
    withdraw_s, withdraw_max_s : float or None
        Mean and longest time from the fault's first occurrence to the withdrawal.
    faulty_share_percent : float or None
        Requests that the faulty version got, in percent of all requests from the
        fault's first occurrence to the deadline; mean over the runs.
    finish_s : float or None
        Mean time from the start until the rollout was done.
    evidence_bytes : int
        Largest gossip payload of one origin; 0 where none is used.
    """

    kind: VersionKind
    policy: str
    runs: int
    withdrawn: int
    done: int
    undecided: int
    withdraw_s: float | None
    withdraw_max_s: float | None
    faulty_share_percent: float | None
    finish_s: float | None
    evidence_bytes: int

    @property
    def false_withdrawals(self) -> int:
        """Good versions that were withdrawn."""
        return self.withdrawn if self.kind.is_good else 0


@attrs.frozen
class Sample:
    """One request that has ended."""

    origin: int
    route: RouteName
    version: VersionName
    quality: ResponseQuality
    latency_ms: float


class Policy(Protocol):
    """Decides the share of requests that the new version gets."""

    def record(self, sample: Sample, now: Instant) -> None:
        """Count a request."""

    def decide(self, now: Instant) -> Share:
        """Return the share from the requests counted so far."""
        ...

    @property
    def outcome(self) -> str:
        """``running``, ``done`` or ``withdrawn``."""
        ...

    def measure_evidence_bytes(self) -> int:
        """Return the size of the largest gossip payload."""
        ...


class EvidencePolicy:
    """Decides with the rollout library.

    Each origin has its recorder, whose evidence counts one tick late.
    """

    def __init__(self, document: ServiceDocument, rollout: Rollout) -> None:
        self.outcome = "running"
        self._document = document
        self._evidence = Evidence()
        self._recorders = [
            EvidenceRecorder(
                EvidenceKey(
                    document.service,
                    REVISION,
                    HostId(f"host-{index}"),
                    Incarnation(0, index),
                ),
                rollout,
            )
            for index in range(ORIGIN_COUNT)
        ]

    def record(self, sample: Sample, now: Instant) -> None:
        """Count a request in the recorder of its origin."""
        self._recorders[sample.origin].record(
            sample.version, sample.route, sample.quality, sample.latency_ms, now
        )

    def decide(self, now: Instant) -> Share:
        """Decide on the evidence of the previous tick, then merge the newer one."""
        decision = decide_rollout(
            self._document, REVISION, self._evidence, None, Withdrawals(), now
        )
        match decision.verdict:
            case Withdrawn():
                self.outcome = "withdrawn"
            case Done():
                self.outcome = "done"
        for recorder in self._recorders:
            self._evidence = self._evidence.add(recorder.snapshot())
        return decision.share

    def measure_evidence_bytes(self) -> int:
        """Return the size of the largest origin's payload."""
        return max(len(encode_evidence(r.snapshot())) for r in self._recorders)


class ThresholdPolicy:
    """Baseline: fixed thresholds on averages over all routes since the start."""

    def __init__(self, rollout: Rollout) -> None:
        self.outcome = "running"
        self._rollout = rollout
        self._requests = 0
        self._failures = 0
        self._latencies: dict[VersionName, list[float]] = {}

    def record(self, sample: Sample, now: Instant) -> None:
        """Count a request."""
        del now
        if sample.quality is ResponseQuality.COMPLETE:
            self._latencies.setdefault(sample.version, []).append(sample.latency_ms)
        if sample.version == self._rollout.to_version:
            self._requests += 1
            self._failures += sample.quality is not ResponseQuality.COMPLETE

    def decide(self, now: Instant) -> Share:
        """Withdraw above a threshold; otherwise raise the share with time."""
        rollout = self._rollout
        if self._requests >= rollout.min_requests and self._is_faulty():
            self.outcome = "withdrawn"
            return Share(0.0, "threshold")
        duration_ms = rollout.finish_by_ms - rollout.start_ms
        elapsed_fraction = min((now.wall_ms - rollout.start_ms) / duration_ms, 1.0)
        if elapsed_fraction >= 1.0:
            self.outcome = "done"
        first_percent = rollout.first_share_percent
        return Share(first_percent + (100 - first_percent) * elapsed_fraction, "rising")

    def measure_evidence_bytes(self) -> int:
        """Return 0, because the baseline exchanges no evidence."""
        return 0

    def _is_faulty(self) -> bool:
        rollout = self._rollout
        if 100 * self._failures > rollout.max_failure_percent * self._requests:
            return True
        new = self._latencies.get(rollout.to_version)
        old = self._latencies.get(rollout.from_version)
        if not new or not old:
            return False
        factor = 1 + rollout.max_slowdown_percent / 100
        return statistics.fmean(new) > factor * statistics.fmean(old)


@attrs.define
class RolloutRun:
    """Measurements of one rollout.

    Parameters
    ----------
    ended_s : float
        Time from the start to the decision or to the deadline.
    fault_s : float or None
        Time from the start to the fault's first occurrence.
    requests_since_fault : int
        All requests between the fault's first occurrence and the deadline.
    faulty_requests : int
        Those that the new version got while it was faulty.
    """

    outcome: str
    ended_s: float
    fault_s: float | None = None
    requests_since_fault: int = 0
    faulty_requests: int = 0
    evidence_bytes: int = 0


class RequestGenerator:
    """Generates requests whose outcome depends on version, route, time and share."""

    def __init__(self, kind: VersionKind, rollout: Rollout, seed: int) -> None:
        self._kind = kind
        self._rollout = rollout
        self._rng = random.Random(seed)
        duration_ms = rollout.finish_by_ms - rollout.start_ms
        self._late_fault_at_ms = rollout.start_ms + duration_ms // 2
        starts = (self._rng.randrange(duration_ms) for _ in range(BURST_COUNT))
        self._bursts = [rollout.start_ms + start for start in starts]

    def is_faulty(self, share: Share, now: Instant) -> bool:
        """Return whether the new version shows its fault now."""
        match self._kind:
            case VersionKind.HEALTHY | VersionKind.NOISY:
                return False
            case VersionKind.LATE:
                return now.wall_ms >= self._late_fault_at_ms
            case VersionKind.UNDER_LOAD:
                return share.percent >= LOAD_FAULT_SHARE_PERCENT
            case _:
                return True

    def generate(
        self, document: ServiceDocument, share: Share, now: Instant
    ) -> Iterator[Sample]:
        """Yield the requests of one tick."""
        rng = self._rng
        count = REQUESTS_PER_S * TICK_MS // 1000
        names = [RouteName(name) for name, _ in ROUTES]
        routes = rng.choices(names, [weight for _, weight in ROUTES], k=count)
        faulty = self.is_faulty(share, now)
        in_burst = self._kind is VersionKind.NOISY and any(
            start <= now.wall_ms < start + BURST_MS for start in self._bursts
        )
        for index, route in enumerate(routes):
            request_id = RequestId(f"{now.wall_ms}-{index}")
            version = pick_version(document, share, request_id)
            is_bad = faulty and version == self._rollout.to_version
            quality, latency_ms = self._draw_result(route, is_bad, in_burst)
            yield Sample(index % ORIGIN_COUNT, route, version, quality, latency_ms)

    def _draw_result(
        self, route: RouteName, is_bad: bool, in_burst: bool
    ) -> tuple[ResponseQuality, float]:
        rng = self._rng
        failure_rate = 0.005
        wrong_length_rate = 0.0
        latency_ms = 800 * rng.lognormvariate(0, 0.5)
        if self._kind is VersionKind.NOISY:
            failure_rate = 0.2 if in_burst else 0.015
            latency_ms *= rng.choice((1, 1, 4)) if in_burst else 1
        if is_bad:
            match self._kind:
                case VersionKind.AT_ONCE | VersionKind.LATE:
                    failure_rate = 0.5
                case VersionKind.UNDER_LOAD:
                    failure_rate = 0.3
                case VersionKind.ONE_ROUTE if route == FAULTY_ROUTE:
                    failure_rate = 0.25
                case VersionKind.WRONG_LENGTH:
                    wrong_length_rate = 0.3
                case VersionKind.SLOW:
                    latency_ms *= 2.5
        drawn = rng.random()
        if drawn < failure_rate:
            return ResponseQuality.FAILED, latency_ms
        if drawn < failure_rate + wrong_length_rate:
            return ResponseQuality.WRONG_LENGTH, latency_ms
        return ResponseQuality.COMPLETE, latency_ms


def measure_rollouts(runs: int = 4, seed: int = SEED) -> tuple[RolloutRow, ...]:
    """Return one row per kind of version and policy, `runs` rollouts each."""
    document, rollout = make_document()
    rows = []
    for number, kind in enumerate(VersionKind):
        for name in ("evidence", "threshold"):
            results = []
            for index in range(runs):
                generator = RequestGenerator(
                    kind, rollout, seed + 1000 * number + index
                )
                policy: Policy = (
                    EvidencePolicy(document, rollout)
                    if name == "evidence"
                    else ThresholdPolicy(rollout)
                )
                results.append(_run_rollout(document, rollout, generator, policy))
            rows.append(_summarize(kind, name, results))
    return tuple(rows)


def make_document() -> tuple[ServiceDocument, Rollout]:
    """Return the document that all generated rollouts use, and its rollout."""
    routes = ",".join(
        f'{{"route": "{name}", "repeatable": true, "max_output_tokens": 100}}'
        for name, _ in ROUTES
    )
    document = read_document(DOCUMENT_JSON % (0, routes)).unwrap()
    assert document.rollout is not None
    return document, document.rollout


def _run_rollout(
    document: ServiceDocument,
    rollout: Rollout,
    generator: RequestGenerator,
    policy: Policy,
) -> RolloutRun:
    now = Instant(rollout.start_ms, 0)
    run = RolloutRun("running", 0.0)
    share = policy.decide(now)
    while policy.outcome == "running" and now.wall_ms <= rollout.finish_by_ms:
        faulty = generator.is_faulty(share, now)
        if faulty and run.fault_s is None:
            run.fault_s = now.mono_ms / 1000
        for sample in generator.generate(document, share, now):
            policy.record(sample, now)
            if run.fault_s is not None:
                is_new = sample.version == rollout.to_version
                run.faulty_requests += is_new and faulty
        now = now.plus_ms(TICK_MS)
        share = policy.decide(now)
    run.outcome, run.ended_s = policy.outcome, now.mono_ms / 1000
    run.evidence_bytes = policy.measure_evidence_bytes()
    if run.fault_s is not None:
        duration_s = (rollout.finish_by_ms - rollout.start_ms) / 1000
        run.requests_since_fault = int(REQUESTS_PER_S * (duration_s - run.fault_s))
    return run


def _summarize(kind: VersionKind, policy: str, runs: list[RolloutRun]) -> RolloutRow:
    withdrawn = [run for run in runs if run.outcome == "withdrawn"]
    done = [run for run in runs if run.outcome == "done"]
    times = [run.ended_s - run.fault_s for run in withdrawn if run.fault_s is not None]
    shares = [
        100 * run.faulty_requests / run.requests_since_fault
        for run in runs
        if run.requests_since_fault
    ]
    return RolloutRow(
        kind=kind,
        policy=policy,
        runs=len(runs),
        withdrawn=len(withdrawn),
        done=len(done),
        undecided=len(runs) - len(withdrawn) - len(done),
        withdraw_s=statistics.fmean(times) if times else None,
        withdraw_max_s=max(times, default=None),
        faulty_share_percent=statistics.fmean(shares) if shares else None,
        finish_s=statistics.fmean(run.ended_s for run in done) if done else None,
        evidence_bytes=max(run.evidence_bytes for run in runs),
    )
