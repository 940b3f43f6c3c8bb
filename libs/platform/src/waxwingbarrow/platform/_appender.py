"""Batched appends to one log stream in which no record is stored twice."""

import asyncio
import enum
import json
import logging
import random
from collections import deque
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.platform._backoff import Backoff
from waxwingbarrow.platform._failures import (
    LogFailure,
    LogRejected,
    NotSent,
    Unsettled,
)
from waxwingbarrow.platform._log import JsonRecord, LogClient
from waxwingbarrow.platform._reader import LogReader

logger = logging.getLogger(__name__)


@attrs.frozen
class AppenderPolicy:
    """Batch limits and retry delays of an appender.

    Parameters
    ----------
    max_records, max_bytes : int
        Limits of one batch.
    retry_first_ms, retry_max_ms : int
        First and longest delay, before jitter, after an append that certainly did not
        take effect.
    min_retry_time_ms : int
        A record is not sent again with less than this left until its deadline.
    """

    max_records: int = 500
    max_bytes: int = 512 * 1024
    retry_first_ms: int = 20
    retry_max_ms: int = 1_000
    min_retry_time_ms: int = 50


# A record is sent again only if this many times the longest recent answer is left
# until its deadline. A retry in flight at the deadline has an unknown outcome.
RETRY_TIME_FACTOR = 2.0
# Weight with which the longest recent answer decays towards a shorter one.
ANSWER_TIME_DECAY = 0.2


class _State(enum.Enum):
    """Whether a record waits in the queue or is part of an append."""

    QUEUED = enum.auto()
    SENT = enum.auto()


@attrs.define(eq=False)
class _Pending:
    """Record whose caller waits for the result of the append.

    Parameters
    ----------
    done : asyncio.Future
        Result for the caller; cancelled when the caller no longer waits.
    alone : bool
        Whether to send the record in an append of its own.
    failure : NotSent, LogRejected, Unsettled or None
        Failure of the last append that contained the record.
    """

    record: JsonRecord
    size_bytes: int
    deadline_mono_ms: int
    done: asyncio.Future[Result[int, LogFailure]]
    state: _State = _State.QUEUED
    alone: bool = False
    failure: NotSent | LogRejected | Unsettled | None = None

    def resolve(self, result: Result[int, LogFailure]) -> None:
        if not self.done.done():
            self.done.set_result(result)


class LogAppender:
    """Appends records in batches, with one append in flight at a time.

    A record is sent again only if the earlier append certainly did not take effect.
    After an append of unknown outcome the record is not sent again; the appender waits
    for the reader to deliver an entry with its id.

    Parameters
    ----------
    client : LogClient
        Log to append to.
    stream : str
        Name of the stream.
    reader : LogReader
        Running reader of the same stream.
    clock : Clock
        Clock for deadlines.
    rng : random.Random
        Random source for the jitter of retry delays.
    policy : AppenderPolicy or None
        Batch limits and delays; the defaults if None.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        reader: LogReader,
        clock: Clock,
        rng: random.Random,
        policy: AppenderPolicy | None = None,
    ) -> None:
        self._client = client
        self._stream = stream
        self._reader = reader
        self._clock = clock
        self._policy = policy or AppenderPolicy()
        self._backoff = Backoff(
            rng, self._policy.retry_first_ms, self._policy.retry_max_ms
        )
        self._queue: deque[_Pending] = deque()
        self._record_queued = asyncio.Event()
        self._answer_ms = 0.0

    @property
    def queued_count(self) -> int:
        """Number of records that wait to be sent."""
        return len(self._queue)

    async def append(
        self, record: JsonRecord, deadline_mono_ms: int
    ) -> Result[int, LogFailure]:
        """Append one record.

        Cancelling the call withdraws the record if it has not been sent yet.

        Parameters
        ----------
        record : dict
            JSON-serialisable record with a unique string under ``record_id``.
        deadline_mono_ms : int
            Deadline on the monotonic clock.

        Returns
        -------
        Result
            The record's offset. ``NotSent`` and ``LogRejected`` mean that the record is
            not in the log and never will be; ``Unsettled`` means that it may still
            appear.
        """
        size_bytes = len(json.dumps(record))
        if size_bytes > self._policy.max_bytes:
            return Err(LogRejected(413, f"the record has {size_bytes} bytes"))
        pending = _Pending(
            record,
            size_bytes,
            deadline_mono_ms,
            asyncio.get_running_loop().create_future(),
        )
        end_watch = self._reader.watch(
            record["record_id"], lambda offset: pending.resolve(Ok(offset))
        )
        self._queue.append(pending)
        self._record_queued.set()
        remaining_ms = max(0, deadline_mono_ms - self._clock.now().mono_ms)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await pending.done
        except TimeoutError:
            return Err(_describe_timeout(pending))
        finally:
            end_watch()
            if pending.state is _State.QUEUED and pending in self._queue:
                self._queue.remove(pending)
            # A cancelled future keeps a retry from sending a record that nobody awaits.
            pending.done.cancel()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._record_queued.wait()
            self._record_queued.clear()
            while batch := self._dequeue_batch(self._clock.now()):
                await self._send_batch(batch)

    def _dequeue_batch(self, now: Instant) -> list[_Pending]:
        batch: list[_Pending] = []
        size_bytes = 0
        while self._queue and len(batch) < self._policy.max_records:
            pending = self._queue[0]
            if pending.done.done():
                self._queue.popleft()
                continue
            if pending.failure is not None and not self._has_retry_time(pending, now):
                self._queue.popleft()
                pending.resolve(Err(NotSent(pending.failure.reason)))
                continue
            size_bytes += pending.size_bytes
            if batch and (size_bytes > self._policy.max_bytes or pending.alone):
                break
            batch.append(self._queue.popleft())
            if pending.alone:
                break
        return batch

    def _has_retry_time(self, pending: _Pending, now: Instant) -> bool:
        """Whether an answer to a retry can be expected before the deadline."""
        required_ms = max(
            self._policy.min_retry_time_ms, RETRY_TIME_FACTOR * self._answer_ms
        )
        return pending.deadline_mono_ms - now.mono_ms >= required_ms

    def _note_answer(self, sent_at: Instant, now: Instant) -> None:
        elapsed_ms = now.mono_ms - sent_at.mono_ms
        decayed_ms = self._answer_ms + ANSWER_TIME_DECAY * (
            elapsed_ms - self._answer_ms
        )
        self._answer_ms = max(elapsed_ms, decayed_ms)

    async def _send_batch(self, batch: list[_Pending]) -> None:
        for pending in batch:
            pending.state = _State.SENT
        sent_at = self._clock.now()
        outcome = await self._client.append(self._stream, [p.record for p in batch])
        # Without an answer the time says only how long the client waits.
        if not isinstance(outcome.err(), Unsettled):
            self._note_answer(sent_at, self._clock.now())
        match outcome:
            case Ok(first_offset):
                self._backoff.reset()
                for index, pending in enumerate(batch):
                    pending.resolve(Ok(first_offset + index))
            case Err(NotSent() as failure):
                self._requeue(batch, failure)
                await asyncio.sleep(
                    max(self._backoff.next_delay_s(), failure.retry_after_s or 0)
                )
            case Err(LogRejected() as failure) if len(batch) > 1:
                # One invalid record must not fail the others. A rejected append
                # certainly did not take effect, so each record may be sent on its own.
                logger.warning(
                    "log: %s Sending each record in an append of its own.",
                    failure.detail,
                )
                for pending in batch:
                    pending.alone = True
                self._requeue(batch, failure)
            case Err(LogRejected() as failure):
                batch[0].resolve(Err(failure))
            case Err(failure):
                logger.warning(
                    "log: The outcome of an append of %d records is unknown: %s",
                    len(batch),
                    failure.detail,
                )
                for pending in batch:
                    if isinstance(failure, Unsettled):
                        pending.failure = failure

    def _requeue(
        self, batch: Iterable[_Pending], failure: NotSent | LogRejected
    ) -> None:
        unresolved = [pending for pending in batch if not pending.done.done()]
        for pending in unresolved:
            pending.state = _State.QUEUED
            pending.failure = failure
        self._queue.extendleft(reversed(unresolved))


def _describe_timeout(pending: _Pending) -> LogFailure:
    match pending:
        case _Pending(state=_State.QUEUED, failure=None):
            return NotSent("the deadline passed before the append was sent")
        case _Pending(state=_State.QUEUED, failure=failure):
            assert failure is not None
            return NotSent(failure.reason)
        case _Pending(failure=Unsettled(reason=reason)):
            return Unsettled(reason)
        case _:
            return Unsettled("the deadline passed before the answer")
