"""Whether other hosts keep a host's copy of the operator's topic up to date.

In deployments with relays only these wait for configurations and orders at the store,
and their totals tell the other hosts how far they have read. A host reads the store
itself as soon as the relays cannot vouch for its copy.

In a full mesh every host waits at the store, but the answer to a long poll may be lost
without any sign. So the first host in the order of the relays asks often, and its
heartbeats vouch for the copies of the others. Without that, they ask often themselves.
"""

import attrs

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.base import Position

# A copy is up to date if a host that knows no more had an answer of the store within
# this time. The operator's changes must be in force within two seconds at the least.
MAX_CONFIRMATION_AGE_MS = 1_600
# A host that is behind another one for this long has failed to fetch from it.
MAX_BEHIND_MS = 800


@attrs.define
class OperatorCoverage:
    """Tracks what messages of other hosts say about the operator's topic.

    Attributes
    ----------
    confirmed_ms : int or None
        Monotonic time at which the store last confirmed what another host knows.
    known_position : Position
        Highest position up to which another host knows the topic.
    behind_since_ms : int or None
        Monotonic time since which this host knows less than another one.
    """

    confirmed_ms: int | None = None
    known_position: Position = Position()
    behind_since_ms: int | None = None

    def note_message(
        self,
        age_ms: int | None,
        sender_position: Position,
        own_position: Position,
        now: Instant,
    ) -> None:
        """Record a total of the relay, or a heartbeat of a host that asks often.

        Parameters
        ----------
        age_ms : int or None
            Time since the store confirmed what the sender knows; None if it has not.
        sender_position, own_position : Position
            Positions up to which the sender and this host know the topic.
        """
        if age_ms is not None:
            confirmed_ms = now.mono_ms - age_ms
            if self.confirmed_ms is None or confirmed_ms > self.confirmed_ms:
                self.confirmed_ms = confirmed_ms
        self.known_position = max(self.known_position, sender_position)
        if own_position >= self.known_position:
            self.behind_since_ms = None
        elif self.behind_since_ms is None:
            self.behind_since_ms = now.mono_ms

    def is_covered(self, now: Instant) -> bool:
        """Return whether other hosts vouch for this host's copy.

        Examples
        --------
        >>> coverage = OperatorCoverage()
        >>> known = Position(offset=7)
        >>> coverage.note_message(300, known, known, Instant(0, 1_000))
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
