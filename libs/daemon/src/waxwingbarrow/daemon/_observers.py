"""Polling of the platform's host list, of reclaim notices and of upstream load."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from waxwingbarrow.core import (
    Clock,
    Incarnation,
    ServiceName,
    UpstreamId,
)
from waxwingbarrow.daemon._dispatch import convert_load_report, make_address
from waxwingbarrow.daemon._fleet import Fleet, ListedUpstream
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.platform import (
    CloudClient,
    Host,
    HostList,
    HostPoller,
    HostState,
    HttpCloudClient,
    HttpHostListClient,
    HttpSession,
    PollPolicy,
    ReclaimNotice,
)
from waxwingbarrow.routing import LeavingSource, UpstreamView
from waxwingbarrow.upstreams import EngineClient

# A reclaim notice comes only seconds before the upstream is gone, so notices are read
# often. A shorter interval raises the CPU use of an idle host.
NOTICE_INTERVAL_S = 1.0
LOAD_CHECK_INTERVAL_S = 0.5
MAX_PENDING_NOTICES = 4_096  # bounds the memory for hosts that are never listed
MAX_LOAD_READS = 16  # concurrent reads, so that many idle upstreams cause no burst

logger = get_logger("observer")


class FleetObserver:
    """Updates the fleet from the platform and from idle upstreams.

    Parameters
    ----------
    settings : Settings
        Addresses and intervals.
    session : HttpSession
        Connections to the platform.
    fleet : Fleet
        Upstreams to update.
    engines : EngineClient
        Connections to model engines.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Randomness for the jitter of polls.
    on_leaving : callable
        Called when an upstream is newly known to be leaving.
    is_model_service : callable
        Whether a service is served by model engines, which report their load.
    """

    def __init__(
        self,
        settings: Settings,
        session: HttpSession,
        fleet: Fleet,
        engines: EngineClient,
        clock: Clock,
        rng: random.Random,
        on_leaving: Callable[[], None],
        is_model_service: Callable[[ServiceName], bool],
    ) -> None:
        platform = settings.platform
        self._poller = HostPoller(
            HttpHostListClient(session, platform.hosts_address),
            self._apply_host_list,
            clock,
            rng,
            PollPolicy(interval_ms=settings.host_list_interval_ms),
        )
        self._cloud: CloudClient | None = None
        if platform.cloud_address is not None:
            self._cloud = HttpCloudClient(session, platform.cloud_address)
        self._settings = settings
        self._fleet = fleet
        self._engines = engines
        self._clock = clock
        self._on_leaving = on_leaving
        self._is_model_service = is_model_service
        self._next_notice_number = 0
        # Notices about upstreams that the host list does not contain yet.
        self._pending_notices: dict[UpstreamId, ReclaimNotice] = {}
        self._load_read_slots = asyncio.Semaphore(MAX_LOAD_READS)

    @property
    def has_host_list(self) -> bool:
        """Whether the host list was read since the process started.

        Before that, the host knows no upstream to route to.
        """
        return self._poller.last_read is not None

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poller.run(), name="host-list")
            group.create_task(self._poll_stale_load(), name="load")
            if self._cloud is not None:
                group.create_task(self._poll_notices(self._cloud), name="notices")

    def _apply_host_list(self, listed: HostList) -> None:
        leaving_before = self._fleet.list_leaving()
        upstreams = (_to_upstream(host) for host in listed.hosts if host.service)
        self._fleet.update_list(upstreams, self._clock.now())
        for notice in tuple(self._pending_notices.values()):
            self._apply_notice(notice)
        if self._fleet.list_leaving() != leaving_before:
            self._on_leaving()

    async def _poll_notices(self, cloud: CloudClient) -> None:
        while True:
            match await cloud.read_notices(self._next_notice_number):
                case Ok(page):
                    self._next_notice_number = page.next
                    for notice in page.notices:
                        self._apply_notice(notice)
                case Err():
                    pass
            await asyncio.sleep(NOTICE_INTERVAL_S)

    def _apply_notice(self, notice: ReclaimNotice) -> None:
        upstream = UpstreamId(notice.host)
        view = self._fleet.find(upstream, self._clock.now())
        incarnation = _parse_incarnation(notice)
        if incarnation is None and view is None:
            # The host list lags behind the notices. The notice is applied when the
            # upstream is listed.
            self._pending_notices[upstream] = notice
            if len(self._pending_notices) > MAX_PENDING_NOTICES:
                del self._pending_notices[next(iter(self._pending_notices))]
            return
        self._pending_notices.pop(upstream, None)
        if incarnation is None:
            assert view is not None
            incarnation = view.incarnation
        source = LeavingSource.NOTICE
        if self._fleet.report_leaving(
            upstream, incarnation, source, notice.leave_by_ms
        ):
            self._on_leaving()

    async def _poll_stale_load(self) -> None:
        """Read the load of engines whose last report is too old.

        Answers of an engine carry its load, so only engines without recent answers are
        read.
        """
        while True:
            await asyncio.sleep(LOAD_CHECK_INTERVAL_S)
            stale = self._fleet.list_with_stale_load(
                self._settings.load_interval_ms, self._clock.now()
            )
            engines = (view for view in stale if self._is_model_service(view.service))
            await asyncio.gather(*(self._read_load(view) for view in engines))

    async def _read_load(self, view: UpstreamView) -> None:
        async with self._load_read_slots:
            load = await self._engines.load(make_address(view))
        if isinstance(load, Ok):
            report = convert_load_report(load.ok_value, self._clock.now())
            self._fleet.report_load(view.upstream, view.incarnation, report)


def _parse_incarnation(notice: ReclaimNotice) -> Incarnation | None:
    """Return the incarnation that a notice names; None if absent or malformed."""
    if not notice.incarnation:
        return None
    try:
        return Incarnation.parse(notice.incarnation)
    except ValueError:
        logger.warning(
            "The reclaim notice for upstream %s names a malformed incarnation.",
            notice.host,
        )
        return None


def _to_upstream(host: Host) -> ListedUpstream:
    return ListedUpstream(
        upstream=UpstreamId(host.host),
        incarnation=Incarnation.parse(host.incarnation),
        service=host.service,
        version=host.version,
        address=host.address,
        data_centre=host.data_centre,
        zone=host.zone,
        price_per_hour=host.price_per_hour,
        checks_fencing=host.checks_fencing,
        leaving=host.state is HostState.LEAVING,
        leave_by_ms=host.leave_by_ms,
    )
