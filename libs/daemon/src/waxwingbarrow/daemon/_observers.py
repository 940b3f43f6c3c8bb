"""Observation of the platform's host list, reclaim notices and idle upstreams."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from waxwingbarrow.core import Clock, Incarnation
from waxwingbarrow.daemon._dispatch import make_address, make_load
from waxwingbarrow.daemon._fleet import Fleet, ListedUpstream
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.platform import (
    CloudClient,
    HostListClient,
    HttpCloudClient,
    HttpHostListClient,
    HttpSession,
    ListedHost,
    ReclaimNotice,
)
from waxwingbarrow.routing import LeavingSource, UpstreamView
from waxwingbarrow.upstreams import EngineClient

NOTICE_INTERVAL_S = 0.5  # notices leave only seconds, so they are read often
LOAD_CHECK_INTERVAL_S = 0.25
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
    on_leaving : callable
        Called when an upstream was found to be leaving.
    """

    def __init__(
        self,
        settings: Settings,
        session: HttpSession,
        fleet: Fleet,
        engines: EngineClient,
        clock: Clock,
        on_leaving: Callable[[], None],
    ) -> None:
        platform = settings.platform
        self._hosts: HostListClient = HttpHostListClient(
            session, platform.hosts_address
        )
        self._cloud: CloudClient | None = None
        if platform.cloud_address is not None:
            self._cloud = HttpCloudClient(session, platform.cloud_address)
        self._settings = settings
        self._fleet = fleet
        self._engines = engines
        self._clock = clock
        self._on_leaving = on_leaving
        self._next_notice = 0
        self._reads = asyncio.Semaphore(MAX_LOAD_READS)
        # Whether the host list was read since the start. Without it the host has no
        # upstream to route to.
        self.has_list = False

    async def run(self) -> None:
        """Observe until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_hosts(), name="host-list")
            group.create_task(self._watch_load(), name="load")
            if self._cloud is not None:
                group.create_task(self._watch_notices(self._cloud), name="notices")

    async def _watch_hosts(self) -> None:
        interval_s = self._settings.host_list_interval_ms / 1000
        was_readable = True
        while True:
            match await self._hosts.list_hosts():
                case Ok(listed):
                    self._take_hosts(listed.hosts)
                    self.has_list = was_readable = True
                case Err(failure):
                    if was_readable:
                        logger.warning("The host list is unreadable: %s", failure)
                    was_readable = False
            await asyncio.sleep(interval_s)

    def _take_hosts(self, hosts: tuple[ListedHost, ...]) -> None:
        before = self._fleet.list_leaving()
        upstreams = (_to_upstream(host) for host in hosts if host.service)
        self._fleet.update_list(upstreams, self._clock.now())
        if self._fleet.list_leaving() != before:
            self._on_leaving()

    async def _watch_notices(self, cloud: CloudClient) -> None:
        while True:
            match await cloud.read_notices(self._next_notice):
                case Ok(page):
                    self._next_notice = page.next_number
                    for notice in page.notices:
                        self._take_notice(notice)
                case Err():
                    pass
            await asyncio.sleep(NOTICE_INTERVAL_S)

    def _take_notice(self, notice: ReclaimNotice) -> None:
        view = self._fleet.find(notice.host, self._clock.now())
        if view is None:
            return
        source = LeavingSource.NOTICE
        if self._fleet.report_leaving(view.upstream, view.incarnation, source):
            self._on_leaving()

    async def _watch_load(self) -> None:
        """Read the load of engines that no answer has reported for a while."""
        while True:
            await asyncio.sleep(LOAD_CHECK_INTERVAL_S)
            stale = self._fleet.list_stale(
                self._settings.load_interval_ms, self._clock.now()
            )
            await asyncio.gather(*(self._read_load(view) for view in stale))

    async def _read_load(self, view: UpstreamView) -> None:
        async with self._reads:
            load = await self._engines.load(make_address(view))
        if isinstance(load, Ok):
            report = make_load(load.ok_value, self._clock.now())
            self._fleet.report_load(view.upstream, view.incarnation, report)


def _to_upstream(host: ListedHost) -> ListedUpstream:
    return ListedUpstream(
        upstream=host.host,
        incarnation=Incarnation.parse(host.incarnation),
        service=host.service,
        version=host.version,
        address=host.address,
        data_centre=host.data_centre,
        zone=host.zone,
        price_per_hour=host.price_per_hour,
        checks_fencing=host.checks_fencing,
        leaving=host.state == "leaving",
    )
