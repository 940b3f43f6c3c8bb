"""Grants of quota by one host for all hosts of a large deployment.

With relays a host knows only sums of what the other hosts admit, a second late. A share
of a limit for each of 75 hosts is smaller than many requests, and admission by late
sums exceeds the limit in a flood. So one host, the holder of the duties, counts exactly
and the others ask it for each request of an account with a limit. A host that gets no
answer decides by itself and tells later what it admitted.
"""

import asyncio
import enum
import logging
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import AccountId, Clock, HostId, Instant, RateLimited
from waxwingbarrow.gateway._beats import FORMAT, Beat, QuotaAsk, QuotaGrant
from waxwingbarrow.gateway._model import Account
from waxwingbarrow.gateway._quotas import Quotas
from waxwingbarrow.limits import TokenBucket

logger = logging.getLogger("waxwingbarrow.gateway.grants")

# An answer takes a few milliseconds; the objectives of plain requests are from 125 ms.
ANSWER_TIMEOUT_S = 0.08
# A keeper that did not answer is not asked for this long, so that a lost one delays a
# few requests only.
SILENT_KEEPER_MS = 1_000
# Requests whose late answers are still recognised: those of many seconds.
MAX_PENDING = 2_000

Origin = tuple[HostId, int]


@attrs.define
class _Exact:
    """Exact content of one account's limit."""

    rate_per_s: float
    burst: float
    bucket: TokenBucket
    told: dict[Origin, float] = attrs.Factory(dict)


class Keeper:
    """Decides for all hosts while this host holds the duties.

    It begins with this host's estimate of what is left. Hosts that cannot be heard use
    their parts of the limits, so the parts are left out here.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._exact: dict[AccountId, _Exact] = {}

    def decide(
        self, name: AccountId, cost: float, now: Instant
    ) -> Result[None, RateLimited]:
        """Charge a request of any host; an account without a limit is not charged."""
        exact = self._find(name, now)
        if exact is None:
            return Ok(None)
        return exact.bucket.try_take(cost, now)

    def measure_left(self, name: AccountId, now: Instant) -> float:
        """Return what is left of an account's limit; negative after a debt."""
        exact = self._find(name, now)
        return 0.0 if exact is None else round(exact.bucket.measure_level(now))

    def note_own_admissions(
        self, name: AccountId, origin: Origin, taken: float, now: Instant
    ) -> None:
        """Charge what a host has admitted by itself.

        Parameters
        ----------
        taken : float
            What the host admitted since its start. What it had admitted when it is
            first heard is part of the estimate that this host began with.
        """
        exact = self._find(name, now)
        if exact is None:
            return
        known = exact.told.get(origin, taken)
        exact.told[origin] = taken
        if taken != known:
            exact.bucket.settle(known - taken, now)

    def give_back(self, name: AccountId, cost: float, now: Instant) -> None:
        """Return the charge of a request that did not run."""
        exact = self._find(name, now)
        if exact is not None:
            exact.bucket.settle(cost, now)

    def rest(self) -> None:
        """Forget all: another host decides now."""
        self._exact.clear()

    def _find(self, name: AccountId, now: Instant) -> _Exact | None:
        limit = self._quotas.find_limit(name, now)
        if limit is None:
            self._exact.pop(name, None)
            return None
        exact = self._exact.get(name)
        if exact is None or (exact.rate_per_s, exact.burst) != (
            limit.rate_per_s,
            limit.burst,
        ):
            bucket = TokenBucket(limit.rate_per_s, limit.burst / limit.rate_per_s, now)
            if exact is None:
                # The estimate also counts what was refused, so it may be far too low.
                bucket.settle(max(limit.level, 0.0) - bucket.capacity, now)
                told = {}
            else:
                # A changed limit does not forgive what was used under the old one.
                used = exact.bucket.capacity - exact.bucket.measure_level(now)
                bucket.settle(-used, now)
                told = exact.told
            exact = _Exact(limit.rate_per_s, limit.burst, bucket, told)
            self._exact[name] = exact
        exact.bucket.set_rate(limit.rate_per_s * limit.heard_part, now)
        return exact


@attrs.define
class _Pending:
    account: AccountId
    cost: float
    answer: asyncio.Future[QuotaGrant] | None


class Charge(enum.Enum):
    """Where a request was charged."""

    NOWHERE = enum.auto()
    OWN_SHARE = enum.auto()
    OTHER_KEEPER = enum.auto()
    OWN_KEEPER = enum.auto()


@attrs.frozen
class OverLimit:
    """A request that its account's quota does not allow now.

    Parameters
    ----------
    retry_after_s : float or None
        When the quota will suffice.
    decided_by : str
        The keeper's address, or "own share".
    left : float or None
        What the keeper has left of the limit.
    """

    retry_after_s: float | None
    decided_by: str
    left: float | None = None


class Grants:
    """Admission by quota: asks the keeper, and answers as the keeper.

    Parameters
    ----------
    find_keeper : callable
        Address of the host that decides; None if none is known, "" if it is this one.
    send : callable
        Sends a message to a host's address.
    """

    def __init__(
        self,
        quotas: Quotas,
        keeper: Keeper,
        clock: Clock,
        find_keeper: Callable[[Instant], str | None],
        send: Callable[[QuotaAsk, str], None],
    ) -> None:
        self._quotas = quotas
        self._keeper = keeper
        self._clock = clock
        self._find_keeper = find_keeper
        self._send = send
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._silent_until: dict[str, int] = {}

    async def admit(
        self, account: Account | None, cost: float, now: Instant
    ) -> Result[Charge, OverLimit]:
        """Charge a request at the keeper, or by this host's own share."""
        if account is None or cost <= 0:
            return Ok(Charge.NOWHERE)
        address = self._find_keeper(now)
        if address is None or self._silent_until.get(address, 0) > now.mono_ms:
            return self._admit_by_share(account, cost, now)
        if not address:
            grant = self._decide(account.name, cost, now)
            self._quotas.note_granted(account, cost, grant.admitted, now)
            if not grant.admitted:
                return Err(OverLimit(grant.retry_after_s, "keeper", grant.left))
            return Ok(Charge.OWN_KEEPER)
        answer = await self._ask(account, cost, address)
        now = self._clock.now()
        if answer is None:
            return self._admit_by_share(account, cost, now)
        self._quotas.note_granted(account, cost, answer.admitted, now)
        if not answer.admitted:
            return Err(OverLimit(answer.retry_after_s, address, answer.left))
        return Ok(Charge.OTHER_KEEPER)

    def _admit_by_share(
        self, account: Account, cost: float, now: Instant
    ) -> Result[Charge, OverLimit]:
        taken = self._quotas.try_take(account, cost, now)
        if isinstance(taken, Err):
            return Err(OverLimit(taken.err_value.retry_after_s, "own share"))
        return Ok(Charge.OWN_SHARE)

    def give_back(
        self, account: Account | None, cost: float, charge: Charge, now: Instant
    ) -> None:
        """Return the charge of a request that did not run."""
        if account is None:
            return
        match charge:
            case Charge.OWN_SHARE:
                self._quotas.give_back(account, cost, now)
            case Charge.OTHER_KEEPER:
                self._quotas.give_back_grant(account.name, cost)
            case Charge.OWN_KEEPER:
                self._keeper.give_back(account.name, cost, now)
            case Charge.NOWHERE:
                pass

    def answer(self, ask: QuotaAsk, is_keeper: bool, now: Instant) -> QuotaGrant:
        """Return the answer to another host's request."""
        if not is_keeper:
            return QuotaGrant(FORMAT, ask.number, False, False)
        return self._decide(AccountId(ask.account), ask.cost, now, ask.number)

    def _decide(
        self, name: AccountId, cost: float, now: Instant, number: int = 0
    ) -> QuotaGrant:
        decided = self._keeper.decide(name, cost, now)
        if isinstance(decided, Err):
            retry_after_s = decided.err_value.retry_after_s
            left = self._keeper.measure_left(name, now)
            return QuotaGrant(FORMAT, number, True, False, retry_after_s, left)
        return QuotaGrant(FORMAT, number, True, True)

    def note_own_admissions(self, beat: Beat, now: Instant) -> None:
        """Charge, as the keeper, what a host has admitted by itself."""
        origin = (HostId(beat.host), beat.started_ms)
        for name, taken in beat.taken:
            self._keeper.note_own_admissions(AccountId(name), origin, taken, now)

    async def _ask(
        self, account: Account, cost: float, address: str
    ) -> QuotaGrant | None:
        self._number += 1
        number = self._number
        loop = asyncio.get_running_loop()
        pending = _Pending(account.name, cost, loop.create_future())
        assert pending.answer is not None
        self._pending[number] = pending
        self._send(QuotaAsk(FORMAT, number, account.name, cost), address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                grant = await pending.answer
        except TimeoutError:
            now = self._clock.now()
            self._silent_until[address] = now.mono_ms + SILENT_KEEPER_MS
            logger.warning(
                "quota not granted in time; deciding by the own share",
                extra={"keeper": address, "account": account.name},
            )
            return None
        finally:
            # The answer may still come; what it grants is then given back.
            pending.answer = None
            self._forget_old()
        if not grant.is_keeper:
            self._silent_until[address] = self._clock.now().mono_ms + SILENT_KEEPER_MS
            return None
        return grant

    def take_grant(self, grant: QuotaGrant) -> None:
        """Take over an answer of the keeper."""
        pending = self._pending.pop(grant.number, None)
        if pending is None:
            return
        if pending.answer is not None and not pending.answer.done():
            pending.answer.set_result(grant)
        elif grant.is_keeper and grant.admitted:
            self._quotas.give_back_grant(pending.account, pending.cost)

    def _forget_old(self) -> None:
        # Answers that come after thousands of further requests are not waited for.
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
