"""The exclusive duty: which host acts for all, and when."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from result import Err

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway._ports import (
    Fenced,
    Store,
    Topic,
    describe,
)

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
