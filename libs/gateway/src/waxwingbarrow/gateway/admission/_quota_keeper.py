"""Exact count of the accounts' limits on the host that decides for all."""

import attrs
from result import Ok, Result

from waxwingbarrow.core import AccountId, HostId, Instant, RateLimited
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.limits import TokenBucket

# A deputy that was not asked for this long estimates again what is left of the limits,
# as another host has decided since.
DEPUTY_IDLE_MS = 2_000

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
