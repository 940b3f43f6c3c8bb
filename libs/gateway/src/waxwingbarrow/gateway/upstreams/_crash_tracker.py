"""Tracking of requests and prompt parts that crash the upstreams which run them."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from waxwingbarrow.core import Incarnation, Instant, UpstreamId
from waxwingbarrow.gateway.base import BoundedInt
from waxwingbarrow.routing import (
    CrashSuspects,
    CrashSuspicion,
    UpstreamIncarnation,
    find_culprits,
)

logger = logging.getLogger("waxwingbarrow.gateway.crashes")

# A lost request counts as a crash if the upstream refuses connections within this time;
# a crashed upstream does so soon after it dropped the request.
CONFIRM_WINDOW_MS = 2_500
# Time for which crashes of one request are remembered.
RETENTION_MS = 60_000
# Time for which crashes under a prompt part are remembered. A part that was blocked
# crashes some upstreams more when this is over.
PART_RETENTION_MS = 600_000
# A part is blocked after this many crashes that nothing else explains, if no request
# with it was completed since.
MIN_PART_CRASHES = 3
# A request whose stream has gone on for this long did not crash its upstream: that
# happens as the answer begins.
SURVIVAL_MS = 500
# A part is not suspected if a request with it was completed within this time before a
# loss, as with parts of many requests when several upstreams are lost together.
TRUST_MS = 2_000
# Time for which peers are told of a change, and the number of parts that they are told
# of at a time.
SHARING_MS = 4_000
MAX_SHARED_PARTS = 64
# Suspected requests that peers are told of at a time, and prompt parts in the sums of
# relays. Messages with all of a large deployment would exceed the size of a message.
MAX_SHARED_REQUESTS = 256
MAX_SUMMARY_PARTS = 256

# Upstreams with the wall time in ms at which their processes started.
Processes = list[tuple[str, BoundedInt]]
# Key of a part, its depth in the prompts, the time in ms since the last change, the
# upstreams that crashed under it, and those of them that it did not crash.
PartLosses = tuple[str, BoundedInt, BoundedInt, Processes, Processes]


@attrs.frozen
class Fingerprints:
    """What identifies a request among those that crash upstreams.

    Parameters
    ----------
    request : str
        Hash that is the same for equal requests of an account.
    parts : tuple of str
        Service and identifier of each part of the prompt that other requests share, in
        the order of the prompt.
    """

    request: str
    parts: tuple[str, ...] = ()


@attrs.frozen
class _Loss:
    """A request whose connection to an upstream broke, perhaps by a crash.

    Parameters
    ----------
    at_ms : int
        Monotonic time at which the connection broke.
    """

    fingerprints: Fingerprints
    upstream: UpstreamId
    incarnation: Incarnation
    at_ms: int


class CrashTracker:
    """Counts the upstreams that crashed while they ran a request or a prompt part.

    A lost request counts only if the upstream then refuses connections: a broken
    connection alone is common and says nothing about the request.

    Requests that have one part of their prompts in common may each crash the upstream
    that begins to answer. All requests that were about to be answered there are lost
    with them, so a part counts as the cause only if it explains several crashes and no
    request with it has been completed since.

    Attributes
    ----------
    on_block_changed : callable
        Called when this host's own observations block a part or end a block.
    """

    def __init__(self) -> None:
        self._requests = CrashSuspects(retention_ms=RETENTION_MS)
        self._parts = CrashSuspects(retention_ms=PART_RETENTION_MS)
        self._losses: list[_Loss] = []
        self._blocked: frozenset[str] = frozenset()
        self._unrecorded: set[str] = set()
        self.on_block_changed: Callable[[], None] = lambda: None
        # Greatest number of parts before each part that was lost.
        self._depths: dict[str, int] = {}
        # Monotonic time of the last change of a part that this host has observed.
        self._observed_ms: dict[str, int] = {}
        # Monotonic time of the last completed request of each part, the oldest first.
        self._completed_ms: OrderedDict[str, int] = OrderedDict()

    def find_refusal(self, fingerprints: Fingerprints, now: Instant) -> str | None:
        """Return why a request is refused; None if it is not."""
        if self._requests.check(fingerprints.request, now).is_err():
            return "crashes upstreams"
        if self._blocked.isdisjoint(fingerprints.parts):
            return None
        # The block may have expired.
        self._update_blocked(now)
        if self._blocked.isdisjoint(fingerprints.parts):
            return None
        return "a part of the prompt crashes upstreams"

    def note_loss(
        self,
        fingerprints: Fingerprints,
        upstream: UpstreamId,
        incarnation: Incarnation,
        first_event_ms: int | None,
        now: Instant,
    ) -> None:
        """Record a request whose connection broke; it is not counted yet.

        Parameters
        ----------
        first_event_ms : int or None
            Monotonic time of the first event of its stream.
        """
        if first_event_ms is not None and now.mono_ms - first_event_ms >= SURVIVAL_MS:
            self._clear_parts(fingerprints, now)
        trusted_ms = now.mono_ms - TRUST_MS
        suspected = tuple(
            part
            for part in fingerprints.parts
            if self._completed_ms.get(part, trusted_ms) <= trusted_ms
        )
        fingerprints = attrs.evolve(fingerprints, parts=suspected)
        self._losses = [
            loss
            for loss in self._losses
            if now.mono_ms - loss.at_ms < CONFIRM_WINDOW_MS
        ]
        self._losses.append(_Loss(fingerprints, upstream, incarnation, now.mono_ms))

    def note_crash(
        self, upstream: UpstreamId, incarnation: Incarnation, now: Instant
    ) -> None:
        """Count the recent losses at an upstream that refuses connections now."""
        process = UpstreamIncarnation(upstream, Incarnation(incarnation.started_ms, 0))
        counted, kept = [], []
        for loss in self._losses:
            if now.mono_ms - loss.at_ms >= CONFIRM_WINDOW_MS:
                continue
            if loss.upstream == upstream and loss.incarnation == incarnation:
                counted.append(loss.fingerprints)
            else:
                kept.append(loss)
        self._losses = kept
        if not counted:
            return
        lost = frozenset({process})
        parts = sorted({part for item in counted for part in item.parts})
        self._requests.merge(
            [CrashSuspicion(item.request, lost) for item in counted], now
        )
        for item in counted:
            for depth, part in enumerate(item.parts):
                self._note_depth(part, depth)
        self._parts.merge([CrashSuspicion(part, lost) for part in parts], now)
        self._note_observed(parts, now)
        logger.warning(
            "upstream crashed",
            extra={"upstream": upstream, "requests": len(counted), "parts": parts},
        )
        self._update_blocked(now, is_observed=True)

    def note_completion(
        self, fingerprints: Fingerprints, succeeded: bool, now: Instant
    ) -> None:
        """Clear a request that succeeded: it did not cause its earlier losses.

        An upstream may reject or fail a request without beginning an answer, so other
        responses say nothing.
        """
        if succeeded:
            self._requests.clear(fingerprints.request, now)
            self._clear_parts(fingerprints, now)

    def _clear_parts(self, fingerprints: Fingerprints, now: Instant) -> None:
        for part in fingerprints.parts:
            self._completed_ms[part] = now.mono_ms
            self._completed_ms.move_to_end(part)
        self._forget_completions(now)
        cleared = [part for part in fingerprints.parts if self._parts.clear(part, now)]
        if cleared:
            self._note_observed(cleared, now)
            self._update_blocked(now, is_observed=True)

    def _forget_completions(self, now: Instant) -> None:
        while self._completed_ms:
            oldest = next(iter(self._completed_ms))
            if now.mono_ms - self._completed_ms[oldest] <= TRUST_MS:
                return
            del self._completed_ms[oldest]

    def _note_observed(self, parts: Iterable[str], now: Instant) -> None:
        self._observed_ms = {
            part: at_ms
            for part, at_ms in self._observed_ms.items()
            if now.mono_ms - at_ms < SHARING_MS
        }
        self._observed_ms |= dict.fromkeys(parts, now.mono_ms)

    def _note_depth(self, part: str, depth: int) -> None:
        self._depths[part] = max(depth, self._depths.get(part, 0))

    def _update_blocked(self, now: Instant, is_observed: bool = False) -> None:
        suspicions = self._parts.list_suspicions(now)
        known = {item.fingerprint for item in suspicions}
        self._depths = {p: depth for p, depth in self._depths.items() if p in known}
        blocked = find_culprits(suspicions, MIN_PART_CRASHES, self._depths)
        for part in sorted(blocked - self._blocked):
            logger.warning(
                "requests with a prompt part are refused, as it crashes upstreams",
                extra={"prompt_part": part, "crashes": self._count_crashes(part)},
            )
        for part in sorted(self._blocked - blocked):
            logger.info(
                "requests with a prompt part are served again",
                extra={"prompt_part": part},
            )
        changed = blocked ^ self._blocked
        self._blocked = blocked
        if changed and is_observed:
            self._unrecorded |= changed
            self.on_block_changed()

    def _count_crashes(self, part: str) -> int:
        known = self._parts.find(part)
        return 0 if known is None else len(known.uncleared)

    def list_shared(self, now: Instant) -> list[tuple[str, Processes]]:
        """Return the suspected fingerprints and the upstreams they crashed, for peers.

        An upstream is given by its identifier and the wall time in ms at which its
        process started.
        """
        shared = [
            (known.fingerprint, _to_pairs(known.uncleared))
            for known in self._requests.list_suspicions(now)
            if known.uncleared
        ]
        return _select_most_suspected(shared)

    def list_shared_parts(self, now: Instant) -> list[PartLosses]:
        """Return the parts that peers are told of.

        These are the blocked ones, and those whose losses this host has observed or
        cleared lately; the blocked ones and the newest first.
        """
        recent = [
            part
            for part, at_ms in self._observed_ms.items()
            if now.mono_ms - at_ms < SHARING_MS
        ]
        names = list(dict.fromkeys([*sorted(self._blocked), *reversed(recent)]))
        shared = (self._get_losses(part, now) for part in names[:MAX_SHARED_PARTS])
        return [losses for losses in shared if losses is not None]

    def take_unrecorded(self, now: Instant) -> list[tuple[str, PartLosses | None]]:
        """Return and forget the parts for `on_block_changed`.

        A part comes with its losses while it is blocked.
        """
        changed, self._unrecorded = sorted(self._unrecorded), set()
        return [
            (part, self._get_losses(part, now) if part in self._blocked else None)
            for part in changed
        ]

    def _get_losses(self, part: str, now: Instant) -> PartLosses | None:
        known = self._parts.find(part)
        if known is None:
            return None
        return (
            part,
            self._depths.get(part, 0),
            self._parts.measure_age_ms(part, now),
            _to_pairs(known.lost),
            _to_pairs(known.cleared),
        )

    def update_from_peer(
        self,
        items: list[tuple[str, Processes]],
        parts: list[PartLosses],
        now: Instant,
    ) -> None:
        """Record the crashes that a peer reported.

        Parameters
        ----------
        items, parts : list
            As from `list_shared` and `list_shared_parts`.
        """
        self._requests.merge(
            (CrashSuspicion(name, _from_pairs(lost)) for name, lost in items), now
        )
        is_new = False
        for part, depth, age_ms, lost, cleared in parts:
            reported = CrashSuspicion(part, _from_pairs(lost), _from_pairs(cleared))
            if self._parts.merge_aged(reported, age_ms, now):
                self._note_depth(part, depth)
                is_new = True
        if is_new:
            self._update_blocked(now)


def merge_suspects(
    lists: Iterable[list[tuple[str, Processes]]],
) -> list[tuple[str, Processes]]:
    """Join what several hosts report about requests, with each request once.

    Examples
    --------
    >>> merge_suspects([[("f", [("i-1", 5)])], [("f", [("i-1", 5), ("i-2", 7)])]])
    [('f', [('i-1', 5), ('i-2', 7)])]
    """
    lost_under: dict[str, set[tuple[str, int]]] = {}
    for items in lists:
        for name, lost in items:
            lost_under.setdefault(name, set()).update(lost)
    merged = [(name, sorted(lost)) for name, lost in lost_under.items()]
    return _select_most_suspected(merged)


def _select_most_suspected(
    suspects: list[tuple[str, Processes]],
) -> list[tuple[str, Processes]]:
    """Return those under which most upstreams crashed, and of equal ones the last."""
    newest_first = reversed(suspects)
    ranked = sorted(newest_first, key=lambda item: len(item[1]), reverse=True)
    return ranked[:MAX_SHARED_REQUESTS]


def merge_part_losses(lists: Iterable[list[PartLosses]]) -> list[PartLosses]:
    """Join what several hosts report about prompt parts.

    If there are too many, those with the most crashes and the newest are left.

    Examples
    --------
    >>> merge_part_losses([[("pool/1", 0, 40, [("i-1", 5)], [])],
    ...                    [("pool/1", 1, 90, [("i-2", 7)], [("i-1", 5)])]])
    [('pool/1', 1, 40, [('i-1', 5), ('i-2', 7)], [('i-1', 5)])]
    """
    depths: dict[str, int] = {}
    ages_ms: dict[str, int] = {}
    lost_under: dict[str, set[tuple[str, int]]] = {}
    cleared_of: dict[str, set[tuple[str, int]]] = {}
    for items in lists:
        for part, depth, age_ms, lost, cleared in items:
            depths[part] = max(depth, depths.get(part, 0))
            ages_ms[part] = min(age_ms, ages_ms.get(part, age_ms))
            lost_under.setdefault(part, set()).update(lost)
            cleared_of.setdefault(part, set()).update(cleared)
    names = sorted(depths, key=lambda part: (-len(lost_under[part]), ages_ms[part]))
    return [
        (
            part,
            depths[part],
            ages_ms[part],
            sorted(lost_under[part]),
            sorted(cleared_of[part]),
        )
        for part in names[:MAX_SUMMARY_PARTS]
    ]


def _to_pairs(processes: Iterable[UpstreamIncarnation]) -> Processes:
    return [(item.upstream, item.incarnation.started_ms) for item in processes]


def _from_pairs(pairs: Processes) -> frozenset[UpstreamIncarnation]:
    return frozenset(
        UpstreamIncarnation(UpstreamId(name), Incarnation(started_ms, 0))
        for name, started_ms in pairs
    )
