"""Whether the relays keep a host's copy of the operator's topic up to date.

In deployments with relays only these wait for configurations and orders at the store,
and their totals tell the other hosts how far they have read. A host reads the store
itself as soon as the relays cannot vouch for its copy.
"""

import attrs

from waxwingbarrow.core import Instant

# A copy is up to date if a relay that knows no more had an answer of the store within
# this time. The operator's changes must be in force within two seconds at the least.
MAX_CONFIRMATION_AGE_MS = 1_600
# A host that is behind its relay for this long has failed to fetch from it.
MAX_BEHIND_MS = 800


@attrs.define
class OperatorCoverage:
    """Tracks what the totals of the relay say about the operator's topic.

    Attributes
    ----------
    confirmed_ms : int or None
        Monotonic time at which the store last confirmed what the relay knows.
    behind_since_ms : int or None
        Monotonic time since which this host is behind the relay.
    """

    confirmed_ms: int | None = None
    behind_since_ms: int | None = None

    def note_total(
        self, age_ms: int | None, relay_end: int, own_end: int, now: Instant
    ) -> None:
        """Record a total.

        Parameters
        ----------
        age_ms : int or None
            Time since the store confirmed what the relay knows; None if it has not.
        relay_end, own_end : int
            Offsets up to which the relay and this host know the topic.
        """
        if age_ms is not None:
            self.confirmed_ms = now.mono_ms - age_ms
        if own_end >= relay_end:
            self.behind_since_ms = None
        elif self.behind_since_ms is None:
            self.behind_since_ms = now.mono_ms

    def is_covered(self, now: Instant) -> bool:
        """Return whether this host need not read the store itself.

        Examples
        --------
        >>> coverage = OperatorCoverage()
        >>> coverage.note_total(300, relay_end=7, own_end=7, now=Instant(0, 1_000))
        >>> [coverage.is_covered(Instant(0, now_ms)) for now_ms in (1_250, 3_000)]
        [True, False]
        """
        if self.confirmed_ms is None:
            return False
        if now.mono_ms - self.confirmed_ms > MAX_CONFIRMATION_AGE_MS:
            return False
        return (
            self.behind_since_ms is None
            or now.mono_ms - self.behind_since_ms <= MAX_BEHIND_MS
        )
