"""Detection of requests that crash the upstreams which run them."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping

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
            self._store(attrs.evolve(known[0], cleared=cleared), now)

    def clear(self, fingerprint: str, now: Instant) -> bool:
        """Clear all known losses of a fingerprint; return whether there were any."""
        known = self._known.get(fingerprint)
        if known is None or not known[0].uncleared:
            return False
        self._store(attrs.evolve(known[0], cleared=known[0].lost), now)
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
            self._merge(CrashSuspicion(fingerprint, frozenset({process})), now)
        return running

    def list_suspicions(self, now: Instant) -> tuple[CrashSuspicion, ...]:
        """Return all suspicions, to be sent to the other hosts.

        They need them because a caller may retry the request through any host.
        """
        self._expire(now)
        return tuple(known for known, _ in self._known.values())

    def merge(self, suspicions: Iterable[CrashSuspicion], now: Instant) -> bool:
        """Merge suspicions from other hosts; order and repetition do not matter.

        Returns
        -------
        bool
            Whether anything was new.
        """
        return any([self._merge(suspicion, now) for suspicion in suspicions])

    def _merge(self, suspicion: CrashSuspicion, now: Instant) -> bool:
        known = self._known.get(suspicion.fingerprint)
        if known is None:
            self._store(suspicion, now)
            return True
        merged = CrashSuspicion(
            suspicion.fingerprint,
            known[0].lost | suspicion.lost,
            known[0].cleared | suspicion.cleared,
        )
        # Gossip repeats unchanged items, which must not extend the retention time.
        if merged == known[0]:
            return False
        self._store(merged, now)
        return True

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
