"""Upstreams that this host knows, with their load and health."""

from collections.abc import Iterable

import attrs

from waxwingbarrow.core import (
    DataCentre,
    Incarnation,
    Instant,
    ServiceName,
    UpstreamId,
    VersionName,
    Zone,
)
from waxwingbarrow.daemon._gossip import UpstreamProcess
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.routing import (
    HealthPolicy,
    HealthRegistry,
    HealthState,
    LeavingSource,
    UpstreamView,
)

# An upstream that the lagging list no longer shows is kept for a while: a list read
# from a lagging replica may lack it.
FORGET_AFTER_MS = 30_000
# Older load says nothing about the present; only this host's own requests count then.
STALE_LOAD_MS = 10_000

logger = get_logger("fleet")


@attrs.frozen(kw_only=True)
class ListedUpstream:
    """An upstream as the platform's host list shows it."""

    upstream: UpstreamId
    incarnation: Incarnation
    service: ServiceName
    version: VersionName
    address: str
    data_centre: DataCentre
    zone: Zone
    price_per_hour: float
    checks_fencing: bool
    leaving: bool
    leave_by_ms: int | None = None


@attrs.frozen
class LoadReport:
    """Load as an upstream last reported it.

    Parameters
    ----------
    in_flight : int
        Requests that run or wait at the upstream, from all entry hosts.
    """

    in_flight: int
    queued_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_limit: int
    reported_at: Instant


@attrs.define
class _Upstream:
    listed: ListedUpstream
    listed_at: Instant
    load: LoadReport | None = None
    own_in_flight: int = 0
    sent_since_report: int = 0
    queued_since_report: int = 0
    sent_order: int = 0


class Fleet:
    """All upstreams, from the host list, from answers and from other hosts.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds of upstream health.
    """

    def __init__(self, policy: HealthPolicy) -> None:
        self._health = HealthRegistry(policy)
        self._upstreams: dict[UpstreamId, _Upstream] = {}
        self._sent = 0
        self._leaving: set[UpstreamProcess] = set()
        self._leave_by_ms: dict[UpstreamProcess, int] = {}

    def update_list(self, listed: Iterable[ListedUpstream], now: Instant) -> None:
        """Take over the platform's list; a lower incarnation is not believed."""
        for item in listed:
            known = self._upstreams.get(item.upstream)
            if known is None or known.listed.incarnation < item.incarnation:
                self._upstreams[item.upstream] = _Upstream(item, now)
                logger.info("%s serves %s.", item.upstream, item.service)
            elif known.listed.incarnation == item.incarnation:
                known.listed = item
                known.listed_at = now
            else:
                continue
            if item.leaving:
                self.report_leaving(
                    item.upstream,
                    item.incarnation,
                    LeavingSource.HOST_LIST,
                    item.leave_by_ms,
                )
        self._forget_unlisted(now)

    def report_leaving(
        self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        source: LeavingSource,
        leave_by_ms: int | None = None,
    ) -> bool:
        """Send no new work to an upstream from now on.

        Parameters
        ----------
        leave_by_ms : int or None
            Wall time by which it is gone, if announced; the earliest one counts.

        Returns
        -------
        bool
            Whether this was news.
        """
        self._health.report_leaving(upstream, incarnation, source)
        process = UpstreamProcess(upstream, incarnation)
        if leave_by_ms is not None:
            known_ms = self._leave_by_ms.get(process, leave_by_ms)
            self._leave_by_ms[process] = min(known_ms, leave_by_ms)
        if process in self._leaving:
            return False
        self._leaving.add(process)
        logger.info("%s is leaving, reported by %s.", upstream, source)
        return True

    def learn_leaving(self, processes: Iterable[UpstreamProcess]) -> None:
        """Take over what another host knows about leaving upstreams."""
        for process in processes:
            self._health.report_leaving(
                process.upstream, process.incarnation, LeavingSource.GOSSIP
            )

    def measure_left_ms(self, view: UpstreamView, now: Instant) -> int | None:
        """Return the time until an upstream is gone; None if none was announced."""
        process = UpstreamProcess(view.upstream, view.incarnation)
        leave_by_ms = self._leave_by_ms.get(process)
        return None if leave_by_ms is None else leave_by_ms - now.wall_ms

    def list_leaving(self) -> tuple[UpstreamProcess, ...]:
        """Return the upstreams that this host itself saw leaving."""
        return tuple(self._leaving)

    def drain(self, upstream: UpstreamId) -> bool:
        """Apply an operator's order to send no new work; return whether it is known."""
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        self.report_leaving(upstream, known.listed.incarnation, LeavingSource.OPERATOR)
        return True

    def list_views(self, service: ServiceName, now: Instant) -> list[UpstreamView]:
        """Return the upstreams of a service."""
        return [
            self._make_view(item, now)
            for item in self._upstreams.values()
            if item.listed.service == service
        ]

    def list_all(self, now: Instant) -> list[UpstreamView]:
        """Return all upstreams."""
        return [self._make_view(item, now) for item in self._upstreams.values()]

    def find(self, upstream: UpstreamId, now: Instant) -> UpstreamView | None:
        """Return one upstream."""
        known = self._upstreams.get(upstream)
        return self._make_view(known, now) if known is not None else None

    def start(self, view: UpstreamView, queued_tokens: int) -> None:
        """Note that this host sends a request."""
        known = self._find_process(view)
        if known is not None:
            known.own_in_flight += 1
            known.sent_since_report += 1
            self._sent += 1
            known.sent_order = self._sent
            known.queued_since_report += queued_tokens

    def start_answer(self, view: UpstreamView, queued_tokens: int) -> None:
        """Note that the upstream has processed a prompt."""
        known = self._find_process(view)
        if known is not None:
            known.queued_since_report = max(
                0, known.queued_since_report - queued_tokens
            )

    def finish(self, view: UpstreamView, succeeded: bool | None, now: Instant) -> None:
        """Note that a request has ended; None if it says nothing about health."""
        known = self._find_process(view)
        if known is not None:
            known.own_in_flight = max(0, known.own_in_flight - 1)
        if succeeded is not None:
            self._health.record(view.upstream, view.incarnation, succeeded, now)

    def report_load(
        self, upstream: UpstreamId, incarnation: Incarnation, load: LoadReport
    ) -> None:
        """Take over a load report that came with an answer or a read."""
        known = self._upstreams.get(upstream)
        if known is None or known.listed.incarnation != incarnation:
            return
        known.load = load
        known.sent_since_report = 0
        known.queued_since_report = 0

    def list_stale(self, max_age_ms: int, now: Instant) -> list[UpstreamView]:
        """Return the upstreams whose load report is older than `max_age_ms`."""
        return [
            self._make_view(item, now)
            for item in self._upstreams.values()
            if item.load is None
            or now.mono_ms - item.load.reported_at.mono_ms > max_age_ms
        ]

    def _find_process(self, view: UpstreamView) -> _Upstream | None:
        known = self._upstreams.get(view.upstream)
        if known is None or known.listed.incarnation != view.incarnation:
            return None
        return known

    def _make_view(self, item: _Upstream, now: Instant) -> UpstreamView:
        listed, load = item.listed, item.load
        state = self._health.judge(listed.upstream, listed.incarnation, now)
        view = UpstreamView(
            upstream=listed.upstream,
            service=listed.service,
            version=listed.version,
            address=listed.address,
            data_centre=listed.data_centre,
            zone=listed.zone,
            price_per_hour=listed.price_per_hour,
            checks_fencing=listed.checks_fencing,
            leaving=state is HealthState.LEAVING,
            incarnation=listed.incarnation,
            in_flight=item.own_in_flight,
            own_queued_tokens=item.queued_since_report,
            own_sent_order=item.sent_order,
            suspicion=state,
        )
        if load is None or now.mono_ms - load.reported_at.mono_ms > STALE_LOAD_MS:
            return view
        return attrs.evolve(
            view,
            in_flight=max(item.own_in_flight, load.in_flight + item.sent_since_report),
            queued_tokens=load.queued_tokens,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            decode_tokens_per_s=load.decode_tokens_per_s,
            batch_limit=load.batch_limit,
            load_reported_at=load.reported_at,
        )

    def _forget_unlisted(self, now: Instant) -> None:
        for upstream, known in tuple(self._upstreams.items()):
            silent_ms = now.mono_ms - known.listed_at.mono_ms
            if silent_ms > FORGET_AFTER_MS and known.own_in_flight == 0:
                del self._upstreams[upstream]
                self._health.forget(upstream)
                process = UpstreamProcess(upstream, known.listed.incarnation)
                self._leaving.discard(process)
                self._leave_by_ms.pop(process, None)
