"""Tracking of requests that crash the upstreams which run them."""

import attrs

from waxwingbarrow.core import Incarnation, Instant, UpstreamId
from waxwingbarrow.routing import CrashSuspects, CrashSuspicion, UpstreamIncarnation

# A lost request counts as a crash if the upstream refuses connections within this time;
# a crashed upstream does so soon after it dropped the request.
CONFIRM_WINDOW_MS = 2_500
# Time for which crashes are remembered.
RETENTION_MS = 60_000


@attrs.frozen
class _Loss:
    """A request whose connection to an upstream broke, perhaps by a crash.

    Parameters
    ----------
    at_ms : int
        Monotonic time at which the connection broke.
    """

    fingerprint: str
    upstream: UpstreamId
    incarnation: Incarnation
    at_ms: int


class CrashTracker:
    """Counts the upstreams that crashed while they ran a request, by its fingerprint.

    A lost request counts only if the upstream then refuses connections: a broken
    connection alone is common and says nothing about the request.
    """

    def __init__(self) -> None:
        self._suspicions = CrashSuspects(retention_ms=RETENTION_MS)
        self._losses: list[_Loss] = []

    def is_refused(self, fingerprint: str, now: Instant) -> bool:
        """Whether a request is refused because it has crashed too many upstreams."""
        return self._suspicions.check(fingerprint, now).is_err()

    def note_loss(
        self,
        fingerprint: str,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> None:
        """Record a request whose connection broke; it is not counted yet."""
        self._losses = [
            loss
            for loss in self._losses
            if now.mono_ms - loss.at_ms < CONFIRM_WINDOW_MS
        ]
        self._losses.append(_Loss(fingerprint, upstream, incarnation, now.mono_ms))

    def note_unreachable(
        self, upstream: UpstreamId, incarnation: Incarnation, now: Instant
    ) -> None:
        """Count the recent losses at an upstream that refuses connections now."""
        kept = []
        for loss in self._losses:
            if now.mono_ms - loss.at_ms >= CONFIRM_WINDOW_MS:
                continue
            if loss.upstream == upstream and loss.incarnation == incarnation:
                lost = UpstreamIncarnation(
                    upstream, Incarnation(incarnation.started_ms, 0)
                )
                suspicion = CrashSuspicion(loss.fingerprint, frozenset({lost}))
                self._suspicions.merge([suspicion], now)
            else:
                kept.append(loss)
        self._losses = kept

    def note_completion(
        self, fingerprint: str, upstream: UpstreamId, now: Instant
    ) -> None:
        """Clear a request that completed: it did not cause its earlier losses."""
        self._suspicions.finish(fingerprint, upstream, Incarnation(0, 0), True, now)

    def list_shared(self, now: Instant) -> list[tuple[str, list[tuple[str, int]]]]:
        """Return the suspected fingerprints and the upstreams they crashed, for peers.

        An upstream is given by its identifier and the wall time in ms at which its
        process started.
        """
        return [
            (
                known.fingerprint,
                [
                    (lost.upstream, lost.incarnation.started_ms)
                    for lost in known.uncleared
                ],
            )
            for known in self._suspicions.list_suspicions(now)
            if known.uncleared
        ]

    def update_from_peer(
        self, items: list[tuple[str, list[tuple[str, int]]]], now: Instant
    ) -> None:
        """Record the crashes that a peer reported, as from `list_shared`."""
        self._suspicions.merge(
            (
                CrashSuspicion(
                    fingerprint,
                    frozenset(
                        UpstreamIncarnation(
                            UpstreamId(name), Incarnation(started_ms, 0)
                        )
                        for name, started_ms in lost
                    ),
                )
                for fingerprint, lost in items
            ),
            now,
        )
