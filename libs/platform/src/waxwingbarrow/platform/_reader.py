"""Ordered, exactly-once reader of one log stream."""

import asyncio
import logging
import random
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.platform._backoff import Backoff
from waxwingbarrow.platform._failures import Expired, LogFailure, NotSent
from waxwingbarrow.platform._log import LogClient, LogPage, RawEntry

logger = logging.getLogger(__name__)

OffsetCallback = Callable[[int], None]


@attrs.frozen
class ReaderPolicy:
    """Page size, long-poll duration and retry delays of a reader.

    Parameters
    ----------
    page_limit : int
        Maximum number of entries per read.
    wait_ms : int
        Longest time that the log holds a read open when there is no new entry.
    retry_first_ms, retry_max_ms : int
        First and longest delay after a failed read, before jitter.
    """

    page_limit: int = 500
    wait_ms: int = 5_000
    retry_first_ms: int = 50
    retry_max_ms: int = 2_000


class LogReader:
    """Delivers the entries of one stream in order, each exactly once.

    Parameters
    ----------
    client : LogClient
        Log to read from.
    stream : str
        Name of the stream.
    on_entries : callable
        Called with consecutive entries. An exception that it raises ends `run`.
    on_expired : callable
        Called when retention removed entries before they were read, with the offset
        of the first lost entry and the offset at which reading resumes.
    clock : Clock
        Clock for deadlines and read times.
    rng : random.Random
        Random source for the jitter of retry delays.
    start_offset : int
        First offset to deliver.
    policy : ReaderPolicy or None
        Page size and delays; the defaults if None.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        on_entries: Callable[[tuple[RawEntry, ...]], None],
        on_expired: Callable[[int, int], None],
        clock: Clock,
        rng: random.Random,
        start_offset: int = 0,
        policy: ReaderPolicy | None = None,
    ) -> None:
        self._client = client
        self._stream = stream
        self._on_entries = on_entries
        self._on_expired = on_expired
        self._clock = clock
        self._rng = rng
        self._policy = policy or ReaderPolicy()
        self._next_offset = start_offset
        self._first_offset = 0
        self._tail_offset: int | None = None
        self._last_tail_read: Instant | None = None
        self._last_failure: LogFailure | None = None
        self._watchers: dict[str, list[OffsetCallback]] = {}
        self._advanced = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to deliver."""
        return self._next_offset

    @property
    def first_offset(self) -> int:
        """Oldest offset that the log still held at the last successful read."""
        return self._first_offset

    @property
    def lag_entries(self) -> int | None:
        """Number of entries still to read up to the tail, or None before any read."""
        if self._tail_offset is None:
            return None
        return max(0, self._tail_offset - self._next_offset)

    @property
    def last_tail_read(self) -> Instant | None:
        """Start time of the last read that reached the tail, or None if none has."""
        return self._last_tail_read

    @property
    def last_failure(self) -> LogFailure | None:
        """Failure of the last read, or None if it succeeded."""
        return self._last_failure

    def watch(self, record_id: str, watcher: OffsetCallback) -> Callable[[], None]:
        """Call `watcher` with the offset when a record with this id is first delivered.

        Returns
        -------
        callable
            Function that cancels the watch.
        """
        watchers = self._watchers.setdefault(record_id, [])
        watchers.append(watcher)

        def end_watch() -> None:
            if watcher in watchers:
                watchers.remove(watcher)
            if not watchers and self._watchers.get(record_id) is watchers:
                del self._watchers[record_id]

        return end_watch

    async def run(self) -> None:
        """Read until cancelled."""
        backoff = self._make_backoff()
        while True:
            started = self._clock.now()
            result = await self._client.read(
                self._stream,
                self._next_offset,
                self._policy.page_limit,
                self._policy.wait_ms,
            )
            failure = self._handle_read_result(result, started)
            if failure is None:
                if self._last_failure is not None:
                    logger.info("log: Reading stream %s succeeded again.", self._stream)
                backoff.reset()
            elif self._last_failure is None:
                logger.warning(
                    "log: Reading stream %s failed: %s", self._stream, failure
                )
            self._last_failure = failure
            if failure is not None:
                await asyncio.sleep(backoff.next_delay_s())

    async def read_to_tail(self, deadline_mono_ms: int) -> Result[int, LogFailure]:
        """Wait until the reader has delivered every entry that the log holds now.

        The tail is read after the call begins, so entries appended before the call are
        included.

        Parameters
        ----------
        deadline_mono_ms : int
            Deadline on the monotonic clock.

        Returns
        -------
        Result
            The tail offset, below which every entry is delivered, or the last failure.
        """
        failure: LogFailure = NotSent("The deadline passed before the tail was read")
        try:
            async with asyncio.timeout(self._compute_remaining_s(deadline_mono_ms)):
                backoff = self._make_backoff()
                while True:
                    match await self._client.read(
                        self._stream, self._next_offset, 1, 0
                    ):
                        case Ok(page):
                            target_offset = page.next_offset
                            break
                        case Err(failure):
                            await asyncio.sleep(backoff.next_delay_s())
                failure = NotSent("The deadline passed before the tail was reached")
                while self._next_offset < target_offset:
                    await self._advanced.wait()
                return Ok(target_offset)
        except TimeoutError:
            return Err(failure)

    def _make_backoff(self) -> Backoff:
        policy = self._policy
        return Backoff(self._rng, policy.retry_first_ms, policy.retry_max_ms)

    def _compute_remaining_s(self, deadline_mono_ms: int) -> float:
        return max(0, deadline_mono_ms - self._clock.now().mono_ms) / 1000

    def _handle_read_result(
        self, result: Result[LogPage, LogFailure], started: Instant
    ) -> LogFailure | None:
        match result:
            case Ok(page):
                return self._handle_page(page, started)
            case Err(Expired(first_offset)) if first_offset > self._next_offset:
                self._skip_expired(first_offset)
                return None
            case Err(failure):
                return failure

    def _handle_page(self, page: LogPage, started: Instant) -> LogFailure | None:
        if page.first_offset > self._next_offset:
            self._skip_expired(page.first_offset)
        if page.next_offset < self._next_offset:
            # A lagging replica returned the page; it must not move the tail back.
            return NotSent(
                f"The page ends at offset {page.next_offset}, behind the reader"
            )
        entries = tuple(e for e in page.entries if e.offset >= self._next_offset)
        expected = range(self._next_offset, self._next_offset + len(entries))
        if [e.offset for e in entries] != list(expected):
            return NotSent("The entries of the page are not consecutive")
        if not entries and page.next_offset > self._next_offset:
            return NotSent(
                "The page has no entries although the tail is ahead of the reader"
            )
        self._first_offset = max(self._first_offset, page.first_offset)
        self._tail_offset = max(page.next_offset, self._tail_offset or 0)
        self._deliver(entries)
        if self._next_offset >= page.next_offset:
            self._last_tail_read = started
        return None

    def _deliver(self, entries: tuple[RawEntry, ...]) -> None:
        if not entries:
            return
        self._next_offset = entries[-1].offset + 1
        self._on_entries(entries)
        for entry in entries:
            record_id = entry.record.get("record_id")
            if isinstance(record_id, str):
                # Only the first copy of a record counts: the log may store one twice.
                for watcher in self._watchers.pop(record_id, ()):
                    watcher(entry.offset)
        self._signal_advance()

    def _skip_expired(self, first_offset: int) -> None:
        logger.warning(
            "log: Entries %d to %d of stream %s expired before they were read.",
            self._next_offset,
            first_offset - 1,
            self._stream,
        )
        expired_offset, self._next_offset = self._next_offset, first_offset
        self._first_offset = first_offset
        self._on_expired(expired_offset, first_offset)
        self._signal_advance()

    def _signal_advance(self) -> None:
        self._advanced.set()
        self._advanced = asyncio.Event()
