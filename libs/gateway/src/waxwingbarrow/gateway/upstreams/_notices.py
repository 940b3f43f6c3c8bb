"""What upstreams ask of the hosts in the headers of their responses."""

import logging

import attrs

from waxwingbarrow.core import Instant, UpstreamId
from waxwingbarrow.gateway.base import BoundedFloat, BoundedInt, ResponseMetadata
from waxwingbarrow.gateway.upstreams._cold_phases import ColdPhases
from waxwingbarrow.gateway.upstreams._return_limits import ReturnLimits

logger = logging.getLogger("waxwingbarrow.gateway.notices")

# A response with one of these statuses may say how long the upstream wants no requests.
OVERLOAD_STATUSES = (429, 503)
# This status comes from another upstream, which has taken over the address.
WRONG_UPSTREAM_STATUS = 421
# Time for which notices of an upstream are kept, after its last one.
RETENTION_MS = 600_000
# Time for which peers are told that an upstream no longer limits its requests.
SHARING_MS = 10_000
# Number of upstreams that peers are told of at a time.
MAX_SHARED = 64
# A report takes up to this long from its sender, so a report of a statement that is
# newer by less may repeat the known one.
REPORT_TOLERANCE_MS = 500
# In a report: the upstream does not limit its requests.
NO_LIMIT = -1.0

# One process of an upstream: its identifier, and the wall time in ms of its start.
UpstreamProcess = tuple[UpstreamId, int]
# Identifier and start time of an upstream, its limit in requests per second or
# `NO_LIMIT`, whether it is leaving, and the age in ms of its newest statement.
NoticeReport = tuple[str, BoundedInt, BoundedFloat, bool, BoundedInt]


@attrs.define
class _Notice:
    """Newest statements of one process.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that it accepts from all hosts together; None if it does not
        limit them.
    limit_ms : int or None
        Monotonic time of the statement on the limit; None before the first one.
    changed_ms : int
        Monotonic time at which the limit or `leaving` last changed.
    leaving : bool
        Whether it is about to end.
    deferred_until_ms : int
        Monotonic time until which it wants nothing from this host.
    permit_at_ms : int
        Monotonic time before which this host gets no permit for its limit.
    """

    limit_per_s: float | None = None
    limit_ms: int | None = None
    changed_ms: int = 0
    leaving: bool = False
    deferred_until_ms: int = 0
    permit_at_ms: int = 0

    @property
    def last_ms(self) -> int:
        """Monotonic time of the newest statement, or the end of the deferral."""
        return max(
            self.changed_ms,
            self.limit_ms or 0,
            self.deferred_until_ms,
            self.permit_at_ms,
        )


class UpstreamNotices:
    """Newest statements of the upstreams about the requests that they accept.

    A limit holds for all hosts together, so hosts tell each other of limits and of
    upstreams that leave. A time without requests holds for one host only.

    Attributes
    ----------
    cold : ColdPhases
        Upstreams that are cold, which limits their requests as well.
    return_limits : ReturnLimits
        Limits after an evacuation; each host derives them from the operator's orders.
    """

    def __init__(self) -> None:
        self._notices: dict[UpstreamProcess, _Notice] = {}
        self.cold = ColdPhases()
        self.return_limits = ReturnLimits()

    def note_response(
        self,
        process: UpstreamProcess,
        status: int,
        metadata: ResponseMetadata,
        now: Instant,
    ) -> None:
        """Record what the head of a response states."""
        if status == WRONG_UPSTREAM_STATUS:
            return
        if metadata.cold_left_ms is not None:
            self.cold.note_response(process, metadata.cold_left_ms, now)
        notice = self._notices.get(process)
        has_named_limit = notice is not None and notice.limit_ms is not None
        if metadata.request_limit_per_s is not None or has_named_limit:
            self._set_limit(process, metadata.request_limit_per_s, now.mono_ms, now)
        if metadata.leaving:
            self._set_leaving(process, now)
        if metadata.retry_after_s is not None and status in OVERLOAD_STATUSES:
            deferral_ms = round(metadata.retry_after_s * 1000)
            self._defer(process, deferral_ms, now)
            logger.info(
                "upstream wants no requests for a while",
                extra={"upstream": process[0], "status": status, "for_ms": deferral_ms},
            )

    def _find_or_add(self, process: UpstreamProcess, now: Instant) -> _Notice:
        if process not in self._notices:
            self._notices[process] = _Notice(changed_ms=now.mono_ms)
        return self._notices[process]

    def _set_limit(
        self,
        process: UpstreamProcess,
        limit_per_s: float | None,
        stated_ms: int,
        now: Instant,
    ) -> None:
        notice = self._find_or_add(process, now)
        if limit_per_s != notice.limit_per_s:
            notice.changed_ms = now.mono_ms
            notice.permit_at_ms = 0
            logger.info(
                "upstream limits its requests"
                if limit_per_s is not None
                else "upstream no longer limits its requests",
                extra={
                    "upstream": process[0],
                    "limit_per_s": limit_per_s,
                    "age_ms": now.mono_ms - stated_ms,
                },
            )
        notice.limit_per_s, notice.limit_ms = limit_per_s, stated_ms

    def _set_leaving(self, process: UpstreamProcess, now: Instant) -> None:
        notice = self._find_or_add(process, now)
        if not notice.leaving:
            notice.changed_ms = now.mono_ms
            logger.info("upstream says that it leaves", extra={"upstream": process[0]})
        notice.leaving = True

    def _defer(self, process: UpstreamProcess, deferral_ms: int, now: Instant) -> None:
        notice = self._find_or_add(process, now)
        until_ms = now.mono_ms + deferral_ms
        notice.deferred_until_ms = max(notice.deferred_until_ms, until_ms)

    def record_permit_wait(
        self, process: UpstreamProcess, wait_ms: int, now: Instant
    ) -> None:
        """Let this host send an upstream nothing until it may get a permit.

        A change of the limit ends the wait, and so does the end of a cold phase.
        """
        if self.cold.find_limit_per_s(process, now) is not None:
            self.cold.record_permit_wait(process, wait_ms, now)
            return
        if self.find_limit_per_s(process) is None:
            return
        unstated = _Notice(changed_ms=now.mono_ms - RETENTION_MS)
        notice = self._notices.setdefault(process, unstated)
        notice.permit_at_ms = now.mono_ms + wait_ms

    def measure_deferral_ms(self, process: UpstreamProcess, now: Instant) -> int:
        """Return the time for which this host sends an upstream nothing; 0 if none."""
        cold_ms = self.cold.measure_deferral_ms(process, now)
        notice = self._notices.get(process)
        if notice is None:
            return cold_ms
        until_ms = max(notice.deferred_until_ms, notice.permit_at_ms)
        return max(until_ms - now.mono_ms, cold_ms)

    def find_limit_per_s(self, process: UpstreamProcess) -> float | None:
        """Return the requests per second that an upstream accepts from all hosts.

        The result is None if it does not limit them.
        """
        notice = self._notices.get(process)
        stated_per_s = None if notice is None else notice.limit_per_s
        return self.return_limits.apply(process, stated_per_s)

    def find_lowest_limit_per_s(
        self, process: UpstreamProcess, now: Instant
    ) -> float | None:
        """Return the lower of the limits that it states and that it has while cold."""
        limits = [
            self.find_limit_per_s(process),
            self.cold.find_limit_per_s(process, now),
        ]
        return min((limit for limit in limits if limit is not None), default=None)

    def is_leaving(self, process: UpstreamProcess) -> bool:
        """Return whether an upstream has said that it is about to end."""
        notice = self._notices.get(process)
        return notice is not None and notice.leaving

    def make_report(self, process: UpstreamProcess, now: Instant) -> NoticeReport:
        """Return what peers are told of an upstream."""
        upstream, started_ms = process
        # One that has stated nothing must not be taken for one that ends a limit.
        notice = self._notices.get(
            process, _Notice(changed_ms=now.mono_ms - RETENTION_MS)
        )
        limit_per_s = NO_LIMIT if notice.limit_per_s is None else notice.limit_per_s
        age_ms = now.mono_ms - (notice.limit_ms or notice.changed_ms)
        return str(upstream), started_ms, limit_per_s, notice.leaving, age_ms

    def list_reports(self, now: Instant) -> list[NoticeReport]:
        """Return what peers are told: limits, their ends, and who leaves."""
        self._notices = {
            process: notice
            for process, notice in self._notices.items()
            if now.mono_ms - notice.last_ms < RETENTION_MS
        }
        reports = [
            self.make_report(process, now)
            for process, notice in self._notices.items()
            if notice.limit_per_s is not None
            or now.mono_ms - notice.changed_ms < SHARING_MS
        ]
        return sorted(reports, key=lambda report: report[-1])[:MAX_SHARED]

    def update_from_peer(self, reports: list[NoticeReport], now: Instant) -> None:
        """Record a peer's reports; of two statements on a limit the newer one holds."""
        for name, started_ms, limit_per_s, leaving, age_ms in reports:
            process = (UpstreamId(name), started_ms)
            stated_ms = now.mono_ms - age_ms
            limit = None if limit_per_s == NO_LIMIT else limit_per_s
            known = self._notices.get(process, _Notice())
            is_newer = (
                known.limit_ms is None
                or stated_ms > known.limit_ms + REPORT_TOLERANCE_MS
            )
            if is_newer and (limit is not None or known.limit_per_s is not None):
                self._set_limit(process, limit, stated_ms, now)
            if leaving:
                self._set_leaving(process, now)
