"""Counters of requests per version, route and window, kept apart by origin."""

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
BUCKETS = 20 * BUCKETS_PER_OCTAVE + 1  # up to 2**20 ms, about 17 minutes
EDGES_MS = tuple(2 ** (index / BUCKETS_PER_OCTAVE) for index in range(BUCKETS - 1))


class ResponseQuality(enum.StrEnum):
    """How a response ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    WRONG_LENGTH = "wrong_length"


@attrs.frozen
class LatencyCount:
    """Number of complete responses in one latency bucket.

    Bucket 0 is up to 1 ms; each next upper edge is larger by a third of an octave.
    """

    bucket: int
    count: int


@attrs.frozen
class RouteEvidence:
    """Counters of one version on one route in one window of the rollout.

    Parameters
    ----------
    requests : int
        Requests that ended, however they ended.
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

    The incarnation is part of the key because a restarted host counts from 0, and the
    requests it counted before remain valid evidence.
    """

    service: ServiceName
    revision: int
    origin: HostId
    incarnation: Incarnation


@attrs.frozen
class OriginEvidence:
    """All counters of one origin about one rollout at one time.

    Parameters
    ----------
    sequence : int
        Number of requests counted so far; a higher one supersedes a lower one.
    """

    key: EvidenceKey
    sequence: int
    routes: tuple[RouteEvidence, ...]


@attrs.frozen
class Evidence:
    """The newest counters that a host knows of every origin."""

    origins: Mapping[EvidenceKey, OriginEvidence] = attrs.field(factory=dict)

    def add(self, evidence: OriginEvidence) -> "Evidence":
        """Return the evidence with one origin's counters if they are newer."""
        known = self.origins.get(evidence.key)
        if known is not None and known.sequence >= evidence.sequence:
            return self
        return Evidence({**self.origins, evidence.key: evidence})

    def merge(self, other: "Evidence") -> "Evidence":
        """Return the newest counters of both."""
        merged = self
        for evidence in other.origins.values():
            merged = merged.add(evidence)
        return merged

    def keep(self, revisions: Mapping[ServiceName, int]) -> "Evidence":
        """Return the evidence about the current revisions only."""
        return Evidence(
            {
                key: value
                for key, value in self.origins.items()
                if revisions.get(key.service) == key.revision
            }
        )

    def select(self, service: ServiceName, revision: int) -> Iterator[RouteEvidence]:
        """Yield the counters of all origins about one rollout."""
        for key, evidence in self.origins.items():
            if key.service == service and key.revision == revision:
                yield from evidence.routes


class EvidenceRecorder:
    """Counts the requests that end on one host during one rollout."""

    def __init__(self, key: EvidenceKey, rollout: Rollout) -> None:
        self._key = key
        self._rollout = rollout
        self._sequence = 0
        self._tallies: dict[tuple[VersionName, RouteName, int], _Tally] = {}
        self._frozen: dict[tuple[VersionName, RouteName, int], RouteEvidence] = {}

    def record(
        self,
        version: VersionName,
        route: RouteName,
        quality: ResponseQuality,
        latency_ms: float,
        now: Instant,
    ) -> None:
        """Count one request that has ended.

        Parameters
        ----------
        latency_ms : float
            Time to the complete response; ignored unless the response is complete.
        """
        window = find_window(self._rollout, now.wall_ms)
        key = (version, route, window)
        tally = self._tallies.get(key)
        if tally is None:
            tally = self._tallies[key] = _Tally()
        self._frozen.pop(key, None)
        self._sequence += 1
        tally.requests += 1
        match quality:
            case ResponseQuality.FAILED:
                tally.failures += 1
            case ResponseQuality.WRONG_LENGTH:
                tally.wrong_lengths += 1
            case ResponseQuality.COMPLETE:
                tally.buckets[bisect.bisect_left(EDGES_MS, latency_ms)] += 1

    def snapshot(self) -> OriginEvidence:
        """Return the counters so far."""
        for key, tally in self._tallies.items():
            if key not in self._frozen:
                self._frozen[key] = tally.freeze(*key)
        routes = tuple(self._frozen[key] for key in sorted(self._tallies))
        return OriginEvidence(self._key, self._sequence, routes)


class _Tally:
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
