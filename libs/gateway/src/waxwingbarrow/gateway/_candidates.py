"""Which hosts may hold the duties of all.

Each change of the candidates may move the duties, which then rest for seconds. So hosts
become candidates one after the other, and only while no other host holds the duties.
"""

import enum

from waxwingbarrow.core import Instant

# A host waits this long for each one that goes before it: a new holder acts about three
# seconds after it became a candidate, and is known with relays after five.
CANDIDATE_STEP_MS = 6_000
# A host that only stands in for a relay that was silent is no candidate; a relay that
# was passed over for a while stays one.
RELAY_SETTLED_MS = 3_000
RELAY_KEPT_MS = 6_000
# A host that has just started does not know who else is there.
STARTED_MS = 1_500


class Readiness(enum.IntEnum):
    """What a host tells the others about itself.

    A host cannot hold the duties while it does not reach the store or is about to end.
    """

    CANNOT = 0
    COULD = 1
    CANDIDATE = 2


class Candidacy:
    """Decides for one host.

    Parameters
    ----------
    started : Instant
        Start of the process.
    """

    def __init__(self, started: Instant) -> None:
        self._started = started
        self._is_candidate = False
        self._is_relay = False
        self._relay_since_ms = 0
        # The last time at which this host was a relay.
        self._relay_until_ms = -RELAY_KEPT_MS
        self._no_holder_since_ms: int | None = None

    def note_relay(self, is_relay: bool, now: Instant) -> None:
        """Note whether this host is a relay."""
        was_kept = now.mono_ms - self._relay_until_ms < RELAY_KEPT_MS
        if is_relay and not self._is_relay and not was_kept:
            self._relay_since_ms = now.mono_ms
        self._is_relay = is_relay
        if is_relay:
            self._relay_until_ms = now.mono_ms

    def is_settled_relay(self, now: Instant) -> bool:
        """Whether this host has been a relay for some time."""
        if self._is_relay:
            return now.mono_ms - self._relay_since_ms >= RELAY_SETTLED_MS
        return now.mono_ms - self._relay_until_ms < RELAY_KEPT_MS

    def decide(
        self, is_held_elsewhere: bool, is_able: bool, position: int, now: Instant
    ) -> bool:
        """Return whether this host is a candidate.

        Parameters
        ----------
        is_able : bool
            Whether it hears enough of the others: otherwise it would report their
            usage wrongly and order workers for its own requests only.
        position : int
            Hosts that go before this one. A candidate stays one whoever comes.
        """
        if is_held_elsewhere:
            self._no_holder_since_ms = None
        elif self._no_holder_since_ms is None:
            self._no_holder_since_ms = now.mono_ms
        if is_held_elsewhere or not is_able or not self._is_settled_host(now):
            self._is_candidate = False
        elif not self._is_candidate:
            waited_ms = now.mono_ms - (self._no_holder_since_ms or now.mono_ms)
            self._is_candidate = waited_ms >= CANDIDATE_STEP_MS * position
        return self._is_candidate

    def _is_settled_host(self, now: Instant) -> bool:
        return now.mono_ms - self._started.mono_ms >= STARTED_MS
