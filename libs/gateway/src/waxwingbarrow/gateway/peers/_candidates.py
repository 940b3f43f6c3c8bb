"""Selection of the hosts that are candidates for the duties.

A change of the candidates may move the duties to another host, and for some seconds no
host carries them out. So hosts become candidates one after the other, and only while no
other host holds the duties.
"""

import enum
from collections.abc import Collection

from waxwingbarrow.core import HostId, Instant

# A host waits this long for each host that is ranked before it, so that it learns of a
# new holder first. A new holder acts about 3 s after it became a candidate, and through
# relays the other hosts know of it a second later.
CANDIDATE_STEP_MS = 5_500
# A host that has been a relay for less than this does not count as one yet: it may only
# be a brief replacement for a relay that does not respond.
MIN_RELAY_MS = 3_000
# A host that was a settled relay less than this long ago still counts as one, because
# the other hosts may have replaced it only briefly.
RELAY_RETENTION_MS = 6_000
# A host that has just started does not know the other hosts yet.
MIN_UPTIME_MS = 1_500


class DutyEligibility(enum.IntEnum):
    """Whether a host can hold the duties, as it reports to its peers.

    A host cannot hold them while it does not reach the store or is about to stop. A
    candidate can, and competes for the lease.
    """

    INELIGIBLE = 0
    ELIGIBLE = 1
    CANDIDATE = 2


class Candidacy:
    """Decides whether one host is a candidate for the duties.

    Parameters
    ----------
    started : Instant
        Time at which this process started.
    """

    def __init__(self, started: Instant) -> None:
        self._started = started
        self._is_candidate = False
        self._relay_since_ms: int | None = None
        # Monotonic time at which this host was last a settled relay.
        self._last_settled_ms = -RELAY_RETENTION_MS
        self._no_holder_since_ms: int | None = None
        # Other candidates seen since then, and the monotonic time of the last new one.
        self._other_candidates: set[HostId] = set()
        self._last_new_candidate_ms = 0

    def note_relay(self, is_relay: bool, now: Instant) -> None:
        """Record whether this host is a relay now."""
        if not is_relay:
            self._relay_since_ms = None
            return
        if self._relay_since_ms is None:
            self._relay_since_ms = now.mono_ms
        is_settled = now.mono_ms - self._relay_since_ms >= MIN_RELAY_MS
        if is_settled or self.is_settled_relay(now):
            self._last_settled_ms = now.mono_ms

    def is_settled_relay(self, now: Instant) -> bool:
        """Whether this host has been a relay for long enough to be a candidate."""
        return now.mono_ms - self._last_settled_ms < RELAY_RETENTION_MS

    def decide(
        self,
        is_held_elsewhere: bool,
        has_enough_reports: bool,
        position: int,
        other_candidates: Collection[HostId],
        now: Instant,
    ) -> bool:
        """Return whether this host is a candidate.

        Parameters
        ----------
        is_held_elsewhere : bool
            Whether another host holds the duties, as far as this host knows.
        has_enough_reports : bool
            Whether this host receives reports from enough of the others. Otherwise it
            would report their usage wrongly and order workers for its own requests
            only.
        position : int
            Number of hosts that are ranked before this one. A host that is a candidate
            already stays one if hosts appear before it.
        other_candidates : collection
            Hosts that are candidates now. Each is waited for once, from the time at
            which it became one.
        """
        if is_held_elsewhere:
            self._no_holder_since_ms = None
            self._other_candidates.clear()
        elif self._no_holder_since_ms is None:
            self._no_holder_since_ms = now.mono_ms
        if not is_held_elsewhere and not self._other_candidates.issuperset(
            other_candidates
        ):
            self._other_candidates.update(other_candidates)
            self._last_new_candidate_ms = now.mono_ms
        if (
            is_held_elsewhere
            or not has_enough_reports
            or not self._is_up_long_enough(now)
        ):
            self._is_candidate = False
        elif not self._is_candidate:
            since_ms = self._no_holder_since_ms
            assert since_ms is not None
            waited_ms = now.mono_ms - since_ms
            if self._other_candidates:
                waited_ms = min(waited_ms, now.mono_ms - self._last_new_candidate_ms)
            self._is_candidate = waited_ms >= CANDIDATE_STEP_MS * position
        return self._is_candidate

    def _is_up_long_enough(self, now: Instant) -> bool:
        return now.mono_ms - self._started.mono_ms >= MIN_UPTIME_MS
