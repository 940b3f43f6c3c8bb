"""Duties: usage reports to the cloud, and rollout states recorded in the store."""

import logging
from collections.abc import Awaitable, Callable

from result import Err

from waxwingbarrow.core import AccountId, Instant, ServiceName, VersionName
from waxwingbarrow.gateway.base import (
    Cloud,
    CloudRefused,
    Codec,
    Fenced,
    RolloutState,
    RolloutStatus,
    Store,
    Topic,
    describe_failure,
)
from waxwingbarrow.gateway.duties._duties import Lease
from waxwingbarrow.gateway.duties._usage_records import UsageRecords
from waxwingbarrow.gateway.requests import Rollout, Rollouts, UsageCounter
from waxwingbarrow.rollout import Complete, Withdraw

logger = logging.getLogger("waxwingbarrow.gateway.duties")

# A window is reported at the earliest this long after its end. The counts of peers
# arrive within a few heartbeats, but those of hosts that were cut off arrive later.
USAGE_SETTLE_S = 3.0
# A host that did not act for longer than this counts as a new holder of the duties, and
# waits again for the counts of the other hosts.
MAX_TENURE_GAP_MS = 4_000
# A window that ended longer ago than this many times the allowed delay is not reported:
# its record, if there was one, may have expired in the store, which keeps records for
# twice the delay on some platforms.
USAGE_GIVE_UP_FACTOR = 1.5


class UsageTask:
    """Reports the usage of each window, and repeats it only with the same counts.

    The counts of a window are recorded in the store before they are reported, so that
    a later holder repeats the same counts if the outcome of a report is unknown.

    Parameters
    ----------
    late_s : float
        Time after the end of a window by which its report is due.
    find_delay_ms : callable
        Returns how long in ms a new holder waits for the counts of the other hosts.
    """

    def __init__(
        self,
        counter: UsageCounter,
        store: Store,
        cloud: Cloud,
        lease: Lease,
        start: Instant,
        late_s: float,
        find_delay_ms: Callable[[Instant], int],
    ) -> None:
        self._find_delay_ms = find_delay_ms
        self._tenure_since_ms = 0
        self._acted_ms: int | None = None
        self._counter = counter
        self._cloud = cloud
        self._lease = lease
        self._give_up_ms = late_s * USAGE_GIVE_UP_FACTOR * 1000
        self._records = UsageRecords(store)
        self._proposed: dict[int, dict[str, int]] = {}
        self._read_token: int | None = None
        # Monotonic time at which this host knew all records.
        self._known_ms: int | None = None
        self._next_window = counter.find_window(start)

    async def step(self, token: int, now: Instant) -> None:
        """Report the windows that have ended long enough ago, in their order."""
        acted_ms, self._acted_ms = self._acted_ms, now.mono_ms
        if acted_ms is None or now.mono_ms - acted_ms > MAX_TENURE_GAP_MS:
            self._tenure_since_ms = now.mono_ms
        if now.mono_ms - self._tenure_since_ms < self._find_delay_ms(now):
            return
        # The records need to be read only once for each fencing token: only holders of
        # the duties write them, and the store rejects writes with lower tokens.
        if token != self._read_token:
            first_window = self._find_first_window(now)
            if not await self._records.read(token, first_window):
                return
            self._read_token = token
            # A window is recorded only after the one before it was reported.
            self._next_window = max([self._next_window, *self._records.counts])
        self._known_ms = now.mono_ms
        while True:
            age_ms = now.wall_ms - self._counter.compute_end_ms(self._next_window)
            if age_ms < USAGE_SETTLE_S * 1000:
                return
            is_due = age_ms <= self._give_up_ms and not self._is_lost(self._next_window)
            if is_due and not await self._report(self._next_window, token):
                return
            self._next_window += 1

    def _find_first_window(self, now: Instant) -> int:
        """Return the first window that nobody can have reported yet.

        That is the next one if no other host has acted since this one knew all records,
        otherwise the first one that has not settled.
        """
        sole_since_ms = self._lease.sole_since_ms
        if (
            self._known_ms is not None
            and sole_since_ms is not None
            and sole_since_ms <= self._known_ms
        ):
            return self._next_window
        settled_at = now.plus_ms(-round(USAGE_SETTLE_S * 1000))
        return self._counter.find_window(settled_at)

    def _is_lost(self, window: int) -> bool:
        if not self._records.is_lost(window):
            return False
        logger.warning(
            "usage not reported: the store has lost what may have been reported",
            extra={"window": window},
        )
        return True

    async def _report(self, window: int, token: int) -> bool:
        counts = self._records.counts.get(window)
        if counts is None:
            # An append whose outcome is unknown may have been applied, so it is
            # repeated only with the same counts.
            counts = self._proposed.get(window)
            if counts is None:
                totals = self._counter.sum_window(window)
                counts = {str(account): count for account, count in totals.items()}
                self._proposed[window] = counts
            appended = await self._records.append(window, counts, token)
            if isinstance(appended, Err):
                logger.warning(
                    "usage not recorded",
                    extra={
                        "window": window,
                        "reason": describe_failure(appended.err_value),
                    },
                )
                if isinstance(appended.err_value, Fenced):
                    self._lease.note_refusal(token)
                return False
        account_counts = {
            AccountId(account): count for account, count in counts.items()
        }
        reported = await self._cloud.report_usage(window, account_counts, token)
        if isinstance(reported, Err):
            failure = reported.err_value
            logger.warning(
                "usage not reported",
                extra={
                    "window": window,
                    "token": token,
                    "reason": describe_failure(failure),
                },
            )
            if isinstance(failure, CloudRefused) and failure.fenced:
                self._lease.note_refusal(token)
            return False
        logger.info(
            "usage reported", extra={"window": window, "token": token, "counts": counts}
        )
        return True


# A new version is completed only if it has this many workers for each old one. The
# others are ordered after that, and serve after their boot time.
MIN_TAKEOVER_RATIO = 0.5


class RolloutTask:
    """Records the states of rollouts in the store.

    Parameters
    ----------
    read_states : callable
        Reads the recorded states from the store and applies them; returns whether the
        store answered. Other hosts fetch the copy that it updates.
    count_ready : callable
        Returns the number of usable workers of a service, of one version or of all.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        store: Store,
        codec: Codec,
        lease: Lease,
        read_states: Callable[[], Awaitable[bool]],
        count_ready: Callable[[ServiceName, VersionName | None], int],
    ) -> None:
        self._rollouts = rollouts
        self._store = store
        self._codec = codec
        self._lease = lease
        self._read_states = read_states
        self._count_ready = count_ready
        self._read_token: int | None = None

    async def step(self, token: int, now: Instant) -> None:
        """Record the states that changed; a recorded final state is not replaced."""
        if token != self._read_token:
            # The previous holder may have recorded a final state a moment ago.
            if not await self._read_states():
                return
            self._read_token = token
        for rollout in self._rollouts.list_rollouts():
            wanted = self._find_state(rollout, now)
            if wanted is rollout.recorded:
                continue
            if rollout.recorded in (RolloutState.DONE, RolloutState.WITHDRAWN):
                continue
            await self._record(rollout, wanted, token)

    def _find_state(self, rollout: Rollout, now: Instant) -> RolloutState:
        if rollout.state is not RolloutState.RUNNING:
            return rollout.state
        match self._rollouts.evaluate(rollout, now):
            case Complete() if self._has_capacity(rollout):
                return RolloutState.DONE
            case Complete():
                return RolloutState.WITHDRAWN
            case Withdraw():
                return RolloutState.WITHDRAWN
            case _:
                return RolloutState.RUNNING

    def _has_capacity(self, rollout: Rollout) -> bool:
        """Whether the workers of the new version can take over from the old ones.

        The platform stops the old ones at once when the completion is recorded.
        """
        order = rollout.order
        new = self._count_ready(order.service, order.to_version)
        old = self._count_ready(order.service, None) - new
        return new > 0 and new >= MIN_TAKEOVER_RATIO * old

    async def _record(self, rollout: Rollout, state: RolloutState, token: int) -> None:
        order = rollout.order
        status = RolloutStatus(
            service=order.service, to_version=order.to_version, state=state
        )
        key, value = self._codec.write_status(status)
        written = await self._store.write_keyed(Topic.STATUS, key, value, token)
        if isinstance(written, Err):
            logger.warning(
                "rollout state not recorded",
                extra={
                    "service": order.service,
                    "state": state.value,
                    "reason": describe_failure(written.err_value),
                },
            )
            if isinstance(written.err_value, Fenced):
                self._lease.note_refusal(token)
            return
        self._rollouts.apply_status(status)
        await self._read_states()
