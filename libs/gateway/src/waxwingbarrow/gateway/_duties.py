"""Duties that one host at a time performs for all: usage reports, rollout states."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Err

from waxwingbarrow.core import AccountId, Clock, Instant
from waxwingbarrow.gateway._model import RolloutState, RolloutStatus
from waxwingbarrow.gateway._ports import (
    Cloud,
    CloudRefused,
    Codec,
    Fenced,
    Store,
    Topic,
    describe,
)
from waxwingbarrow.gateway._rollouts import Rollout, Rollouts
from waxwingbarrow.gateway._usage import UsageBook
from waxwingbarrow.rollout import Complete, Withdraw

logger = logging.getLogger("waxwingbarrow.gateway.duties")

RENEW_INTERVAL_S = 0.6
ACT_INTERVAL_S = 0.9
# Two renewals may be lost before another host takes over.
MEMBER_TTL_MS = 2_000
# The holder stops this long before the store may give the duty to another host.
LEASE_MARGIN_MS = 400
# A new holder waits until the one before it knows that its lease has lapsed: the store
# may deal the duty anew without asking.
TAKEOVER_SLACK_MS = 100
# Peers' counts arrive within a few beats; hosts that were cut off need longer.
USAGE_SETTLE_S = 3.0
# A host that did not act for this long has not held the duty in between.
TENURE_GAP_MS = 4_000
# A window whose report is late by more than this many times the allowed delay is not
# worth a call.
USAGE_GIVE_UP_FACTOR = 2.5


class UsageRecord(msgspec.Struct, array_like=True, frozen=True):
    """Counts of a window as they are, or will be, reported."""

    window: int
    counts: dict[str, int]


class DutyTask(Protocol):
    """Work that the holder does at each step."""

    async def step(self, token: int, now: Instant) -> None:
        """Do what is due; `token` is the fencing number."""
        ...


class Lease:
    """The exclusive duty as granted by the store's group.

    A new holder waits before it acts, because the host that acted before it may not
    know yet that it lost the duty. A host that gets the duty back waits longer, so
    that no other host acts between two of its acts within that time.

    Parameters
    ----------
    return_wait_ms : int
        Wait of a host that acted before.
    ttl_ms : int
        Time after which the store gives the duty of a silent member to another.
    """

    def __init__(self, return_wait_ms: int, ttl_ms: int = MEMBER_TTL_MS) -> None:
        self.ttl_ms = ttl_ms
        self._return_wait_ms = return_wait_ms
        # The host before believes in its lease for the time to live less the margin.
        self._wait_ms = ttl_ms - LEASE_MARGIN_MS + TAKEOVER_SLACK_MS
        self._acted_ms: int | None = None
        self.generation = 0
        self._held_since: Instant | None = None
        self._valid_until_ms = 0
        self._refused_token = 0

    def note_grant(self, held: bool, generation: int, asked_at: Instant) -> None:
        """Note the store's answer to a renewal that was sent at `asked_at`."""
        lapsed = asked_at.mono_ms > self._valid_until_ms
        # The generation also changes with other members. A host that had the duty in
        # between would still be waiting, so a lease that did not lapse goes on.
        if not held or lapsed or self._held_since is None:
            self._held_since = asked_at if held else None
        self.generation = max(generation, self.generation)
        if held:
            self._valid_until_ms = asked_at.mono_ms + self.ttl_ms - LEASE_MARGIN_MS

    def note_left(self) -> None:
        """Note that this host gave up the duty."""
        self._held_since = None

    def note_act(self, now: Instant) -> None:
        """Note that this host acts."""
        self._acted_ms = now.mono_ms

    def note_refusal(self, token: int) -> None:
        """Note that a higher number than `token` was used: this host must not act."""
        self._refused_token = max(self._refused_token, token)

    def find_token(self, now: Instant) -> int | None:
        """Return the fencing number while this host may act."""
        if self._held_since is None or now.mono_ms >= self._valid_until_ms:
            return None
        acted_ms = self._acted_ms
        acted_before = acted_ms is not None and acted_ms < self._held_since.mono_ms
        wait_ms = self._return_wait_ms if acted_before else self._wait_ms
        if now.mono_ms - self._held_since.mono_ms < wait_ms:
            return None
        if self.generation <= self._refused_token:
            return None
        return self.generation


class Duties:
    """Renews the lease and runs the tasks while it is held.

    Parameters
    ----------
    member : str
        Name of this process within the group.
    is_candidate : callable
        Whether this host may hold the duties; renewals are priced, so few do.
    note_token : callable
        Called with the fencing number, or 0 while the duties are not held.
    """

    def __init__(
        self,
        member: str,
        store: Store,
        lease: Lease,
        tasks: list[DutyTask],
        clock: Clock,
        is_candidate: Callable[[], bool],
        note_token: Callable[[int], None],
    ) -> None:
        self._member = member
        self._store = store
        self._lease = lease
        self._tasks = tasks
        self._clock = clock
        self._is_candidate = is_candidate
        self._note_token = note_token
        self._acting: int | None = None
        self._is_member = False
        self._is_stopping = False

    async def run(self) -> None:
        """Renew and act until cancelled.

        The two are separate, so that calls without an answer do not hold up a renewal.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._renew_steadily())
            group.create_task(self._act_steadily())

    async def stop(self) -> None:
        """Give the duty to another host for good."""
        self._is_stopping = True
        self._note_token(0)
        await self._leave()

    def _note_member(self, is_member: bool) -> None:
        if is_member != self._is_member:
            self._is_member = is_member
            logger.info("duty candidate changed", extra={"is_own": is_member})

    async def _leave(self) -> None:
        self._note_member(False)
        self._lease.note_left()
        left = await self._store.leave(self._member)
        if isinstance(left, Err):
            logger.info("duty not left", extra={"reason": describe(left.err_value)})

    async def _renew_steadily(self) -> None:
        while True:
            if self._is_candidate() and not self._is_stopping:
                self._note_member(True)
                await self._renew()
            elif self._is_member:
                await self._leave()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _act_steadily(self) -> None:
        while True:
            await self._act()
            await asyncio.sleep(ACT_INTERVAL_S)

    async def _renew(self) -> None:
        asked_at = self._clock.now()
        renewed = await self._store.renew(
            self._member, self._lease.ttl_ms, self._lease.generation
        )
        if isinstance(renewed, Err):
            logger.info(
                "duty not renewed", extra={"reason": describe(renewed.err_value)}
            )
            return
        grant = renewed.ok_value
        self._lease.note_grant(grant.held, grant.generation, asked_at)

    async def _act(self) -> None:
        token = self._lease.find_token(self._clock.now())
        if token != self._acting:
            if token is not None and not await self._take_over(token):
                return
            logger.info(
                "duty changed", extra={"held": token is not None, "token": token}
            )
            self._acting = token
            self._note_token(token or 0)
        if token is None:
            return
        for task in self._tasks:
            now = self._clock.now()
            if self._lease.find_token(now) != token:
                return
            self._lease.note_act(now)
            await task.step(token, now)

    async def _take_over(self, token: int) -> bool:
        for topic in (Topic.USAGE, Topic.STATUS):
            fenced = await self._store.fence(topic, token)
            if isinstance(fenced, Err):
                logger.warning(
                    "duty not taken over",
                    extra={"topic": topic, "reason": describe(fenced.err_value)},
                )
                if isinstance(fenced.err_value, Fenced):
                    self._lease.note_refusal(token)
                return False
        return True


class UsageTask:
    """Reports the usage of each window exactly once.

    The counts of a window are recorded in the store before they are reported, so that
    a later holder repeats the same counts if the outcome of a report is unknown.

    Parameters
    ----------
    late_s : float
        Time after the end of a window at which its report is due.
    find_delay_ms : callable
        Time that a new holder waits for the counts of the other hosts.
    """

    def __init__(
        self,
        book: UsageBook,
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
        self._book = book
        self._store = store
        self._cloud = cloud
        self._lease = lease
        self._give_up_ms = late_s * USAGE_GIVE_UP_FACTOR * 1000
        self._recorded: dict[int, dict[str, int]] = {}
        self._proposed: dict[int, dict[str, int]] = {}
        self._offset = 0
        self._read_token: int | None = None
        self._next = book.find_window(start)

    async def step(self, token: int, now: Instant) -> None:
        """Report the windows that have ended."""
        acted_ms, self._acted_ms = self._acted_ms, now.mono_ms
        if acted_ms is None or now.mono_ms - acted_ms > TENURE_GAP_MS:
            self._tenure_since_ms = now.mono_ms
        if now.mono_ms - self._tenure_since_ms < self._find_delay_ms(now):
            return
        # Only holders write records, and lower numbers are fenced.
        if token != self._read_token:
            if not await self._read_records():
                return
            self._read_token = token
            # A window is recorded only after the one before it was reported.
            self._next = max([self._next, *self._recorded])
        while True:
            age_ms = now.wall_ms - self._book.compute_end_ms(self._next)
            if age_ms < USAGE_SETTLE_S * 1000:
                return
            too_late = age_ms > self._give_up_ms
            if not too_late and not await self._report(self._next, token):
                return
            self._next += 1

    async def _read_records(self) -> bool:
        while True:
            read = await self._store.read_records(Topic.USAGE, self._offset)
            if isinstance(read, Err):
                logger.warning(
                    "usage records not read",
                    extra={"reason": describe(read.err_value)},
                )
                return False
            page = read.ok_value
            for record in page.records:
                self._offset = record.offset + 1
                usage = msgspec.msgpack.decode(record.value, type=UsageRecord)
                self._recorded.setdefault(usage.window, usage.counts)
            if not page.records or self._offset >= page.end:
                return True

    async def _report(self, window: int, token: int) -> bool:
        counts = self._recorded.get(window)
        if counts is None:
            # An append without an answer may have been carried out, so it is only
            # ever repeated with the same counts.
            counts = self._proposed.get(window)
            if counts is None:
                summed = self._book.sum_window(window)
                counts = {str(account): count for account, count in summed.items()}
                self._proposed[window] = counts
            record = msgspec.msgpack.encode(UsageRecord(window, counts))
            appended = await self._store.append(Topic.USAGE, record, token)
            if isinstance(appended, Err):
                logger.warning(
                    "usage not recorded",
                    extra={"window": window, "reason": describe(appended.err_value)},
                )
                if isinstance(appended.err_value, Fenced):
                    self._lease.note_refusal(token)
                return False
            self._recorded[window] = counts
        typed = {AccountId(account): count for account, count in counts.items()}
        reported = await self._cloud.report_usage(window, typed, token)
        if isinstance(reported, Err):
            failure = reported.err_value
            logger.warning(
                "usage not reported",
                extra={"window": window, "token": token, "reason": describe(failure)},
            )
            if isinstance(failure, CloudRefused) and failure.fenced:
                self._lease.note_refusal(token)
            return False
        logger.info(
            "usage reported", extra={"window": window, "token": token, "counts": counts}
        )
        return True


class RolloutTask:
    """Records the states of rollouts."""

    def __init__(
        self, rollouts: Rollouts, store: Store, codec: Codec, lease: Lease
    ) -> None:
        self._rollouts = rollouts
        self._store = store
        self._codec = codec
        self._lease = lease

    async def step(self, token: int, now: Instant) -> None:
        """Record what changed."""
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
        match self._rollouts.judge(rollout, now):
            case Complete():
                return RolloutState.DONE
            case Withdraw():
                return RolloutState.WITHDRAWN
            case _:
                return RolloutState.RUNNING

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
                    "reason": describe(written.err_value),
                },
            )
            if isinstance(written.err_value, Fenced):
                self._lease.note_refusal(token)
            return
        self._rollouts.take_status(status)
