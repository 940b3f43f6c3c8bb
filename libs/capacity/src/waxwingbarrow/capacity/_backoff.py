"""Pauses after refused starts, for each offer."""

from collections.abc import Iterable, Mapping

import attrs

from waxwingbarrow.capacity._hosts import HostOffer, OfferKey
from waxwingbarrow.core import Instant, in_range


@attrs.frozen(kw_only=True)
class BackoffPolicy:
    """Constants of the pause after a refused start.

    Parameters
    ----------
    initial_pause_ms : int
        Pause after the first refusal; each further one doubles it.
    max_pause_ms : int
        Longest pause.
    reset_after_ms : int
        After this time without a refusal the offer counts as never refused.
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
    """Offers whose last start was refused.

    An offer that is refused is left out of the plan until its pause ends, so the next
    attempt goes to another zone, machine class or kind.

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
        """Return the state after a refused start."""
        known = self.refusals.get(key)
        if known is not None and now.mono_ms < known.pause_end.mono_ms:
            # Starts ordered together are refused together and count once.
            return self
        count = 1
        if known is not None and self._is_unexpired(known, now):
            count = known.count + 1
        # The exponent is limited so that it does not grow without bound.
        pause_ms = min(
            self.policy.initial_pause_ms * 2 ** min(count - 1, 30),
            self.policy.max_pause_ms,
        )
        refused = _RefusalHistory(count, now, now.plus_ms(pause_ms))
        kept = {k: v for k, v in self.refusals.items() if self._is_unexpired(v, now)}
        return attrs.evolve(self, refusals={**kept, key: refused})

    def note_started(self, key: OfferKey) -> "StartBackoff":
        """Return the state after a start that was accepted."""
        kept = {k: v for k, v in self.refusals.items() if k != key}
        return attrs.evolve(self, refusals=kept)

    def find_pause_end(self, key: OfferKey, now: Instant) -> Instant | None:
        """Return when an offer may be tried again; None if now."""
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
