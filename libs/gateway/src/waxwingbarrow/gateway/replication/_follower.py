"""Keeps the replicas of the store's topics up to date, by reading the store."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from result import Err

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway.base import (
    HistoryGone,
    Store,
    StoreFailure,
    Topic,
    describe_failure,
)
from waxwingbarrow.gateway.replication._replica import Change, Replica

logger = logging.getLogger("waxwingbarrow.gateway.store")

# Well below the time within which a leaving upstream must stop getting requests.
UPSTREAMS_INTERVAL_S = 0.8
# Hosts learn of each other from messages, so the list is needed only after a start.
HOSTS_INTERVAL_S = 30.0
# Delay of a second read of the hosts, for those that registered after the first one.
HOSTS_SECOND_READ_S = 2.0
RETRY_INTERVAL_S = 0.25
# Interval of checks whether other hosts still vouch for the operator's topic.
COVERAGE_CHECK_S = 0.2
# Pause between long polls, so that changes in quick succession are read together.
MIN_READ_INTERVAL_S = 0.1


class StoreHealth:
    """Tracks whether the store answers the calls of this host.

    Attributes
    ----------
    failed_at : Instant or None
        Time of the last call that failed.
    recovered_at : Instant or None
        Time of the last call that succeeded after a failed one, or at which this host
        learned that the store came back from an older copy.
    era : int or None
        Newest era of the store that this host knows; see `Position`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unreachable_since: Instant | None = None
        self.failed_at: Instant | None = None
        self.recovered_at: Instant | None = None
        self.era: int | None = None
        self._regained = asyncio.Event()
        self._restored = asyncio.Event()
        self._restored_era = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call failed."""
        return self._unreachable_since is not None

    def record_success(self) -> None:
        """Record that a call was answered."""
        now = self._clock.now()
        if self._unreachable_since is not None:
            logger.info(
                "store regained",
                extra={"lost_ms": now.mono_ms - self._unreachable_since.mono_ms},
            )
            self._unreachable_since = None
            self.recovered_at = now
            self._notify_waiting()

    def note_era(self, era: int) -> None:
        """Record the era of an answer of the store, or of a peer's copy of it."""
        known, self.era = self.era, max(era, self.era or 0)
        if known is None or era <= known:
            return
        logger.warning(
            "knowledge of an earlier era of the store is checked",
            extra={"era": era, "era_before": known},
        )
        self.recovered_at = self._clock.now()
        self._notify_waiting()
        self._restored_era = era
        self._restored.set()
        self._restored = asyncio.Event()

    def _notify_waiting(self) -> None:
        self._regained.set()
        self._regained = asyncio.Event()

    async def wait_until_regained(self) -> None:
        """Wait for an answer after a failed call, or for a new era."""
        await self._regained.wait()

    async def wait_until_restored(self, known_era: int) -> int:
        """Wait until the store came back from an older copy; return the new era.

        Parameters
        ----------
        known_era : int
            Result of the last call; 0 at first. A return since then is not missed.
        """
        while self._restored_era <= known_era:
            await self._restored.wait()
        return self._restored_era

    def record_failure(self, topic: str, failure: StoreFailure) -> None:
        """Record that a call failed."""
        now = self._clock.now()
        self.failed_at = now
        if self._unreachable_since is None:
            self._unreachable_since = now
            logger.warning(
                "store lost",
                extra={"topic": topic, "reason": describe_failure(failure)},
            )


class Follower:
    """Reads the topics of the store and passes on their changes.

    Parameters
    ----------
    replicas : dict
        Replica of each topic; updated by the reads.
    apply_change : callable
        Called with a topic and its change.
    is_reader : callable
        Returns whether this host reads the upstreams' registrations from the store. The
        other hosts fetch changes from those that do.
    find_operator_wait_ms : callable
        Returns how long a read of the operator's topic may wait for a change now; None
        if a relay passes on the changes.
    """

    def __init__(
        self,
        store: Store,
        replicas: dict[str, Replica],
        store_health: StoreHealth,
        clock: Clock,
        apply_change: Callable[[str, Change], None],
        is_reader: Callable[[], bool],
        find_operator_wait_ms: Callable[[], int | None],
    ) -> None:
        self._store = store
        self._replicas = replicas
        self._store_health = store_health
        self._clock = clock
        self._apply_change = apply_change
        self._is_reader = is_reader
        self._find_operator_wait_ms = find_operator_wait_ms

    async def follow(self, topic: str, wait_ms: int, interval_s: float) -> None:
        """Read a topic repeatedly until cancelled.

        Parameters
        ----------
        wait_ms : int
            Time for which the store may wait for a new record before it answers.
        interval_s : float
            Pause after a read that succeeded.
        """
        while True:
            if await self.read(topic, wait_ms):
                await asyncio.sleep(interval_s)
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def follow_operator(self) -> None:
        """Follow the operator's topic with long polls, unless a relay passes it on.

        A long poll whose answer was lost stays open until its timeout. So another one
        replaces it when the store answers other calls again after a failed one, and
        when other hosts no longer vouch for the copy.
        """
        while True:
            wait_ms = self._find_operator_wait_ms()
            if wait_ms is None and self._replicas[Topic.OPERATOR].is_loaded:
                await asyncio.sleep(COVERAGE_CHECK_S)
                continue
            poll = asyncio.ensure_future(self.read(Topic.OPERATOR, wait_ms or 0))
            regained = asyncio.ensure_future(self._store_health.wait_until_regained())
            try:
                reason = await self._wait_for_poll(poll, regained, wait_ms or 0)
                if reason is not None:
                    logger.info("long poll restarted", extra={"reason": reason})
                    continue
                interval_s = MIN_READ_INTERVAL_S if poll.result() else RETRY_INTERVAL_S
            finally:
                poll.cancel()
                regained.cancel()
            await asyncio.sleep(interval_s)

    async def _wait_for_poll(
        self, poll: asyncio.Future[bool], regained: asyncio.Future[None], wait_ms: int
    ) -> str | None:
        """Wait for a long poll; return why another one is to replace it, if one is."""
        events: set[asyncio.Future[Any]] = {poll, regained}
        while True:
            await asyncio.wait(
                events, timeout=COVERAGE_CHECK_S, return_when="FIRST_COMPLETED"
            )
            if poll.done():
                return None
            if regained.done():
                return "store regained"
            needed_ms = self._find_operator_wait_ms()
            if needed_ms is not None and needed_ms < wait_ms:
                return "no host vouches for the copy"

    async def follow_upstreams(self) -> None:
        """Follow the upstreams' registrations, if this host is to read them.

        Any other host reads them from the store until it has a copy.
        """
        while True:
            if self._is_reader() or not self._replicas[Topic.UPSTREAMS].is_loaded:
                await self.read(Topic.UPSTREAMS, 0)
            await asyncio.sleep(UPSTREAMS_INTERVAL_S)

    async def follow_hosts(self) -> None:
        """Follow the list of hosts."""
        # Hosts start together, and the first read misses those that register later.
        await self.read(Topic.HOSTS, 0)
        await asyncio.sleep(HOSTS_SECOND_READ_S)
        await self.follow(Topic.HOSTS, 0, HOSTS_INTERVAL_S)

    async def read(self, topic: str, wait_ms: int) -> bool:
        """Read the new records of a topic once; return whether the store answered."""
        replica = self._replicas[topic]
        if not replica.is_loaded:
            return await self._read_listing(topic)
        known = replica.position
        read = await self._store.read_keyed(topic, known.offset, wait_ms)
        if isinstance(read, Err):
            match read.err_value:
                case HistoryGone(first_offset):
                    logger.info(
                        "store no longer has the next records; listing the topic again",
                        extra={"topic": topic, "first_offset": first_offset},
                    )
                    return await self._read_listing(topic)
                case failure:
                    self._store_health.record_failure(topic, failure)
                    return False
        page = read.ok_value
        if page.era > known.era:
            # The records at these offsets are others than those of the known era.
            return await self._read_listing(topic)
        if page.era < known.era or replica.position.era > known.era:
            # A peer's listing of a newer era was applied, or the answer comes late.
            return True
        self._mark_confirmed(replica)
        self._apply_change(topic, replica.apply_records(page))
        return True

    async def _read_listing(self, topic: str) -> bool:
        replica = self._replicas[topic]
        read = await self._store.read_newest(topic)
        if isinstance(read, Err):
            self._store_health.record_failure(topic, read.err_value)
            return False
        page = read.ok_value
        if page.era < replica.position.era:
            return True
        self._store_health.note_era(page.era)
        self._mark_confirmed(replica)
        self._apply_change(topic, replica.apply_listing(page))
        return True

    def _mark_confirmed(self, replica: Replica) -> None:
        replica.confirmed_ms = self._clock.now().mono_ms
        self._store_health.record_success()
