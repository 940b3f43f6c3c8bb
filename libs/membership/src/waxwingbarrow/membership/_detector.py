"""Failure detection from gossiped heartbeat counters."""

import enum
from collections.abc import Iterator

import attrs

from waxwingbarrow.core import HostId, Incarnation, Instant


class Liveness(enum.StrEnum):
    """State of a member according to this host's failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class DetectorSettings:
    """Timeouts and rates of the failure detector.

    Parameters
    ----------
    suspect_after_ms, dead_after_ms : int
        Time without a new counter after which a member of the same data centre is
        suspect or dead. Each host that forwards a counter delays it by up to one
        gossip interval, so `dead_after_ms` is the longest tolerated pause plus that
        delay.
    remote_suspect_after_ms, remote_dead_after_ms : int
        The same for a member of another data centre, whose counter is forwarded only
        every `remote_step` beats and may wait that long again at each host.
    remote_step : int
        Beats between two reports about a member of another data centre. A report of 3
        bytes every second about each of 2,280 such members, on each of 6 streams, would
        take more than twice the budget of 18 KB/s.
    max_beat_gap_ms : int
        Longest time between two beats of this host that is not treated as a pause.
    """

    suspect_after_ms: int = 5_000
    dead_after_ms: int = 8_000
    remote_suspect_after_ms: int = 80_000
    remote_dead_after_ms: int = 120_000
    remote_step: int = 30
    max_beat_gap_ms: int = 2_000


@attrs.define
class HeartbeatRecord:
    """Highest counter of a member and the time at which this host first saw it.

    Parameters
    ----------
    incarnation : Incarnation
        Process run of the member.
    counter : int
        Highest counter that was reported; 0 if there was no report yet.
    last_heard_ms : int
        Monotonic time at which the counter last increased, in milliseconds.
    local : bool
        Whether the member is in this host's data centre.
    locality_known : bool
        Whether `local` was set from the member item of this incarnation.
    """

    incarnation: Incarnation
    counter: int
    last_heard_ms: int
    local: bool = False
    locality_known: bool = False


class FailureDetector:
    """Liveness of members by the time since their counter last increased.

    Counters reach a host over several paths, so a member stays alive when the link
    between two hosts fails in one direction. Each host decides for itself and does not
    gossip the result, so nothing has to be revoked after a partition.

    Parameters
    ----------
    host_id : HostId
        This host.
    incarnation : Incarnation
        This process run.
    settings : DetectorSettings
        Timeouts and rates.
    """

    def __init__(
        self,
        host_id: HostId,
        incarnation: Incarnation,
        settings: DetectorSettings | None = None,
    ) -> None:
        self.host_id = host_id
        self.settings = settings or DetectorSettings()
        self._own = HeartbeatRecord(incarnation, 0, 0, local=True, locality_known=True)
        self._local: dict[HostId, HeartbeatRecord] = {host_id: self._own}
        self._remote: dict[HostId, HeartbeatRecord] = {}
        # Number of the last change of each remote member, oldest change first.
        self._remote_changes: dict[HostId, int] = {}
        self._last_change = 0
        self._last_beat_ms: int | None = None

    def beat(self, now: Instant) -> None:
        """Increase this host's counter; called once per gossip interval.

        After a pause of this process, all records are moved forward by the length of
        the pause, so that it does not count as silence of the other members.
        """
        paused_ms = self._compute_pause_ms(now)
        if paused_ms:
            for records in (self._local, self._remote):
                for record in records.values():
                    shifted_ms = record.last_heard_ms + paused_ms
                    record.last_heard_ms = min(now.mono_ms, shifted_ms)
        self._last_beat_ms = now.mono_ms
        self._own.counter += 1
        self._own.last_heard_ms = now.mono_ms

    def observe(
        self, host: HostId, incarnation: Incarnation, counter: int, now: Instant
    ) -> bool:
        """Apply a reported counter and return whether it changed the record."""
        record = self._local.get(host) or self._remote.get(host)
        if record is None:
            self._remote[host] = HeartbeatRecord(incarnation, counter, now.mono_ms)
            self._record_remote_change(host)
            return True
        if record is self._own:
            return False
        # Equality is tested first, because ordering attrs objects took half of the time
        # to apply a batch.
        if incarnation == record.incarnation:
            if counter <= record.counter:
                return False
        elif incarnation < record.incarnation:
            return False
        else:
            record.incarnation = incarnation
            # The new process may run in another data centre; `set_locality` follows.
            record.locality_known = False
        record.counter = counter
        record.last_heard_ms = now.mono_ms
        if not record.local:
            self._record_remote_change(host)
        return True

    def set_locality(
        self, host: HostId, incarnation: Incarnation, local: bool, now: Instant
    ) -> None:
        """Record whether a member is in this host's data centre.

        The silence of a member without a report is counted from this call on.
        """
        if host == self.host_id:
            return
        record = self._local.pop(host, None) or self._remote.pop(host, None)
        if record is None or record.incarnation < incarnation:
            record = HeartbeatRecord(incarnation, 0, now.mono_ms)
        record.local, record.locality_known = local, True
        (self._local if local else self._remote)[host] = record
        if local:
            self._remote_changes.pop(host, None)
        elif host not in self._remote_changes:
            self._record_remote_change(host)

    def forget(self, host: HostId) -> None:
        """Drop the record of a removed member."""
        if host != self.host_id:
            self._local.pop(host, None)
            self._remote.pop(host, None)
            self._remote_changes.pop(host, None)

    def forget_without_locality(self, silence_ms: int, now: Instant) -> None:
        """Drop silent members whose member item never arrived."""
        for host, record in tuple(self._remote.items()):
            if (
                not record.locality_known
                and now.mono_ms - record.last_heard_ms >= silence_ms
            ):
                self.forget(host)

    def find(self, host: HostId) -> HeartbeatRecord | None:
        """Return the record of a member."""
        return self._local.get(host) or self._remote.get(host)

    def status(self, host: HostId, now: Instant) -> Liveness:
        """Return the liveness of a member.

        Parameters
        ----------
        host : HostId
            The member; an unknown one counts as dead.
        now : Instant
            Present time.

        Returns
        -------
        Liveness
            State by the time since the member's counter last increased.
        """
        record = self._local.get(host) or self._remote.get(host)
        if record is None:
            return Liveness.DEAD
        if record is self._own:
            return Liveness.ALIVE
        silence_ms = now.mono_ms - record.last_heard_ms - self._compute_pause_ms(now)
        settings = self.settings
        if record.local:
            suspect_ms, dead_ms = settings.suspect_after_ms, settings.dead_after_ms
        else:
            suspect_ms = settings.remote_suspect_after_ms
            dead_ms = settings.remote_dead_after_ms
        if silence_ms >= dead_ms:
            return Liveness.DEAD
        # A member without a report may have died before this host learned of it.
        if silence_ms >= suspect_ms or record.counter == 0:
            return Liveness.SUSPECT
        return Liveness.ALIVE

    def silence_ms(self, host: HostId, now: Instant) -> int:
        """Return the time since a member's counter last increased, in milliseconds."""
        record = self.find(host)
        return now.mono_ms - record.last_heard_ms if record else 0

    def walk_local(self) -> Iterator[tuple[HostId, HeartbeatRecord]]:
        """Yield the records of this data centre, including that of this host."""
        yield from self._local.items()

    @property
    def remote_cursor(self) -> int:
        """Cursor after the newest change of a remote record."""
        return self._last_change

    def walk_remote(self, cursor: int) -> Iterator[tuple[HostId, HeartbeatRecord]]:
        """Yield the remote records that changed after `cursor`, newest first.

        Members of unknown locality count as remote. With 2,280 remote members, visiting
        all of them for each frame and classifying all of them at each review of the
        streams took 0.9% of a core.
        """
        for host in reversed(self._remote_changes):
            if self._remote_changes[host] <= cursor:
                return
            yield host, self._remote[host]

    def _record_remote_change(self, host: HostId) -> None:
        self._last_change += 1
        self._remote_changes.pop(host, None)
        self._remote_changes[host] = self._last_change

    def _compute_pause_ms(self, now: Instant) -> int:
        if self._last_beat_ms is None:
            return 0
        gap_ms = now.mono_ms - self._last_beat_ms
        return max(0, gap_ms - self.settings.max_beat_gap_ms)
