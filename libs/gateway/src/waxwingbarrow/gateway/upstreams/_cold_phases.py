"""Which upstreams are cold, and how many requests they tolerate until they are warm.

An upstream is cold after it starts during traffic, and may become cold again. Its
registration and its responses state how much longer; hosts tell each other what
responses stated. A stated time counts from its arrival, as wall clocks differ.
"""

import logging
from collections.abc import Callable, Iterable

import attrs

from waxwingbarrow.core import Instant, ServiceName, UpstreamId
from waxwingbarrow.gateway.base import BoundedInt, Service, UpstreamEntry

logger = logging.getLogger("waxwingbarrow.gateway.cold")

# One process of an upstream; see `UpstreamNotices`.
_Process = tuple[UpstreamId, int]
# Identifier and start time of an upstream, the time in ms for which it stays cold, and
# the age in ms of the statement.
ColdReport = tuple[str, BoundedInt, BoundedInt, BoundedInt]

# Time for which peers are told that a phase ended early, and for which statements on
# upstreams that are no longer registered are kept after their last phase.
SHARING_MS = 10_000
RETENTION_MS = 600_000
# Number of phases that peers are told of at a time. They read registrations themselves.
# A relay sends it four times a second to each host, over links as slow as 5 Mbit/s.
MAX_SHARED = 32
# Two statements that differ by less name the same end.
AGREEMENT_MS = 1_000
# A report takes up to this long from its sender, so a report of a statement that is
# newer by less may repeat the known one.
REPORT_TOLERANCE_MS = 500
# Wall clocks of upstreams and hosts differ by up to about this much. It extends a phase
# that is derived from a start time.
CLOCK_TOLERANCE_MS = 2_000
# A host that heard of no other host for this long after its start is alone.
ALONE_AFTER_MS = 2_000
# No upstream is cold for this long; a longer time would keep its entry for ever.
MAX_LEFT_MS = 3_600_000
# An upstream whose state is not known yet is looked at again after this time.
UNKNOWN_WAIT_MS = 250


@attrs.define
class _Phase:
    """What is known of the cold phase of one process.

    Parameters
    ----------
    until_ms : int or None
        Monotonic time at which it ends; None if nothing states it.
    stated_ms : int
        Monotonic time of the newest statement.
    is_shared : bool
        Whether peers are told of it: no registration states it.
    changed_ms : int
        Monotonic time at which its end last changed.
    service : ServiceName or None
        Service of the upstream; None before its registration is known.
    sequence : int
        Number of the newest registration.
    permit_at_ms : int
        Monotonic time before which this host gets no permit for it.
    """

    until_ms: int | None = None
    stated_ms: int = 0
    is_shared: bool = False
    changed_ms: int = 0
    service: ServiceName | None = None
    sequence: int = -1
    permit_at_ms: int = 0


class ColdPhases:
    """Cold phases of the upstreams of services that have them.

    Without `start_host`, upstreams whose registration states nothing are warm.
    """

    def __init__(self) -> None:
        self._phases: dict[_Process, _Phase] = {}
        self._services: dict[ServiceName, Service] = {}
        self._started: Instant | None = None
        self._is_informed = True
        self._has_others: Callable[[], bool] = lambda: False

    def start_host(
        self, started: Instant, is_first_start: bool, has_others: Callable[[], bool]
    ) -> None:
        """Set when this host started.

        Parameters
        ----------
        is_first_start : bool
            Whether all hosts start together, so that no peer knows more.
        has_others : callable
            Returns whether other hosts are known.
        """
        self._started = started
        self._is_informed = is_first_start
        self._has_others = has_others

    def set_services(self, services: Iterable[Service]) -> None:
        """Set the services of the configuration in force."""
        self._services = {item.name: item for item in services if item.has_cold_phase}

    def note_registration(self, entry: UpstreamEntry, now: Instant) -> None:
        """Record a registration; one that is read again states nothing new.

        A registration that arrives late states a time that is too long at worst, and
        never ends a phase that a response stated.
        """
        process = entry.upstream, entry.process_started_ms
        phase = self._phases.setdefault(process, _Phase())
        phase.service = entry.service
        if entry.sequence <= phase.sequence:
            return
        is_first = phase.sequence < 0
        phase.sequence = entry.sequence
        if entry.cold_left_ms is not None:
            until_ms = _find_end_ms(entry.cold_left_ms, now)
            if phase.until_ms is None or until_ms > phase.until_ms:
                self._log_start(entry.upstream, phase, until_ms, "registration", now)
                phase.until_ms, phase.is_shared = until_ms, False
                phase.stated_ms = phase.changed_ms = now.mono_ms
        elif is_first and phase.until_ms is None:
            self._derive_from_start(entry, phase, now)

    def _derive_from_start(
        self, entry: UpstreamEntry, phase: _Phase, now: Instant
    ) -> None:
        started = self._started
        if started is None or entry.process_started_ms <= started.wall_ms:
            return
        age_ms = now.wall_ms - entry.process_started_ms - CLOCK_TOLERANCE_MS
        # The service's time is added when it is asked for: the configuration may be
        # read later than the registration.
        phase.stated_ms = now.mono_ms - max(age_ms, 0)
        phase.is_shared = True

    def _settle(self, process: _Process, phase: _Phase, now: Instant) -> None:
        """Set the end of a phase that is derived from the start of the process."""
        service = self._services.get(phase.service) if phase.service else None
        if phase.until_ms is None and phase.is_shared and service is not None:
            until_ms = phase.stated_ms + round(service.cold_start_s * 1000)
            self._log_start(process[0], phase, until_ms, "start time", now)
            phase.until_ms = until_ms

    def note_response(self, process: _Process, left_ms: int, now: Instant) -> None:
        """Record what a response states; it replaces all earlier statements."""
        phase = self._phases.setdefault(process, _Phase())
        until_ms = _find_end_ms(left_ms, now)
        self._log_start(process[0], phase, until_ms, "response", now)
        known_ms = max(phase.until_ms or 0, now.mono_ms)
        if abs(until_ms - known_ms) > AGREEMENT_MS:
            phase.is_shared, phase.changed_ms = True, now.mono_ms
        phase.until_ms, phase.stated_ms = until_ms, now.mono_ms

    def _log_start(
        self,
        upstream: UpstreamId,
        phase: _Phase,
        until_ms: int,
        source: str,
        now: Instant,
    ) -> None:
        if (phase.until_ms or 0) <= now.mono_ms < until_ms:
            logger.info(
                "upstream is cold",
                extra={
                    "upstream": upstream,
                    "left_ms": until_ms - now.mono_ms,
                    "source": source,
                },
            )

    def find_limit_per_s(self, process: _Process, now: Instant) -> float | None:
        """Return the requests per second that a cold upstream tolerates from all hosts.

        The result is None if it is not cold.
        """
        phase = self._phases.get(process) if self._services else None
        if phase is None or phase.service is None:
            return None
        service = self._services.get(phase.service)
        if service is None:
            return None
        self._settle(process, phase, now)
        if phase.until_ms is None or phase.until_ms <= now.mono_ms:
            return None
        return service.cold_limit_per_s

    def can_decide(self, process: _Process) -> bool:
        """Return whether the upstream is registered and its service has a limit."""
        phase = self._phases.get(process)
        return phase is not None and phase.service in self._services

    def record_permit_wait(self, process: _Process, wait_ms: int, now: Instant) -> None:
        """Let this host send a cold upstream nothing until it may get a permit."""
        self._phases[process].permit_at_ms = now.mono_ms + wait_ms

    def measure_deferral_ms(self, process: _Process, now: Instant) -> int:
        """Return the time for which this host sends an upstream nothing; 0 if none."""
        if self.find_limit_per_s(process, now) is None:
            return self._measure_unknown_ms(process, now)
        return max(self._phases[process].permit_at_ms - now.mono_ms, 0)

    def _measure_unknown_ms(self, process: _Process, now: Instant) -> int:
        """Return for how long an upstream gets nothing, as its state is not known.

        A host that starts while others run waits until it heard from one of them. A
        process that was there before is warm when its service's time has passed.
        """
        if self._is_informed or self._started is None:
            return 0
        phase = self._phases.get(process)
        if phase is None or phase.service is None or phase.until_ms is not None:
            return 0
        service = self._services.get(phase.service)
        age_ms = now.mono_ms - self._started.mono_ms
        if service is None or age_ms >= service.cold_start_s * 1000:
            return 0
        if not self._has_others() and age_ms >= ALONE_AFTER_MS:
            return 0
        return UNKNOWN_WAIT_MS

    def make_report(self, process: _Process, now: Instant) -> ColdReport | None:
        """Return what a peer is told of an upstream; None if nothing is stated."""
        phase = self._phases.get(process)
        if phase is None or phase.until_ms is None:
            return None
        left_ms = max(phase.until_ms - now.mono_ms, 0)
        return str(process[0]), process[1], left_ms, now.mono_ms - phase.stated_ms

    def list_reports(self, now: Instant) -> list[ColdReport]:
        """Return what peers are told: phases that no registration states."""
        self._forget_ended(now)
        processes = [
            process
            for process, phase in self._phases.items()
            if phase.is_shared
            and phase.until_ms is not None
            and (
                phase.until_ms > now.mono_ms
                or now.mono_ms - phase.changed_ms < SHARING_MS
            )
        ]
        made = [self.make_report(process, now) for process in processes]
        reports = [report for report in made if report is not None]
        return sorted(reports, key=lambda report: report[-1])[:MAX_SHARED]

    def update_from_peer(self, reports: list[ColdReport], now: Instant) -> None:
        """Record what a peer reports regularly; of two statements the newer holds."""
        self._is_informed = True
        self.apply_reports(reports, now)

    def apply_reports(self, reports: list[ColdReport], now: Instant) -> None:
        """Record single reports of a peer."""
        for name, started_ms, left_ms, age_ms in reports:
            process = (UpstreamId(name), started_ms)
            stated_ms = now.mono_ms - max(age_ms, 0)
            phase = self._phases.setdefault(process, _Phase())
            is_newer = (
                phase.until_ms is None
                or stated_ms > phase.stated_ms + REPORT_TOLERANCE_MS
            )
            if is_newer:
                until_ms = _find_end_ms(left_ms, now)
                self._log_start(process[0], phase, until_ms, "peer", now)
                known_ms = max(phase.until_ms or 0, now.mono_ms)
                if abs(until_ms - known_ms) > AGREEMENT_MS:
                    phase.is_shared, phase.changed_ms = True, now.mono_ms
                phase.until_ms, phase.stated_ms = until_ms, stated_ms

    def forget(self, process: _Process) -> None:
        """Note that an upstream is no longer registered; its phase may still matter."""
        phase = self._phases.get(process)
        if phase is not None:
            phase.service, phase.sequence = None, -1

    def _forget_ended(self, now: Instant) -> None:
        self._phases = {
            process: phase
            for process, phase in self._phases.items()
            if phase.service is not None
            or now.mono_ms - max(phase.until_ms or 0, phase.stated_ms) < RETENTION_MS
        }


def _find_end_ms(left_ms: int, now: Instant) -> int:
    return now.mono_ms + min(max(left_ms, 0), MAX_LEFT_MS)
