"""Request counters per version, route and window, separate for each origin host."""

import bisect
import enum
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs

from waxwingbarrow.core import (
    HostId,
    Incarnation,
    Instant,
    RouteName,
    ServiceName,
    VersionName,
)
from waxwingbarrow.document import Rollout
from waxwingbarrow.rollout._schedule import find_window

BUCKETS_PER_OCTAVE = 3
BUCKET_COUNT = 20 * BUCKETS_PER_OCTAVE + 1  # up to 2**20 ms, about 17 minutes
BUCKET_EDGES_MS = tuple(
    2 ** (index / BUCKETS_PER_OCTAVE) for index in range(BUCKET_COUNT - 1)
)


class ResponseQuality(enum.StrEnum):
    """How a response ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    WRONG_LENGTH = "wrong_length"


@attrs.frozen
class LatencyCount:
    """Number of complete responses in one latency bucket.

    Bucket 0 holds latencies up to 1 ms; the upper edge of each further bucket is larger
    by a third of an octave, that is, by a factor of about 1.26.
    """

    bucket: int
    count: int


@attrs.frozen
class RouteEvidence:
    """Counters of one version on one route in one window of the rollout.

    Parameters
    ----------
    requests : int
        Finished requests, including failed ones.
    failures : int
        Requests without a complete response.
    wrong_lengths : int
        Responses whose length differs from the announced one.
    latency_buckets : tuple of LatencyCount
        Complete responses by latency, in order of the bucket.
    """

    version: VersionName
    route: RouteName
    window: int
    requests: int
    failures: int
    wrong_lengths: int
    latency_buckets: tuple[LatencyCount, ...]


@attrs.frozen
class EvidenceKey:
    """Identity of one origin's evidence about one rollout.

    The incarnation is part of the key because a restarted host counts from 0 while the
    counters of its earlier run remain valid.
    """

    service: ServiceName
    revision: int
    origin: HostId
    incarnation: Incarnation


@attrs.frozen
class OriginEvidence:
    """Snapshot of all counters of one origin for one rollout.

    Parameters
    ----------
    sequence : int
        Number of requests counted so far. A snapshot with a higher number replaces one
        with a lower number.
    """

    key: EvidenceKey
    sequence: int
    routes: tuple[RouteEvidence, ...]


@attrs.frozen
class Evidence:
    """Newest counters of every origin that a host has received."""

    origins: Mapping[EvidenceKey, OriginEvidence] = attrs.field(factory=dict)

    def add(self, evidence: OriginEvidence) -> "Evidence":
        """Return the evidence updated with one origin's counters if they are newer."""
        known = self.origins.get(evidence.key)
        if known is not None and known.sequence >= evidence.sequence:
            return self
        return Evidence({**self.origins, evidence.key: evidence})

    def merge(self, other: "Evidence") -> "Evidence":
        """Return the newer counters of each origin from both."""
        merged = self
        for evidence in other.origins.values():
            merged = merged.add(evidence)
        return merged

    def keep_revisions(self, revisions: Mapping[ServiceName, int]) -> "Evidence":
        """Return only the evidence that matches the given revision of its service."""
        return Evidence(
            {
                key: value
                for key, value in self.origins.items()
                if revisions.get(key.service) == key.revision
            }
        )

    def select(self, service: ServiceName, revision: int) -> Iterator[RouteEvidence]:
        """Yield the counters of all origins for one rollout."""
        for key, evidence in self.origins.items():
            if key.service == service and key.revision == revision:
                yield from evidence.routes


class EvidenceRecorder:
    """Counts the requests that one host finishes during one rollout.

    Parameters
    ----------
    key : EvidenceKey
        Identity of the evidence of this process.
    rollout : Rollout
        The rollout, whose times determine the windows.
    """

    def __init__(self, key: EvidenceKey, rollout: Rollout) -> None:
        self._key = key
        self._rollout = rollout
        self._sequence = 0
        self._counters: dict[tuple[VersionName, RouteName, int], _MutableCounters] = {}
        # Immutable copies of the counters that did not change since the last snapshot.
        self._frozen: dict[tuple[VersionName, RouteName, int], RouteEvidence] = {}

    def record(
        self,
        version: VersionName,
        route: RouteName,
        quality: ResponseQuality,
        latency_ms: float,
        now: Instant,
    ) -> None:
        """Count one finished request.

        Parameters
        ----------
        latency_ms : float
            Time until the complete response; ignored for other qualities.
        """
        window = find_window(self._rollout, now.wall_ms)
        key = (version, route, window)
        counters = self._counters.get(key)
        if counters is None:
            counters = self._counters[key] = _MutableCounters()
        self._frozen.pop(key, None)
        self._sequence += 1
        counters.requests += 1
        match quality:
            case ResponseQuality.FAILED:
                counters.failures += 1
            case ResponseQuality.WRONG_LENGTH:
                counters.wrong_lengths += 1
            case ResponseQuality.COMPLETE:
                counters.buckets[bisect.bisect_left(BUCKET_EDGES_MS, latency_ms)] += 1

    def snapshot(self) -> OriginEvidence:
        """Return an immutable copy of the current counters."""
        for key, counters in self._counters.items():
            if key not in self._frozen:
                self._frozen[key] = counters.freeze(*key)
        routes = tuple(self._frozen[key] for key in sorted(self._counters))
        return OriginEvidence(self._key, self._sequence, routes)


class _MutableCounters:
    """Mutable counters of one version, route and window."""

    __slots__ = ("buckets", "failures", "requests", "wrong_lengths")

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.wrong_lengths = 0
        self.buckets: Counter[int] = Counter()

    def freeze(
        self, version: VersionName, route: RouteName, window: int
    ) -> RouteEvidence:
        counts = (LatencyCount(*item) for item in sorted(self.buckets.items()))
        return RouteEvidence(
            version,
            route,
            window,
            self.requests,
            self.failures,
            self.wrong_lengths,
            tuple(counts),
        )
