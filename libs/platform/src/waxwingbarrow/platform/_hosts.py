"""Interface of the host list, its HTTP client and its poll."""

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
from waxwingbarrow.platform._answers import read_answer, read_known
from waxwingbarrow.platform._backoff import Backoff
from waxwingbarrow.platform._failures import ReadFailure
from waxwingbarrow.platform._http import HttpSession

logger = logging.getLogger(__name__)


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """One host of the list.

    Parameters
    ----------
    host : HostId
        Identity.
    address : str
        Host and port.
    data_centre, zone : str
        Where it is.
    kind : str
        Kind of host, such as ``engine``.
    service, version : str
        What it runs; empty for none.
    state : HostState
        Whether it is leaving.
    leave_by_ms : int or None
        Wall time by which it is gone, if known.
    checks_fencing : bool
        Whether it refuses orders with an old fencing token.
    price_per_hour : float
        Price.
    incarnation : str
        Identity of its present run, in the form of ``core.Incarnation``.
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
    """Hosts as the platform saw them.

    Parameters
    ----------
    as_of_ms : int
        Wall time of the platform at which the list was true.
    hosts : tuple of Host
        All hosts that are well-formed.
    malformed : int
        Number of hosts that could not be read.
    """

    as_of_ms: int
    hosts: tuple[Host, ...]
    malformed: int = 0


class HostListClient(Protocol):
    """List of live and leaving hosts; it lags."""

    async def read(self) -> Result[HostList, ReadFailure]:
        """Read the whole list."""
        ...


class HttpHostListClient:
    """Host list client over HTTP.

    Parameters
    ----------
    session : HttpSession
        Connections to use.
    address : str
        Host and port of the platform.
    timeout_ms : int
        Limit for one exchange.
    """

    def __init__(
        self, session: HttpSession, address: str, timeout_ms: int = 2_000
    ) -> None:
        self._session = session
        self._url = f"http://{address}/v1/hosts"
        self._timeout_ms = timeout_ms

    async def read(self) -> Result[HostList, ReadFailure]:
        """Read the whole list."""
        answer = await self._session.request(
            "GET", self._url, timeout_ms=self._timeout_ms
        )
        return read_answer(answer, _parse_list)


@attrs.frozen
class _Envelope:
    as_of_ms: int
    hosts: list[Any]


def _parse_list(data: dict[str, Any]) -> Result[HostList, FieldInvalid]:
    match read_known(data, _Envelope, "hosts"):
        case Ok(envelope):
            read = [read_known(item, Host, "hosts") for item in envelope.hosts]
            # One malformed host must not hide the others.
            hosts = tuple(item.unwrap() for item in read if item.is_ok())
            return Ok(HostList(envelope.as_of_ms, hosts, len(read) - len(hosts)))
        case Err(invalid):
            return Err(invalid)


@attrs.frozen
class PollPolicy:
    """Times of the poll.

    Parameters
    ----------
    interval_ms : int
        Between two polls, before jitter.
    retry_first_ms, retry_max_ms : int
        Bounds of the delay after a failed poll.
    """

    interval_ms: int = 2_000
    retry_first_ms: int = 500
    retry_max_ms: int = 10_000


class HostPoller:
    """Reads the host list at a bounded rate.

    Parameters
    ----------
    client : HostListClient
        The host list.
    on_hosts : callable
        Gets each list that is newer than the previous one.
    clock : Clock
        Source of the present time.
    rng : random.Random
        Source of the jitter.
    policy : PollPolicy
        Times.
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
        """Start of the last successful poll."""
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
                    self._take_list(hosts)
                    jitter = self._rng.uniform(0.8, 1.2)
                    await asyncio.sleep(policy.interval_ms * jitter / 1000)
                case Err(failure):
                    if self._last_failure is None:
                        logger.warning("hosts: %s", failure.detail)
                    self._last_failure = failure
                    retry_after_s = getattr(failure, "retry_after_s", None) or 0
                    await asyncio.sleep(max(backoff.next_delay_s(), retry_after_s))

    def _take_list(self, hosts: HostList) -> None:
        # Replicas of the host list lag by different amounts.
        if hosts.as_of_ms <= self._as_of_ms:
            return
        if hosts.malformed:
            logger.warning("hosts: %d hosts are malformed.", hosts.malformed)
        self._as_of_ms = hosts.as_of_ms
        self._on_hosts(hosts)
