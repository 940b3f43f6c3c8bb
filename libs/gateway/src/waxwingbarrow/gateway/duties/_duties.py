"""Election of the one host that carries out the duties of the whole deployment.

The duties are tasks that only one host may do at a time, such as usage reports and
orders of workers. Hosts compete for a lease in a group of the store. The host that
holds it carries out the duties, and sends a fencing token with each call that only one
host may make.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from result import Err

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import (
    Fenced,
    Store,
    Supervisor,
    Topic,
    describe_failure,
)

logger = logging.getLogger("waxwingbarrow.gateway.duties")

# Interval of the renewals of the lease.
RENEW_INTERVAL_S = 0.6
# Interval at which the holder runs its tasks.
ACT_INTERVAL_S = 0.9
# Time to live of a member of the group. Two renewals may be lost before another host
# takes over.
MEMBER_TTL_MS = 2_000
# The holder stops this long before the store may give the lease to another host.
LEASE_MARGIN_MS = 400
# A new holder waits until the lease of the previous holder has expired, and this much
# longer: the store may reassign the lease without notice to the previous holder.
TAKEOVER_SLACK_MS = 100


class DutyTask(Protocol):
    """A duty: work that only the holder of the lease does, at intervals."""

    async def step(self, token: int, now: Instant) -> None:
        """Do what is due; `token` is the fencing token."""
        ...


class Lease:
    """Lease on the duties, granted by the store to one member of a group.

    A new holder waits before it acts, because the previous holder may not know yet that
    it lost the lease. A host that gets the lease back waits longer, for
    `return_wait_ms`. So no other host has acted between two actions of one host that
    are less than `return_wait_ms` apart.

    Parameters
    ----------
    return_wait_ms : int
        Time that a host which has acted under an earlier lease waits before it acts
        again.
    ttl_ms : int
        Time to live of a member that does not renew; after it the store gives the lease
        to another member.

    Attributes
    ----------
    generation : int
        Highest generation of the group that the store reported. It is the fencing
        token of the holder.
    sole_since_ms : int or None
        Monotonic time since which no other host can have acted as the holder; None if
        another one may have the lease.
    """

    def __init__(self, return_wait_ms: int, ttl_ms: int = MEMBER_TTL_MS) -> None:
        self.ttl_ms = ttl_ms
        self._return_wait_ms = return_wait_ms
        # The previous holder regards its lease as valid for the time to live less the
        # margin.
        self._wait_ms = ttl_ms - LEASE_MARGIN_MS + TAKEOVER_SLACK_MS
        self._acted_ms: int | None = None
        self.generation = 0
        self.sole_since_ms: int | None = None
        # Sending of the last renewal that was answered with the lease.
        self._renewed_ms = 0
        self._held_since: Instant | None = None
        self._valid_until_ms = 0
        self._refused_token = 0

    def note_assignment(
        self,
        held: bool,
        generation: int,
        asked_at: Instant,
        answered_at: Instant | None = None,
    ) -> None:
        """Apply the store's answer to a renewal that was sent at `asked_at`.

        The lease is valid from then on, not from the arrival of the answer, because the
        store may have counted its time to live from then on.

        Parameters
        ----------
        answered_at : Instant or None
            Arrival of the answer, from which a new holder waits: the store may have
            renewed the previous lease until it answered. None if it arrived at once.
        """
        self._update_sole(held, asked_at, answered_at or asked_at)
        has_expired = asked_at.mono_ms > self._valid_until_ms
        # The generation also changes when other members join or leave. A host that held
        # the lease in between would still be waiting, so this lease continues unless it
        # has expired.
        if not held or has_expired or self._held_since is None:
            self._held_since = (answered_at or asked_at) if held else None
        self.generation = max(generation, self.generation)
        if held:
            self._valid_until_ms = asked_at.mono_ms + self.ttl_ms - LEASE_MARGIN_MS

    def _update_sole(self, held: bool, asked_at: Instant, answered_at: Instant) -> None:
        """Update `sole_since_ms`.

        Another host gets the lease at the earliest when this one has not renewed it for
        its time to live, and then waits before it acts.
        """
        if not held:
            self.sole_since_ms = None
            return
        other_acts_ms = self._renewed_ms + self.ttl_ms + self._wait_ms
        if self.sole_since_ms is None or answered_at.mono_ms >= other_acts_ms:
            self.sole_since_ms = answered_at.mono_ms
        self._renewed_ms = asked_at.mono_ms

    def note_left(self) -> None:
        """Record that this host left the group."""
        self._held_since = None
        self.sole_since_ms = None

    def note_act(self, now: Instant) -> None:
        """Record that this host acts as the holder."""
        self._acted_ms = now.mono_ms

    def note_refusal(self, token: int) -> None:
        """Stop acting with `token`, because another host used a higher one."""
        self._refused_token = max(self._refused_token, token)

    def measure_left_ms(self, token: int, now: Instant) -> int:
        """Return for how long this host may act with a token; 0 if it may not."""
        if self.find_token(now) != token:
            return 0
        return self._valid_until_ms - now.mono_ms

    def find_token(self, now: Instant) -> int | None:
        """Return the fencing token while this host may act, otherwise None."""
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


class DutyRunner:
    """Renews the lease and runs the tasks while this host holds it.

    Parameters
    ----------
    member : str
        Name of this process within the group.
    is_candidate : callable
        Returns whether this host may compete for the lease. Renewals are priced, so
        only a few hosts do.
    note_token : callable
        Called with the fencing token, or with 0 while the duties are not held.
    supervisor : Supervisor
        Contains the failures of single tasks.
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
        supervisor: Supervisor,
    ) -> None:
        self._member = member
        self._store = store
        self._lease = lease
        self._tasks = tasks
        self._clock = clock
        self._is_candidate = is_candidate
        self._note_token = note_token
        self._supervisor = supervisor
        self._active_token: int | None = None
        self._is_member = False
        self._is_stopping = False

    async def run(self) -> None:
        """Renew the lease and run the tasks until cancelled.

        Both run concurrently, so that a task that waits for an answer does not delay a
        renewal.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._renew_periodically())
            group.create_task(self._act_periodically())

    async def stop(self) -> None:
        """Leave the group for good, so that another host gets the duties."""
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
        left = await self._store.leave_group(self._member)
        if isinstance(left, Err):
            logger.info(
                "duty group not left",
                extra={"reason": describe_failure(left.err_value)},
            )

    async def _renew_periodically(self) -> None:
        while True:
            if self._is_candidate() and not self._is_stopping:
                self._note_member(True)
                await self._renew()
            elif self._is_member:
                await self._leave()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _act_periodically(self) -> None:
        while True:
            await self._act()
            await asyncio.sleep(ACT_INTERVAL_S)

    async def _renew(self) -> None:
        asked_at = self._clock.now()
        renewed = await self._store.renew_membership(
            self._member, self._lease.ttl_ms, self._lease.generation
        )
        if isinstance(renewed, Err):
            logger.info(
                "duty not renewed",
                extra={"reason": describe_failure(renewed.err_value)},
            )
            return
        assignment = renewed.ok_value
        self._lease.note_assignment(
            assignment.held, assignment.generation, asked_at, self._clock.now()
        )

    async def _act(self) -> None:
        token = self._lease.find_token(self._clock.now())
        if token != self._active_token:
            if token is not None and not await self._take_over(token):
                return
            logger.info(
                "duty changed", extra={"held": token is not None, "token": token}
            )
            self._active_token = token
            self._note_token(token or 0)
        if token is None:
            return
        for task in self._tasks:
            now = self._clock.now()
            if self._lease.find_token(now) != token:
                return
            self._lease.note_act(now)
            with self._supervisor.contain("duty"):
                await task.step(token, now)

    async def _take_over(self, token: int) -> bool:
        for topic in (Topic.USAGE, Topic.STATUS):
            fenced = await self._store.fence(topic, token)
            if isinstance(fenced, Err):
                logger.warning(
                    "duty not taken over",
                    extra={
                        "topic": topic,
                        "reason": describe_failure(fenced.err_value),
                    },
                )
                if isinstance(fenced.err_value, Fenced):
                    self._lease.note_refusal(token)
                return False
        return True
