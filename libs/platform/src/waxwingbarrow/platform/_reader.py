"""Reader of one log stream."""

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

Watcher = Callable[[int], None]


@attrs.frozen
class ReaderPolicy:
    """Sizes and times of reading.

    Parameters
    ----------
    page_limit : int
        Entries per read.
    wait_ms : int
        Duration of a long poll.
    retry_first_ms, retry_max_ms : int
        Bounds of the delay after a failed read.
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
        The log.
    stream : str
        Name of the stream.
    on_entries : callable
        Gets consecutive entries. An error it raises ends `run`.
    on_expired : callable
        Gets the offset that was to be read and the offset at which reading goes on,
        when the entries between them are lost to retention.
    clock : Clock
        Source of the present time.
    rng : random.Random
        Source of the jitter.
    start_offset : int
        First offset to deliver.
    policy : ReaderPolicy
        Sizes and times.
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
        self._watchers: dict[str, list[Watcher]] = {}
        self._advanced = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to deliver."""
        return self._next_offset

    @property
    def first_offset(self) -> int:
        """Oldest offset that the log held at the last successful read."""
        return self._first_offset

    @property
    def lag(self) -> int | None:
        """Entries between the reader and the tail, or None before the first read."""
        if self._tail_offset is None:
            return None
        return max(0, self._tail_offset - self._next_offset)

    @property
    def last_tail_read(self) -> Instant | None:
        """Start of the last read after which the reader was at the tail."""
        return self._last_tail_read

    @property
    def last_failure(self) -> LogFailure | None:
        """Failure of the last read, or None if it succeeded."""
        return self._last_failure

    def watch(self, record_id: str, watcher: Watcher) -> Callable[[], None]:
        """Call `watcher` with the offset when a record with this id is delivered.

        Returns
        -------
        callable
            Ends the watch.
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
            answer = await self._client.read(
                self._stream,
                self._next_offset,
                self._policy.page_limit,
                self._policy.wait_ms,
            )
            failure = self._take_answer(answer, started)
            if failure is None:
                if self._last_failure is not None:
                    logger.info("log: Reading %s again.", self._stream)
                backoff.reset()
            elif self._last_failure is None:
                logger.warning("log: Reading %s failed: %s", self._stream, failure)
            self._last_failure = failure
            if failure is not None:
                await asyncio.sleep(backoff.next_delay_s())

    async def read_to_tail(self, deadline_mono_ms: int) -> Result[int, LogFailure]:
        """Wait until everything is delivered that the log held after this call began.

        Parameters
        ----------
        deadline_mono_ms : int
            Limit on the monotonic clock.

        Returns
        -------
        Result
            The tail offset, all entries below which are delivered; or the last failure.
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
                            target = page.next_offset
                            break
                        case Err(failure):
                            await asyncio.sleep(backoff.next_delay_s())
                failure = NotSent("The deadline passed before the tail was reached")
                while self._next_offset < target:
                    await self._advanced.wait()
                return Ok(target)
        except TimeoutError:
            return Err(failure)

    def _make_backoff(self) -> Backoff:
        policy = self._policy
        return Backoff(self._rng, policy.retry_first_ms, policy.retry_max_ms)

    def _compute_remaining_s(self, deadline_mono_ms: int) -> float:
        return max(0, deadline_mono_ms - self._clock.now().mono_ms) / 1000

    def _take_answer(
        self, answer: Result[LogPage, LogFailure], started: Instant
    ) -> LogFailure | None:
        match answer:
            case Ok(page):
                return self._take_page(page, started)
            case Err(Expired(first_offset)) if first_offset > self._next_offset:
                self._skip_expired(first_offset)
                return None
            case Err(failure):
                return failure

    def _take_page(self, page: LogPage, started: Instant) -> LogFailure | None:
        if page.first_offset > self._next_offset:
            self._skip_expired(page.first_offset)
        if page.next_offset < self._next_offset:
            # Seen when a lagging replica answers; its page must not move the tail back.
            return NotSent(f"The page ends at {page.next_offset}, before the reader")
        entries = tuple(e for e in page.entries if e.offset >= self._next_offset)
        expected = range(self._next_offset, self._next_offset + len(entries))
        if [e.offset for e in entries] != list(expected):
            return NotSent("The page has a gap or is out of order")
        if not entries and page.next_offset > self._next_offset:
            return NotSent("The page lacks entries that it announces")
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
                # The first copy of a record counts; later ones are ignored.
                for watcher in self._watchers.pop(record_id, ()):
                    watcher(entry.offset)
        self._signal_advance()

    def _skip_expired(self, first_offset: int) -> None:
        logger.warning(
            "log: Entries %d to %d of %s have expired.",
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
