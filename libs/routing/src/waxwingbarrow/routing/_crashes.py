"""Detection of requests that crash the upstreams which run them."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import CrashSuspected, Incarnation, Instant, UpstreamId

REFUSAL_LOSS_COUNT = 2


@attrs.frozen(order=True)
class UpstreamIncarnation:
    """One process of an upstream, identified by its incarnation."""

    upstream: UpstreamId
    incarnation: Incarnation


@attrs.frozen
class CrashSuspicion:
    """Losses recorded for one request fingerprint; exchanged between hosts.

    Parameters
    ----------
    lost : frozenset of UpstreamIncarnation
        Processes lost while the request ran.
    cleared : frozenset of UpstreamIncarnation
        Losses of which the request is not the cause, because it completed on another
        upstream afterwards.
    """

    fingerprint: str
    lost: frozenset[UpstreamIncarnation] = frozenset()
    cleared: frozenset[UpstreamIncarnation] = frozenset()

    @property
    def uncleared(self) -> frozenset[UpstreamIncarnation]:
        """Losses of which the request may still be the cause."""
        return self.lost - self.cleared


class CrashSuspects:
    """Counts the distinct upstream processes that were lost while a request ran.

    Parameters
    ----------
    retention_ms : int
        Time for which a fingerprint is kept after its last change.
    max_fingerprints : int
        Maximum number of fingerprints; the least recently changed is dropped first.
    """

    def __init__(
        self, retention_ms: int = 600_000, max_fingerprints: int = 4_096
    ) -> None:
        self._retention_ms = retention_ms
        self._max_fingerprints = max_fingerprints
        self._running: dict[UpstreamIncarnation, dict[str, int]] = {}
        self._known: OrderedDict[str, tuple[CrashSuspicion, int]] = OrderedDict()

    def check(self, fingerprint: str, now: Instant) -> Result[None, CrashSuspected]:
        """Refuse a request with at least `REFUSAL_LOSS_COUNT` uncleared losses."""
        self._expire(now)
        known = self._known.get(fingerprint)
        if known is None or len(known[0].uncleared) < REFUSAL_LOSS_COUNT:
            return Ok(None)
        count = len(known[0].uncleared)
        return Err(CrashSuspected(reason=f"{count} upstreams were lost while it ran."))

    def start(
        self, fingerprint: str, upstream: UpstreamId, incarnation: Incarnation
    ) -> None:
        """Record that the request is sent to an upstream."""
        running = self._running.setdefault(
            UpstreamIncarnation(upstream, incarnation), {}
        )
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def finish(
        self,
        fingerprint: str,
        upstream: UpstreamId,
        incarnation: Incarnation,
        completed: bool,
        now: Instant,
    ) -> None:
        """Record that the request ended; a completed one clears its earlier losses."""
        process = UpstreamIncarnation(upstream, incarnation)
        running = self._running.get(process, {})
        if running.get(fingerprint, 0) > 1:
            running[fingerprint] -= 1
        else:
            running.pop(fingerprint, None)
        if not running:
            self._running.pop(process, None)
        known = self._known.get(fingerprint)
        if completed and known is not None:
            others = frozenset(item for item in known[0].lost if item != process)
            cleared = known[0].cleared | others
            self._store(attrs.evolve(known[0], cleared=cleared), now)

    def list_upstreams_to_avoid(
        self, fingerprint: str, now: Instant
    ) -> frozenset[UpstreamIncarnation]:
        """Return the processes that run another suspect request.

        A suspect request should not be sent there: a request that runs during two
        crashes cannot be distinguished from their cause and would be refused too. Empty
        if the request has no uncleared losses.
        """
        self._expire(now)
        if not self._is_suspect(fingerprint):
            return frozenset()
        return frozenset(
            process
            for process, running in self._running.items()
            if any(
                other != fingerprint and self._is_suspect(other) for other in running
            )
        )

    def _is_suspect(self, fingerprint: str) -> bool:
        known = self._known.get(fingerprint)
        return known is not None and bool(known[0].uncleared)

    def record_loss(
        self, upstream: UpstreamId, incarnation: Incarnation, now: Instant
    ) -> tuple[str, ...]:
        """Record that an upstream process ended unexpectedly.

        Returns
        -------
        tuple of str
            Fingerprints of the requests that ran there; the loss is added to each.
        """
        process = UpstreamIncarnation(upstream, incarnation)
        running = tuple(self._running.pop(process, {}))
        for fingerprint in running:
            self._merge(CrashSuspicion(fingerprint, frozenset({process})), now)
        return running

    def list_suspicions(self, now: Instant) -> tuple[CrashSuspicion, ...]:
        """Return all suspicions, to be sent to the other hosts.

        They need them because a caller may retry the request through any host.
        """
        self._expire(now)
        return tuple(known for known, _ in self._known.values())

    def merge(self, suspicions: Iterable[CrashSuspicion], now: Instant) -> None:
        """Merge suspicions from other hosts; order and repetition do not matter."""
        for suspicion in suspicions:
            self._merge(suspicion, now)

    def _merge(self, suspicion: CrashSuspicion, now: Instant) -> None:
        known = self._known.get(suspicion.fingerprint)
        if known is None:
            self._store(suspicion, now)
            return
        merged = CrashSuspicion(
            suspicion.fingerprint,
            known[0].lost | suspicion.lost,
            known[0].cleared | suspicion.cleared,
        )
        # Gossip repeats unchanged items, which must not extend the retention time.
        if merged != known[0]:
            self._store(merged, now)

    def _store(self, suspicion: CrashSuspicion, now: Instant) -> None:
        self._known[suspicion.fingerprint] = (suspicion, now.mono_ms)
        self._known.move_to_end(suspicion.fingerprint)
        while len(self._known) > self._max_fingerprints:
            self._known.popitem(last=False)

    def _expire(self, now: Instant) -> None:
        while self._known:
            fingerprint, (_, changed_ms) = next(iter(self._known.items()))
            if now.mono_ms - changed_ms < self._retention_ms:
                break
            del self._known[fingerprint]
