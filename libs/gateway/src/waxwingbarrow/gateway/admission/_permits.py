"""Permits for requests to upstreams that limit the requests of all hosts together.

An even share of a limit is often less than one request in the time of a window, so
hosts cannot keep to a limit by themselves. One host, the keeper, counts for all: in a
large deployment the one that also decides on quotas, in a full mesh the first host in
the order of the relays. Before a request is sent to an upstream with a limit, its host
takes a permit there. Without an answer of a keeper a host keeps to its share of the
limit. Requests to cold upstreams are counted by the holder of the duties; see
`ColdHosts`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from waxwingbarrow.core import Clock, Instant, RateLimited, ServiceName
from waxwingbarrow.gateway.admission._cold_permits import ColdHosts, ColdPermits
from waxwingbarrow.gateway.admission._permit_keeper import MIN_RATE_PER_S, PermitKeeper
from waxwingbarrow.gateway.messages import MESSAGE_FORMAT, PermitReply, PermitRequest
from waxwingbarrow.gateway.upstreams import UpstreamNotices, UpstreamProcess

logger = logging.getLogger("waxwingbarrow.gateway.permits")

# An answer takes a few milliseconds; other upstreams can be tried meanwhile.
ANSWER_TIMEOUT_S = 0.08
# A host that did not answer as the keeper is not asked again for this long.
KEEPER_RETRY_MS = 1_000
# An upstream without a permit is not tried again for at least this long.
MIN_WAIT_MS = 50
# Fraction of a limit that hosts get elsewhere while the keeper does not answer them. It
# may still grant the whole limit to others.
STAND_IN_SHARE = 0.5
# Callers are not told to stay away longer because of those refused before them; a limit
# may have ended by then.
MAX_QUEUE_MS = 30_000
# A host asks this much later again for a cold upstream that the keeper does not know.
UNKNOWN_WAIT_MS = 250


class Permits:
    """Takes permits for this host's requests, and grants them as the keeper.

    Parameters
    ----------
    list_keepers : callable
        Returns the addresses of the hosts to ask, the best one first; "" is this host.
    send : callable
        Sends a message to a host's address.
    measure_permit_share : callable
        Returns the fraction of the limits that this host may grant as the keeper.
    count_hosts : callable
        Returns the number of hosts that share the limits.
    cold_hosts : ColdHosts or None
        The hosts that share what cold upstreams tolerate.
    """

    def __init__(
        self,
        notices: UpstreamNotices,
        clock: Clock,
        list_keepers: Callable[[Instant], list[str]],
        send: Callable[[PermitRequest, str], None],
        measure_permit_share: Callable[[Instant], float],
        count_hosts: Callable[[Instant], int],
        cold_hosts: ColdHosts | None = None,
    ) -> None:
        self._notices = notices
        self._clock = clock
        self._list_keepers = list_keepers
        self._send = send
        self._count_hosts = count_hosts
        self._cold_hosts = cold_hosts
        keeper_cold = own_cold = None
        if cold_hosts is not None:
            keeper_cold = ColdPermits(notices, cold_hosts.find_keeper_count)
            own_cold = ColdPermits(notices, cold_hosts.find_share_count)
        self.keeper = PermitKeeper(notices, measure_permit_share, keeper_cold)
        # Used while no keeper answers.
        self._own_share = PermitKeeper(
            notices, lambda now: STAND_IN_SHARE / count_hosts(now), own_cold
        )
        self._last_number = 0
        self._answers: dict[int, asyncio.Future[PermitReply]] = {}
        self._avoided_until_ms: dict[str, int] = {}
        # Monotonic time in ms at which the last refused caller of a service returns.
        self._last_return_ms: dict[ServiceName, float] = {}

    async def acquire(self, process: UpstreamProcess) -> bool:
        """Take a permit for one request to an upstream, if it needs one.

        Without a permit the upstream is deferred until one may be available.
        """
        if self._notices.find_lowest_limit_per_s(process, self._clock.now()) is None:
            return True
        is_cold = self.is_cold(process, self._clock.now())
        taken = await self._take(process)
        if is_cold and self._cold_hosts is not None:
            self._cold_hosts.count_permit(taken.is_ok())
        if isinstance(taken, Ok):
            return True
        wait_ms = round(1000 * (taken.err_value.retry_after_s or 0.0))
        now = self._clock.now()
        self._notices.record_permit_wait(process, max(wait_ms, MIN_WAIT_MS), now)
        return False

    def is_cold(self, process: UpstreamProcess, now: Instant) -> bool:
        """Return whether an upstream is cold."""
        return self._notices.cold.find_limit_per_s(process, now) is not None

    async def _take(self, process: UpstreamProcess) -> Result[None, RateLimited]:
        now = self._clock.now()
        list_keepers = self._list_keepers
        if self._cold_hosts is not None and self.is_cold(process, now):
            list_keepers = self._cold_hosts.list_keepers
        for address in list_keepers(now):
            if self._avoided_until_ms.get(address, 0) > now.mono_ms:
                continue
            if not address:
                self._own_share.reset()
                return self.keeper.take(process, now)
            reply = await self._ask(process, address)
            if reply is not None and reply.is_keeper:
                self._own_share.reset()
                if reply.granted:
                    return Ok(None)
                return Err(RateLimited(retry_after_s=reply.wait_ms / 1000))
            now = self._clock.now()
            self._avoided_until_ms[address] = now.mono_ms + KEEPER_RETRY_MS
        return self._take_of_own_share(process, now)

    def _take_of_own_share(
        self, process: UpstreamProcess, now: Instant
    ) -> Result[None, RateLimited]:
        """Take a permit without a keeper; the wait ends when one may answer again."""
        match self._own_share.take(process, now):
            case Err(RateLimited(retry_after_s=wait_s)):
                wait_s = min(wait_s or 0.0, KEEPER_RETRY_MS / 1000)
                return Err(RateLimited(retry_after_s=wait_s))
            case taken:
                return taken

    async def _ask(self, process: UpstreamProcess, address: str) -> PermitReply | None:
        self._last_number += 1
        number = self._last_number
        answer = asyncio.get_running_loop().create_future()
        self._answers[number] = answer
        now = self._clock.now()
        notice = self._notices.make_report(process, now)
        is_cold = self.is_cold(process, now)
        cold = self._notices.cold.make_report(process, now) if is_cold else None
        request = PermitRequest(
            MESSAGE_FORMAT, number, notice, [] if cold is None else [cold]
        )
        self._send(request, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answer
        except TimeoutError:
            logger.warning(
                "permit not granted in time",
                extra={"keeper": address, "upstream": process[0]},
            )
            return None
        finally:
            del self._answers[number]

    def handle_reply(self, reply: PermitReply) -> None:
        """Handle a keeper's answer; one that comes too late is ignored."""
        answer = self._answers.get(reply.number)
        if answer is not None and not answer.done():
            answer.set_result(reply)

    def answer(
        self, request: PermitRequest, is_keeper: bool, now: Instant
    ) -> PermitReply:
        """Return the answer to another host's request.

        Parameters
        ----------
        is_keeper : bool
            Whether this host is the keeper; otherwise it grants nothing and says so.
        """
        self._notices.update_from_peer([request.notice], now)
        if request.cold and self._cold_hosts is not None:
            self._notices.cold.apply_reports(request.cold, now)
            is_keeper = self._cold_hosts.is_keeper(now)
            if is_keeper and not self._notices.cold.can_decide(request.process):
                # Its registration or the configuration has not arrived here yet.
                return PermitReply(
                    MESSAGE_FORMAT, request.number, True, False, UNKNOWN_WAIT_MS
                )
        if not is_keeper:
            return PermitReply(MESSAGE_FORMAT, request.number, False, False)
        taken = self.keeper.take(request.process, now)
        wait_ms = 0
        if isinstance(taken, Err):
            wait_ms = round(1000 * (taken.err_value.retry_after_s or 0.0))
        return PermitReply(MESSAGE_FORMAT, request.number, True, taken.is_ok(), wait_ms)

    def plan_return_s(
        self, service: ServiceName, processes: Iterable[UpstreamProcess], now: Instant
    ) -> float:
        """Return when a caller that no upstream can serve now should come back.

        Callers that are refused one after the other return one after the other, as fast
        as the limits of the upstreams allow this host.

        Parameters
        ----------
        processes : iterable
            The upstreams, all of which are deferred.
        """
        waits_ms = [self._notices.measure_deferral_ms(item, now) for item in processes]
        return_ms = float(now.mono_ms + min(waits_ms))
        limits = [
            self._notices.find_lowest_limit_per_s(item, now) for item in processes
        ]
        if None not in limits:
            rate_per_s = sum(max(limit or 0.0, MIN_RATE_PER_S) for limit in limits)
            interval_ms = 1000 * self._count_hosts(now) / rate_per_s
            last_ms = self._last_return_ms.get(service, 0.0)
            queue_ms = min(last_ms + interval_ms, now.mono_ms + MAX_QUEUE_MS)
            return_ms = max(return_ms, queue_ms)
            self._last_return_ms[service] = return_ms
        return (return_ms - now.mono_ms) / 1000
