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

# An upstream that is missing from the host list is kept for this time, since a list
# that was read from a lagging replica may lack it.
UNLISTED_RETENTION_MS = 30_000
# An older load report is ignored and only this host's own requests are counted.
MAX_LOAD_AGE_MS = 10_000

logger = get_logger("fleet")


@attrs.frozen(kw_only=True)
class ListedUpstream:
    """An upstream as the platform's host list shows it.

    Parameters
    ----------
    checks_fencing : bool
        Whether the upstream rejects orders with an outdated fencing number.
    leave_by_ms : int or None
        Wall time in milliseconds by which the upstream will be gone, if announced.
    """

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
    """Load that an upstream last reported.

    Parameters
    ----------
    in_flight : int
        Requests in the running batch, from all entry hosts.
    queued_tokens : int
        Prompt tokens that wait for prefill.
    batch_limit : int
        Largest batch of the upstream, in requests.
    """

    in_flight: int
    queued_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_limit: int
    reported_at: Instant


@attrs.define
class _UpstreamEntry:
    """An upstream with its last load report and the requests of this host.

    Parameters
    ----------
    listed_at : Instant
        When the upstream was last in the host list.
    own_in_flight : int
        Requests of this host that run at the upstream.
    sent_order : int
        Number of the last request that this host sent to the upstream, counted over
        all upstreams; 0 if it sent none.
    """

    listed: ListedUpstream
    listed_at: Instant
    load: LoadReport | None = None
    own_in_flight: int = 0
    requests_since_report: int = 0
    queued_tokens_since_report: int = 0
    sent_order: int = 0


class Fleet:
    """All upstreams of the host list, with load and health from answers and gossip.

    Parameters
    ----------
    policy : HealthPolicy
        Thresholds of upstream health.
    """

    def __init__(self, policy: HealthPolicy) -> None:
        self._health = HealthRegistry(policy)
        self._upstreams: dict[UpstreamId, _UpstreamEntry] = {}
        self._sent_count = 0
        self._leaving: set[UpstreamProcess] = set()
        self._leave_by_ms: dict[UpstreamProcess, int] = {}

    def update_list(self, listed: Iterable[ListedUpstream], now: Instant) -> None:
        """Merge the platform's host list; a lower incarnation than known is ignored."""
        for item in listed:
            known = self._upstreams.get(item.upstream)
            if known is None or known.listed.incarnation < item.incarnation:
                self._upstreams[item.upstream] = _UpstreamEntry(item, now)
                logger.info(
                    "Found upstream %s of service %s in the host list.",
                    item.upstream,
                    item.service,
                )
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
            Wall time in milliseconds by which the upstream will be gone, if announced;
            of several announcements the earliest counts.

        Returns
        -------
        bool
            Whether this host did not know yet that the upstream is leaving.
        """
        self._health.report_leaving(upstream, incarnation, source)
        process = UpstreamProcess(upstream, incarnation)
        if leave_by_ms is not None:
            known_ms = self._leave_by_ms.get(process, leave_by_ms)
            self._leave_by_ms[process] = min(known_ms, leave_by_ms)
        if process in self._leaving:
            return False
        self._leaving.add(process)
        logger.info("Upstream %s is leaving, reported by %s.", upstream, source)
        return True

    def learn_leaving(self, processes: Iterable[UpstreamProcess]) -> None:
        """Mark upstreams as leaving that another host has reported by gossip."""
        for process in processes:
            self._health.report_leaving(
                process.upstream, process.incarnation, LeavingSource.GOSSIP
            )

    def compute_time_left_ms(self, view: UpstreamView, now: Instant) -> int | None:
        """Return the time until an upstream is gone; None if no time was announced."""
        process = UpstreamProcess(view.upstream, view.incarnation)
        leave_by_ms = self._leave_by_ms.get(process)
        return None if leave_by_ms is None else leave_by_ms - now.wall_ms

    def list_leaving(self) -> tuple[UpstreamProcess, ...]:
        """Return the leaving upstreams that this host learned of without gossip."""
        return tuple(self._leaving)

    def drain(self, upstream: UpstreamId) -> bool:
        """Send an upstream no new work from now on, as an operator ordered.

        Returns
        -------
        bool
            Whether the upstream is known.
        """
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
        """Count a request that this host sends to an upstream.

        Parameters
        ----------
        queued_tokens : int
            Tokens of the prompt, which wait for prefill until
            `record_prompt_processed`.
        """
        known = self._find_process(view)
        if known is not None:
            known.own_in_flight += 1
            known.requests_since_report += 1
            self._sent_count += 1
            known.sent_order = self._sent_count
            known.queued_tokens_since_report += queued_tokens

    def record_prompt_processed(self, view: UpstreamView, queued_tokens: int) -> None:
        """Record that the upstream has processed a prompt and begun its answer."""
        known = self._find_process(view)
        if known is not None:
            known.queued_tokens_since_report = max(
                0, known.queued_tokens_since_report - queued_tokens
            )

    def finish(self, view: UpstreamView, succeeded: bool | None, now: Instant) -> None:
        """Count a request as ended and record its result for the upstream's health.

        Parameters
        ----------
        succeeded : bool or None
            Whether the upstream served the request; None if the end says nothing about
            the upstream's health.
        """
        known = self._find_process(view)
        if known is not None:
            known.own_in_flight = max(0, known.own_in_flight - 1)
        if succeeded is not None:
            self._health.record(view.upstream, view.incarnation, succeeded, now)

    def report_load(
        self, upstream: UpstreamId, incarnation: Incarnation, load: LoadReport
    ) -> None:
        """Store a load report that came with an answer or was read separately.

        The counts of requests sent since the last report start again from zero.
        """
        known = self._upstreams.get(upstream)
        if known is None or known.listed.incarnation != incarnation:
            return
        known.load = load
        known.requests_since_report = 0
        known.queued_tokens_since_report = 0

    def list_with_stale_load(self, max_age_ms: int, now: Instant) -> list[UpstreamView]:
        """Return the upstreams with no load report or one older than `max_age_ms`."""
        return [
            self._make_view(item, now)
            for item in self._upstreams.values()
            if item.load is None
            or now.mono_ms - item.load.reported_at.mono_ms > max_age_ms
        ]

    def _find_process(self, view: UpstreamView) -> _UpstreamEntry | None:
        known = self._upstreams.get(view.upstream)
        if known is None or known.listed.incarnation != view.incarnation:
            return None
        return known

    def _make_view(self, item: _UpstreamEntry, now: Instant) -> UpstreamView:
        listed, load = item.listed, item.load
        state = self._health.get_state(listed.upstream, listed.incarnation, now)
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
            own_queued_tokens=item.queued_tokens_since_report,
            own_sent_order=item.sent_order,
            health_state=state,
        )
        if load is None or now.mono_ms - load.reported_at.mono_ms > MAX_LOAD_AGE_MS:
            return view
        return attrs.evolve(
            view,
            in_flight=max(
                item.own_in_flight, load.in_flight + item.requests_since_report
            ),
            queued_tokens=load.queued_tokens,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            decode_tokens_per_s=load.decode_tokens_per_s,
            batch_limit=load.batch_limit,
            load_reported_at=load.reported_at,
        )

    def _forget_unlisted(self, now: Instant) -> None:
        for upstream, known in tuple(self._upstreams.items()):
            unlisted_ms = now.mono_ms - known.listed_at.mono_ms
            if unlisted_ms > UNLISTED_RETENTION_MS and known.own_in_flight == 0:
                del self._upstreams[upstream]
                self._health.forget(upstream)
                process = UpstreamProcess(upstream, known.listed.incarnation)
                self._leaving.discard(process)
                self._leave_by_ms.pop(process, None)
