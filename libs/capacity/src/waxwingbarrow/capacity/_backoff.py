"""Exponential backoff after refused host starts, for each offer."""

from collections.abc import Iterable, Mapping

import attrs

from waxwingbarrow.capacity._hosts import HostOffer, OfferKey
from waxwingbarrow.core import Instant, in_range


@attrs.frozen(kw_only=True)
class BackoffPolicy:
    """Settings of the backoff after a refused start.

    Parameters
    ----------
    initial_pause_ms : int
        Pause after the first refusal; each further refusal doubles it.
    max_pause_ms : int
        Upper limit of the pause.
    reset_after_ms : int
        Time after the end of the last pause after which the next refusal counts as the
        first one again.
    """

    initial_pause_ms: int = attrs.field(
        default=15_000, validator=in_range(1, 86_400_000)
    )
    max_pause_ms: int = attrs.field(default=600_000, validator=in_range(1, 86_400_000))
    reset_after_ms: int = attrs.field(
        default=1_800_000, validator=in_range(1, 86_400_000)
    )


@attrs.frozen
class _RefusalHistory:
    count: int
    last_refused_at: Instant
    pause_end: Instant


@attrs.frozen
class StartBackoff:
    """Backoff state of the offers whose last start was refused.

    A refused offer is not used until its pause ends, so the next start is attempted in
    another zone, with another machine class, or with on-demand instead of reclaimable
    hosts or the reverse.

    Examples
    --------
    >>> from waxwingbarrow.core import DataCentre, Zone
    >>> key = OfferKey(DataCentre("north"), Zone("a"), "small", True)
    >>> backoff = StartBackoff().note_refused(key, Instant(0, 0))
    >>> backoff.find_pause_end(key, Instant(0, 1_000)).mono_ms
    15000
    """

    policy: BackoffPolicy = BackoffPolicy()
    refusals: Mapping[OfferKey, _RefusalHistory] = attrs.field(factory=dict)

    def note_refused(self, key: OfferKey, now: Instant) -> "StartBackoff":
        """Return the backoff state after a refused start."""
        known = self.refusals.get(key)
        if known is not None and now.mono_ms < known.pause_end.mono_ms:
            # Starts that were ordered together are refused together: count them once.
            return self
        count = 1
        if known is not None and self._is_unexpired(known, now):
            count = known.count + 1
        # The exponent is capped to keep the power of two small after many refusals.
        pause_ms = min(
            self.policy.initial_pause_ms * 2 ** min(count - 1, 30),
            self.policy.max_pause_ms,
        )
        refused = _RefusalHistory(count, now, now.plus_ms(pause_ms))
        kept = {k: v for k, v in self.refusals.items() if self._is_unexpired(v, now)}
        return attrs.evolve(self, refusals={**kept, key: refused})

    def note_started(self, key: OfferKey) -> "StartBackoff":
        """Return the backoff state after an accepted start."""
        kept = {k: v for k, v in self.refusals.items() if k != key}
        return attrs.evolve(self, refusals=kept)

    def find_pause_end(self, key: OfferKey, now: Instant) -> Instant | None:
        """Return when the pause of an offer ends; None if it is not paused."""
        known = self.refusals.get(key)
        if known is None or known.pause_end.mono_ms <= now.mono_ms:
            return None
        return known.pause_end

    def mark_offers(
        self, offers: Iterable[HostOffer], now: Instant
    ) -> tuple[HostOffer, ...]:
        """Return the offers with `start_refused_until` set."""
        return tuple(
            attrs.evolve(offer, start_refused_until=self.find_pause_end(offer.key, now))
            for offer in offers
        )

    def _is_unexpired(self, refusals: _RefusalHistory, now: Instant) -> bool:
        end_ms = refusals.pause_end.mono_ms + self.policy.reset_after_ms
        return now.mono_ms < end_ms
