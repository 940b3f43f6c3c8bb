"""Detection of requests that crash the upstreams which run them."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import CrashSuspected, Incarnation, Instant, UpstreamId

REFUSAL_LOSS_COUNT = 2
# Fraction of the retention time after which a suspicion is not merged any more.
MAX_MERGED_AGE_RATIO = 0.9


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


def find_culprits(
    suspicions: Collection[CrashSuspicion],
    min_loss_count: int,
    depths: Mapping[str, int],
) -> frozenset[str]:
    """Return the fewest fingerprints that explain the losses.

    A loss is explained by one culprit, so that what merely ran beside it, or is part of
    the same requests, is not suspected for the same loss. The fingerprint with the most
    unexplained losses is the culprit; among equals one that was never cleared, then the
    deepest one, which the fewest requests have.

    Parameters
    ----------
    min_loss_count : int
        Number of losses that a culprit has at least.
    depths : mapping
        Depth of each fingerprint, for those that form a tree.

    Examples
    --------
    >>> processes = [
    ...     UpstreamIncarnation(UpstreamId(name), Incarnation(0, 0)) for name in "abcd"
    ... ]
    >>> beside = CrashSuspicion("beside", frozenset(processes[:3]))
    >>> cause = CrashSuspicion("cause", frozenset(processes))
    >>> sorted(find_culprits([beside, cause], 3, {}))
    ['cause']
    """
    unexplained = {
        item.fingerprint: item.uncleared
        for item in suspicions
        if len(item.uncleared) >= min_loss_count
    }
    was_cleared = {item.fingerprint: bool(item.cleared) for item in suspicions}

    def rank(name: str) -> tuple[int, bool, int, str]:
        return -len(unexplained[name]), was_cleared[name], -depths.get(name, 0), name

    culprits = set()
    while unexplained:
        culprit = min(unexplained, key=rank)
        explained = unexplained.pop(culprit)
        if len(explained) < min_loss_count:
            break
        culprits.add(culprit)
        unexplained = {name: lost - explained for name, lost in unexplained.items()}
    return frozenset(culprits)


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
            self._store(attrs.evolve(known[0], cleared=cleared), now.mono_ms)

    def clear(self, fingerprint: str, now: Instant) -> bool:
        """Clear all known losses of a fingerprint; return whether there were any."""
        known = self._known.get(fingerprint)
        if known is None or not known[0].uncleared:
            return False
        self._store(attrs.evolve(known[0], cleared=known[0].lost), now.mono_ms)
        return True

    def find(self, fingerprint: str) -> CrashSuspicion | None:
        """Return what is known of a fingerprint."""
        known = self._known.get(fingerprint)
        return None if known is None else known[0]

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
            self._merge(CrashSuspicion(fingerprint, frozenset({process})), now.mono_ms)
        return running

    def list_suspicions(self, now: Instant) -> tuple[CrashSuspicion, ...]:
        """Return all suspicions, to be sent to the other hosts.

        They need them because a caller may retry the request through any host.
        """
        self._expire(now)
        return tuple(
            known
            for known, changed_ms in self._known.values()
            if now.mono_ms - changed_ms < self._retention_ms
        )

    def measure_age_ms(self, fingerprint: str, now: Instant) -> int:
        """Return the time since the last change of a fingerprint, 0 for a new one."""
        known = self._known.get(fingerprint)
        return 0 if known is None else now.mono_ms - known[1]

    def merge(self, suspicions: Iterable[CrashSuspicion], now: Instant) -> bool:
        """Merge suspicions from other hosts; order and repetition do not matter.

        Returns
        -------
        bool
            Whether anything was new.
        """
        return any([self._merge(item, now.mono_ms) for item in suspicions])

    def merge_aged(self, suspicion: CrashSuspicion, age_ms: int, now: Instant) -> bool:
        """Merge a suspicion that last changed before; return whether it was new.

        One that expires soon is ignored. So hosts that repeat what they learned do not
        keep it alive among themselves.
        """
        if age_ms >= self._retention_ms * MAX_MERGED_AGE_RATIO:
            return False
        return self._merge(suspicion, now.mono_ms - max(age_ms, 0))

    def _merge(self, suspicion: CrashSuspicion, changed_ms: int) -> bool:
        known = self._known.get(suspicion.fingerprint)
        if known is None:
            self._store(suspicion, changed_ms)
            return True
        merged = CrashSuspicion(
            suspicion.fingerprint,
            known[0].lost | suspicion.lost,
            known[0].cleared | suspicion.cleared,
        )
        # Gossip repeats unchanged items, which must not extend the retention time.
        if merged == known[0]:
            return False
        self._store(merged, max(changed_ms, known[1]))
        return True

    def _store(self, suspicion: CrashSuspicion, changed_ms: int) -> None:
        self._known[suspicion.fingerprint] = (suspicion, changed_ms)
        self._known.move_to_end(suspicion.fingerprint)
        while len(self._known) > self._max_fingerprints:
            self._known.popitem(last=False)

    def _expire(self, now: Instant) -> None:
        while self._known:
            fingerprint, (_, changed_ms) = next(iter(self._known.items()))
            if now.mono_ms - changed_ms < self._retention_ms:
                break
            del self._known[fingerprint]
