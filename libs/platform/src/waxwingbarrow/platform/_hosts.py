"""Interface of the host list, its HTTP client and its poller."""

import asyncio
import enum
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    Clock,
    DataCentre,
    FieldInvalid,
    HostId,
    Instant,
    ServiceName,
    VersionName,
    Zone,
    in_range,
    matches,
)
from waxwingbarrow.platform._backoff import Backoff
from waxwingbarrow.platform._failures import ReadFailure
from waxwingbarrow.platform._http import HttpSession
from waxwingbarrow.platform._responses import parse_response, read_known_fields

logger = logging.getLogger(__name__)


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """One entry of the host list.

    Parameters
    ----------
    host : HostId
        Id of the host.
    address : str
        Address as ``host:port``.
    data_centre, zone : str
        Location of the host.
    kind : str
        Kind of host, such as ``engine``.
    service, version : str
        Service and version that it runs; empty for none.
    state : HostState
        Whether the host stays (live) or is being removed (leaving).
    leave_by_ms : int or None
        Wall-clock time by which the host is gone, in milliseconds since the Unix epoch,
        if known.
    checks_fencing : bool
        Whether the host rejects orders with an outdated fencing token.
    price_per_hour : float
        Price of one hour of the host.
    incarnation : str
        Current incarnation of the host, in the form of ``core.Incarnation``.
    """

    host: HostId
    address: str
    data_centre: DataCentre
    zone: Zone
    kind: str
    service: ServiceName = ServiceName("")
    version: VersionName = VersionName("")
    state: HostState = HostState.LIVE
    leave_by_ms: int | None = None
    checks_fencing: bool = False
    price_per_hour: float = attrs.field(default=0.0, validator=in_range(0, 1e6))
    incarnation: str = attrs.field(
        default="0-0", validator=matches(r"\d+-\d+", "two numbers joined by a hyphen")
    )


@attrs.frozen
class HostList:
    """Snapshot of the platform's hosts.

    Parameters
    ----------
    as_of_ms : int
        Time of the snapshot on the platform's wall clock, in milliseconds since the
        Unix epoch.
    hosts : tuple of Host
        Hosts that could be parsed.
    malformed : int
        Number of hosts left out because they could not be parsed.
    """

    as_of_ms: int
    hosts: tuple[Host, ...]
    malformed: int = 0


class HostListClient(Protocol):
    """List of live and leaving hosts; it lags behind their actual state."""

    async def read(self) -> Result[HostList, ReadFailure]:
        """Read the whole list."""
        ...


class HttpHostListClient:
    """Host list client over HTTP.

    Parameters
    ----------
    session : HttpSession
        HTTP session with the connection pool.
    address : str
        Address of the platform as ``host:port``.
    timeout_ms : int
        Time limit of one exchange.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._url = f"http://{address}/v1/hosts"
        self._timeout_ms = timeout_ms

    async def read(self) -> Result[HostList, ReadFailure]:
        """Read the whole list."""
        result = await self._session.request(
            "GET", self._url, timeout_ms=self._timeout_ms
        )
        return parse_response(result, _parse_list)


@attrs.frozen
class _Envelope:
    as_of_ms: int
    hosts: list[Any]


def _parse_list(data: dict[str, Any]) -> Result[HostList, FieldInvalid]:
    match read_known_fields(data, _Envelope, "hosts"):
        case Ok(envelope):
            read = [read_known_fields(item, Host, "hosts") for item in envelope.hosts]
            # One malformed host must not hide the others.
            hosts = tuple(item.unwrap() for item in read if item.is_ok())
            return Ok(HostList(envelope.as_of_ms, hosts, len(read) - len(hosts)))
        case Err(invalid):
            return Err(invalid)


@attrs.frozen
class PollPolicy:
    """Interval and retry delays of a poller.

    Parameters
    ----------
    interval_ms : int
        Time between two polls, before jitter.
    retry_first_ms, retry_max_ms : int
        First and longest delay after a failed poll, before jitter.
    """

    interval_ms: int = 2_000
    retry_first_ms: int = 500
    retry_max_ms: int = 10_000


class HostPoller:
    """Polls the host list at a bounded rate.

    Parameters
    ----------
    client : HostListClient
        Client of the host list.
    on_hosts : callable
        Called with each list that is newer than the previous one.
    clock : Clock
        Clock for the times of polls.
    rng : random.Random
        Random source for the jitter of intervals and delays.
    policy : PollPolicy or None
        Interval and delays; the defaults if None.
    """

    def __init__(
        self,
        client: HostListClient,
        on_hosts: Callable[[HostList], None],
        clock: Clock,
        rng: random.Random,
        policy: PollPolicy | None = None,
    ) -> None:
        self._client = client
        self._on_hosts = on_hosts
        self._clock = clock
        self._rng = rng
        self._policy = policy or PollPolicy()
        self._as_of_ms = -1
        self._last_read: Instant | None = None
        self._last_failure: ReadFailure | None = None

    @property
    def last_read(self) -> Instant | None:
        """Start time of the last successful poll, or None before the first."""
        return self._last_read

    @property
    def last_failure(self) -> ReadFailure | None:
        """Failure of the last poll, or None if it succeeded."""
        return self._last_failure

    async def run(self) -> None:
        """Poll until cancelled."""
        policy = self._policy
        backoff = Backoff(self._rng, policy.retry_first_ms, policy.retry_max_ms)
        while True:
            started = self._clock.now()
            match await self._client.read():
                case Ok(hosts):
                    backoff.reset()
                    self._last_read, self._last_failure = started, None
                    self._handle_list(hosts)
                    jitter = self._rng.uniform(0.8, 1.2)
                    await asyncio.sleep(policy.interval_ms * jitter / 1000)
                case Err(failure):
                    if self._last_failure is None:
                        logger.warning("hosts: %s", failure.detail)
                    self._last_failure = failure
                    retry_after_s = getattr(failure, "retry_after_s", None) or 0
                    await asyncio.sleep(max(backoff.next_delay_s(), retry_after_s))

    def _handle_list(self, hosts: HostList) -> None:
        # Replicas of the host list lag by different amounts, so a poll may return an
        # older list than the one before.
        if hosts.as_of_ms <= self._as_of_ms:
            return
        if hosts.malformed:
            logger.warning(
                "hosts: Ignored %d malformed hosts of the host list.", hosts.malformed
            )
        self._as_of_ms = hosts.as_of_ms
        self._on_hosts(hosts)
