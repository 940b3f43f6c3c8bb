"""Admission by quota in large deployments, where one host decides for all.

In a deployment with relays a host knows only totals of what the other hosts admit, a
second late. If a limit is divided among 75 hosts, the share of each is smaller than the
cost of many requests, and admission by late totals exceeds the limit when an account
floods all hosts. So one host, the quota keeper, counts exactly, and the others ask it
for each request of an account with a limit. The keeper is the host that holds the
duties. While it does not answer, as after its loss, a relay stands in for it as the
deputy. A host that gets no answer from either decides by its own share. Deputies and
such hosts report later what they admitted.

The keeper also advises on the placement of requests to model engines, see
`PlacementAdviser`; requests without a limit are sent to it only for that.
"""

import asyncio
import enum
import logging
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import AccountId, Clock, HostId, Instant, RateLimited
from waxwingbarrow.gateway._messages import (
    MESSAGE_FORMAT,
    Heartbeat,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
)
from waxwingbarrow.gateway._model import Account
from waxwingbarrow.gateway._quotas import Quotas
from waxwingbarrow.limits import TokenBucket

logger = logging.getLogger("waxwingbarrow.gateway.grants")

# An answer takes a few milliseconds. The timeout is below the shortest latency
# objective of plain requests, 125 ms.
ANSWER_TIMEOUT_S = 0.08
# A host that did not answer as the keeper is not asked again for this long, so that a
# keeper that is down delays only a few requests.
KEEPER_RETRY_MS = 1_000
# A deputy that was not asked for this long estimates again what is left of the limits,
# as another host has decided since.
DEPUTY_IDLE_MS = 2_000
# Hosts that a request asks at the most before the own share decides.
MAX_ASKED = 2
# Number of requests to the keeper that are remembered, so that a grant that comes too
# late is refunded. They cover many seconds.
MAX_PENDING = 2_000

Advice = PlacementAdvice | None
# Address of the host that asks, empty for the keeper itself, and its number.
RequestKey = tuple[str, int]
# A host and the wall time in ms at which its process started.
Origin = tuple[HostId, int]


@attrs.define
class _AccountBucket:
    """What is left of one account's limit, counted exactly by the keeper.

    Parameters
    ----------
    rate_per_s, burst : float
        The limit in force, in tokens or requests.
    admitted_by_host : dict
        What each host has admitted by its own share since its start, as last reported.
    """

    rate_per_s: float
    burst: float
    bucket: TokenBucket
    admitted_by_host: dict[Origin, float] = attrs.Factory(dict)


class QuotaKeeper:
    """Decides on quotas for all hosts while this host holds the duties.

    The count of each limit starts at this host's estimate of what is left of it. Hosts
    that cannot be reached use their parts of the limits, so these parts are not
    available here.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._buckets: dict[AccountId, _AccountBucket] = {}
        # Monotonic time of the last decision or report.
        self._used_ms = 0

    def decide(
        self, name: AccountId, cost: float, now: Instant
    ) -> Result[None, RateLimited]:
        """Charge a request from any host; accounts without a limit are not charged.

        What is admitted counts as charged by this host, so that another keeper that
        learns of it charges it too.
        """
        self._note_use(now)
        entry = self._find_bucket(name, now)
        if entry is None:
            return Ok(None)
        taken = entry.bucket.try_take(cost, now)
        if taken.is_ok():
            self._quotas.note_grant(name, cost)
        return taken

    def _note_use(self, now: Instant) -> None:
        if now.mono_ms - self._used_ms > DEPUTY_IDLE_MS:
            self.reset()
        self._used_ms = now.mono_ms

    def measure_left(self, name: AccountId, now: Instant) -> float:
        """Return what is left of an account's limit; negative if it is overdrawn."""
        entry = self._find_bucket(name, now)
        return 0.0 if entry is None else round(entry.bucket.measure_level(now))

    def charge_local_admissions(
        self, name: AccountId, origin: Origin, taken: float, now: Instant
    ) -> None:
        """Charge what a host has admitted by its own share.

        Parameters
        ----------
        taken : float
            What the host has admitted by its own share since its start. Its first
            report charges nothing, because the estimate with which the count of the
            limit started includes it.
        """
        self._note_use(now)
        entry = self._find_bucket(name, now)
        if entry is None:
            return
        known = entry.admitted_by_host.get(origin, taken)
        entry.admitted_by_host[origin] = taken
        if taken != known:
            entry.bucket.adjust_level(known - taken, now)

    def refund(self, name: AccountId, cost: float, now: Instant) -> None:
        """Refund the charge of a request that did not run."""
        entry = self._find_bucket(name, now)
        if entry is not None:
            entry.bucket.adjust_level(cost, now)
            self._quotas.refund_grant(name, cost)

    def reset(self) -> None:
        """Discard all state, because another host decides now."""
        self._buckets.clear()

    def _find_bucket(self, name: AccountId, now: Instant) -> _AccountBucket | None:
        limit = self._quotas.find_limit(name, now)
        if limit is None:
            self._buckets.pop(name, None)
            return None
        entry = self._buckets.get(name)
        if entry is None or (entry.rate_per_s, entry.burst) != (
            limit.rate_per_s,
            limit.burst,
        ):
            bucket = TokenBucket(limit.rate_per_s, limit.burst / limit.rate_per_s, now)
            if entry is None:
                # The estimate also counts refused requests, so it may be far too low;
                # a debt in it is ignored.
                bucket.adjust_level(max(limit.level, 0.0) - bucket.capacity, now)
                admitted_by_host = {}
            else:
                # What was used under the old limit is charged to the new one.
                used = entry.bucket.capacity - entry.bucket.measure_level(now)
                bucket.adjust_level(-used, now)
                admitted_by_host = entry.admitted_by_host
            entry = _AccountBucket(
                limit.rate_per_s, limit.burst, bucket, admitted_by_host
            )
            self._buckets[name] = entry
        entry.bucket.set_rate(limit.rate_per_s * limit.reachable_fraction, now)
        return entry


@attrs.define
class _PendingRequest:
    """A request to the keeper whose answer may still arrive.

    Parameters
    ----------
    cost : float
        What the keeper is asked to charge to the account.
    answer : Future or None
        Receives the answer; None once nothing waits for it any more.
    """

    account: AccountId
    cost: float
    answer: asyncio.Future[QuotaReply] | None


class Charge(enum.Enum):
    """Where a request was charged.

    Attributes
    ----------
    NOWHERE
        Not charged, because it has no account or an account without a limit.
    OWN_SHARE
        Charged to this host's share, without a decision of a keeper.
    OTHER_KEEPER
        Charged by another host as the keeper.
    OWN_KEEPER
        Charged by this host as the keeper.
    """

    NOWHERE = enum.auto()
    OWN_SHARE = enum.auto()
    OTHER_KEEPER = enum.auto()
    OWN_KEEPER = enum.auto()


@attrs.frozen
class AdviceSource:
    """Identifies an advice in later reports.

    Parameters
    ----------
    keeper : str
        Address of the host that gave it; "" for this host.
    number : int
        Number of the request to it.
    """

    keeper: str
    number: int


@attrs.frozen
class Admission:
    """Admission of a request.

    Parameters
    ----------
    advice : PlacementAdvice or None
        Where the keeper advises to send it; None if it does not.
    source : AdviceSource or None
        Where the advice comes from.
    """

    charge: Charge
    advice: PlacementAdvice | None = None
    source: AdviceSource | None = None


@attrs.frozen
class OverLimit:
    """A request that its account's quota does not allow now.

    Parameters
    ----------
    retry_after_s : float or None
        Time after which the quota will suffice; None if it is not being refilled.
    decided_by : str
        Address of the keeper, "keeper" if this host is the keeper, or "own share".
    left : float or None
        What is left of the limit at the keeper; None if the own share decided.
    """

    retry_after_s: float | None
    decided_by: str
    left: float | None = None


class QuotaAdmission:
    """Admits requests by quota: asks the keeper, or answers as the keeper.

    Parameters
    ----------
    list_keepers : callable
        Returns the addresses of the keeper and its deputies, in the order in which
        they are asked; "" is this host.
    send : callable
        Sends a message to a host's address.
    advise : callable
        Returns, as the keeper, where to send a request to a model engine.
    """

    def __init__(
        self,
        quotas: Quotas,
        keeper: QuotaKeeper,
        clock: Clock,
        list_keepers: Callable[[Instant], list[str]],
        send: Callable[[QuotaRequest, str], None],
        advise: Callable[[PlacementQuery, RequestKey, Instant], Advice] = (
            lambda query, key, now: None
        ),
    ) -> None:
        self._quotas = quotas
        self._keeper = keeper
        self._clock = clock
        self._list_keepers = list_keepers
        self._send = send
        self._advise = advise
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._avoided_until_ms: dict[str, int] = {}

    async def admit(
        self,
        account: Account | None,
        cost: float,
        now: Instant,
        query: PlacementQuery | None = None,
    ) -> Result[Admission, OverLimit]:
        """Have the keeper charge a request, or charge it to this host's own share.

        Parameters
        ----------
        query : PlacementQuery or None
            What the keeper needs to advise on the placement; None if no advice is
            needed.
        """
        limited = account if account is not None and cost > 0 else None
        if limited is None and query is None:
            return Ok(Admission(Charge.NOWHERE))
        name = limited.name if limited is not None else AccountId("")
        keepers = [
            address
            for address in self._list_keepers(now)
            if self._avoided_until_ms.get(address, 0) <= now.mono_ms
        ]
        for address in keepers[:MAX_ASKED]:
            if not address:
                self._last_number += 1
                key = ("", self._last_number)
                reply: QuotaReply | None = self._decide(name, cost, query, now, key)
            else:
                reply = await self._ask(name, cost, query, address)
                now = self._clock.now()
            if reply is not None:
                return self._apply_reply(limited, cost, reply, address, now)
        return self._admit_by_share(limited, cost, now)

    def _apply_reply(
        self,
        limited: Account | None,
        cost: float,
        reply: QuotaReply,
        address: str,
        now: Instant,
    ) -> Result[Admission, OverLimit]:
        if limited is None:
            charge = Charge.NOWHERE
        else:
            self._quotas.note_keeper_decision(limited, cost, reply.admitted, now)
            if not reply.admitted:
                decided_by = address or "keeper"
                return Err(OverLimit(reply.retry_after_s, decided_by, reply.left))
            charge = Charge.OTHER_KEEPER if address else Charge.OWN_KEEPER
        source = AdviceSource(address, reply.number)
        return Ok(Admission(charge, reply.placement, source))

    def _admit_by_share(
        self, account: Account | None, cost: float, now: Instant
    ) -> Result[Admission, OverLimit]:
        if account is None:
            return Ok(Admission(Charge.NOWHERE))
        taken = self._quotas.try_take(account, cost, now)
        if isinstance(taken, Err):
            return Err(OverLimit(taken.err_value.retry_after_s, "own share"))
        return Ok(Admission(Charge.OWN_SHARE))

    def refund(
        self, account: Account | None, cost: float, charge: Charge, now: Instant
    ) -> None:
        """Refund the charge of a request that did not run."""
        if account is None:
            return
        match charge:
            case Charge.OWN_SHARE:
                self._quotas.refund(account, cost, now)
            case Charge.OTHER_KEEPER:
                self._quotas.refund_grant(account.name, cost)
            case Charge.OWN_KEEPER:
                self._keeper.refund(account.name, cost, now)
            case Charge.NOWHERE:
                pass

    def answer(
        self, request: QuotaRequest, is_keeper: bool, now: Instant, sender: str = ""
    ) -> QuotaReply:
        """Return the answer to another host's request.

        Parameters
        ----------
        is_keeper : bool
            Whether this host is the keeper; otherwise it charges nothing and says so.
        sender : str
            Address of the other host.
        """
        if not is_keeper:
            return QuotaReply(MESSAGE_FORMAT, request.number, False, False)
        return self._decide(
            AccountId(request.account),
            request.cost,
            request.placement,
            now,
            (sender, request.number),
        )

    def _decide(
        self,
        name: AccountId,
        cost: float,
        query: PlacementQuery | None,
        now: Instant,
        key: RequestKey,
    ) -> QuotaReply:
        _, number = key
        decided = self._keeper.decide(name, cost, now)
        if isinstance(decided, Err):
            retry_after_s = decided.err_value.retry_after_s
            left = self._keeper.measure_left(name, now)
            return QuotaReply(MESSAGE_FORMAT, number, True, False, retry_after_s, left)
        advice = self._advise(query, key, now) if query is not None else None
        return QuotaReply(MESSAGE_FORMAT, number, True, True, placement=advice)

    def charge_local_admissions(self, heartbeat: Heartbeat, now: Instant) -> None:
        """Charge, as the keeper, what a host has admitted by its own share."""
        origin = (HostId(heartbeat.host), heartbeat.started_ms)
        for name, taken in heartbeat.taken:
            self._keeper.charge_local_admissions(AccountId(name), origin, taken, now)

    async def _ask(
        self,
        name: AccountId,
        cost: float,
        query: PlacementQuery | None,
        address: str,
    ) -> QuotaReply | None:
        self._last_number += 1
        number = self._last_number
        loop = asyncio.get_running_loop()
        pending = _PendingRequest(name, cost, loop.create_future())
        assert pending.answer is not None
        self._pending[number] = pending
        self._send(QuotaRequest(MESSAGE_FORMAT, number, name, cost, query), address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await pending.answer
        except TimeoutError:
            now = self._clock.now()
            self._avoided_until_ms[address] = now.mono_ms + KEEPER_RETRY_MS
            logger.warning(
                "quota not granted in time; deciding by the own share",
                extra={"keeper": address, "account": name},
            )
            return None
        finally:
            # After a timeout the answer may still arrive; a grant in it is refunded.
            pending.answer = None
            self._drop_oldest_pending()
        if not reply.is_keeper:
            self._avoided_until_ms[address] = (
                self._clock.now().mono_ms + KEEPER_RETRY_MS
            )
            return None
        return reply

    def handle_quota_reply(self, reply: QuotaReply) -> None:
        """Handle a reply of the keeper; refund the charge if it comes too late."""
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        if pending.answer is not None and not pending.answer.done():
            pending.answer.set_result(reply)
        elif reply.is_keeper and reply.admitted:
            self._quotas.refund_grant(pending.account, pending.cost)

    def _drop_oldest_pending(self) -> None:
        # Answers that arrive after thousands of further requests are ignored.
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
