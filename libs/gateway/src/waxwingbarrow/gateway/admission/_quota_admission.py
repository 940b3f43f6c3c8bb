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

from waxwingbarrow.core import AccountId, Clock, HostId, Instant
from waxwingbarrow.gateway.admission._quota_keeper import QuotaKeeper
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.base import Account
from waxwingbarrow.gateway.messages import (
    MESSAGE_FORMAT,
    Heartbeat,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
)

logger = logging.getLogger("waxwingbarrow.gateway.grants")

# An answer takes a few milliseconds. The timeout is below the shortest latency
# objective of plain requests, 125 ms.
ANSWER_TIMEOUT_S = 0.08
# A host that did not answer as the keeper is not asked again for this long, so that a
# keeper that is down delays only a few requests.
KEEPER_RETRY_MS = 1_000
# Hosts that a request asks at the most before the own share decides.
MAX_ASKED = 2
# Number of requests to the keeper that are remembered, so that a grant that comes too
# late is refunded. They cover many seconds.
MAX_PENDING = 2_000

Advice = PlacementAdvice | None
# Address of the host that asks, empty for the keeper itself, and its number.
RequestKey = tuple[str, int]


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
            if not reply.admitted and not _is_refused(reply):
                decided_by = address or "keeper"
                return Err(OverLimit(reply.retry_after_s, decided_by, reply.left))
            charge = Charge.OTHER_KEEPER if address else Charge.OWN_KEEPER
            if not reply.admitted:
                charge = Charge.NOWHERE
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
        is_refused = advice is not None and advice.is_refused
        if is_refused:
            self._keeper.refund(name, cost, now)
        return QuotaReply(
            MESSAGE_FORMAT, number, True, not is_refused, placement=advice
        )

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
                "quota not granted in time",
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


def _is_refused(reply: QuotaReply) -> bool:
    return reply.placement is not None and reply.placement.is_refused
