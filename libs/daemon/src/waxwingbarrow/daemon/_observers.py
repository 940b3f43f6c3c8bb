"""Observation of the platform's host list, reclaim notices and idle upstreams."""

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
from waxwingbarrow.daemon._dispatch import make_address, make_load
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
    Notice,
    PollPolicy,
)
from waxwingbarrow.routing import LeavingSource, UpstreamView
from waxwingbarrow.upstreams import EngineClient

NOTICE_INTERVAL_S = (
    1.0  # notices leave only seconds; a shorter one shows in the idle cost
)
LOAD_CHECK_INTERVAL_S = 0.5
MAX_EARLY_NOTICES = 4_096  # bounds what is kept for hosts that are never listed
MAX_LOAD_READS = 16  # at the same time, so that many idle upstreams cause no burst

logger = get_logger("observer")


class FleetObserver:
    """Keeps the fleet up to date from the platform and from idle upstreams.

    Parameters
    ----------
    settings : Settings
        Addresses and intervals.
    session : HttpSession
        Connections to the platform.
    fleet : Fleet
        What is observed.
    engines : EngineClient
        Connections to model engines.
    clock : Clock
        Source of the present time.
    rng : random.Random
        Jitter of polls.
    on_leaving : callable
        Called when an upstream was found to be leaving.
    is_model : callable
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
        is_model: Callable[[ServiceName], bool],
    ) -> None:
        platform = settings.platform
        self._poller = HostPoller(
            HttpHostListClient(session, platform.hosts_address),
            self._take_hosts,
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
        self._is_model = is_model
        self._next_notice = 0
        self._early_notices: dict[UpstreamId, Notice] = {}
        self._reads = asyncio.Semaphore(MAX_LOAD_READS)

    @property
    def has_list(self) -> bool:
        """Whether the host list was read since the start.

        Without it the host has no upstream to route to.
        """
        return self._poller.last_read is not None

    async def run(self) -> None:
        """Observe until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poller.run(), name="host-list")
            group.create_task(self._watch_load(), name="load")
            if self._cloud is not None:
                group.create_task(self._watch_notices(self._cloud), name="notices")

    def _take_hosts(self, listed: HostList) -> None:
        before = self._fleet.list_leaving()
        upstreams = (_to_upstream(host) for host in listed.hosts if host.service)
        self._fleet.update_list(upstreams, self._clock.now())
        for notice in tuple(self._early_notices.values()):
            self._take_notice(notice)
        if self._fleet.list_leaving() != before:
            self._on_leaving()

    async def _watch_notices(self, cloud: CloudClient) -> None:
        while True:
            match await cloud.read_notices(self._next_notice):
                case Ok(page):
                    self._next_notice = page.next
                    for notice in page.notices:
                        self._take_notice(notice)
                case Err():
                    pass
            await asyncio.sleep(NOTICE_INTERVAL_S)

    def _take_notice(self, notice: Notice) -> None:
        upstream = UpstreamId(notice.host)
        view = self._fleet.find(upstream, self._clock.now())
        incarnation = _read_incarnation(notice)
        if incarnation is None and view is None:
            # The list lags: the notice counts as soon as the upstream is listed.
            self._early_notices[upstream] = notice
            if len(self._early_notices) > MAX_EARLY_NOTICES:
                del self._early_notices[next(iter(self._early_notices))]
            return
        self._early_notices.pop(upstream, None)
        if incarnation is None:
            assert view is not None
            incarnation = view.incarnation
        source = LeavingSource.NOTICE
        if self._fleet.report_leaving(
            upstream, incarnation, source, notice.leave_by_ms
        ):
            self._on_leaving()

    async def _watch_load(self) -> None:
        """Read the load of engines that no answer has reported for a while."""
        while True:
            await asyncio.sleep(LOAD_CHECK_INTERVAL_S)
            stale = self._fleet.list_stale(
                self._settings.load_interval_ms, self._clock.now()
            )
            engines = (view for view in stale if self._is_model(view.service))
            await asyncio.gather(*(self._read_load(view) for view in engines))

    async def _read_load(self, view: UpstreamView) -> None:
        async with self._reads:
            load = await self._engines.load(make_address(view))
        if isinstance(load, Ok):
            report = make_load(load.ok_value, self._clock.now())
            self._fleet.report_load(view.upstream, view.incarnation, report)


def _read_incarnation(notice: Notice) -> Incarnation | None:
    """Return the run that a notice names; None if it names none that can be read."""
    if not notice.incarnation:
        return None
    try:
        return Incarnation.parse(notice.incarnation)
    except ValueError:
        logger.warning("The notice for %s names a malformed run.", notice.host)
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
