"""Batched appends to one log stream."""

import asyncio
import enum
import json
import logging
import random
from collections import deque
from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Clock
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
    """Sizes and times of appending.

    Parameters
    ----------
    max_records, max_bytes : int
        Limits of one append.
    retry_first_ms, retry_max_ms : int
        Bounds of the delay after an append that is certainly not in effect.
    """

    max_records: int = 500
    max_bytes: int = 512 * 1024
    retry_first_ms: int = 20
    retry_max_ms: int = 1_000


class _State(enum.Enum):
    QUEUED = enum.auto()
    SENT = enum.auto()


@attrs.define(eq=False)
class _Pending:
    record: JsonRecord
    size_bytes: int
    done: asyncio.Future[Result[int, LogFailure]]
    state: _State = _State.QUEUED
    alone: bool = False
    failure: LogFailure | None = None

    def resolve(self, answer: Result[int, LogFailure]) -> None:
        if not self.done.done():
            self.done.set_result(answer)


class LogAppender:
    """Appends records in batches, one append in flight.

    A record is sent again only if the earlier append is certainly not in effect. After
    an unsettled append the record is only looked for, by its id, in what the reader
    delivers.

    Parameters
    ----------
    client : LogClient
        The log.
    stream : str
        Name of the stream.
    reader : LogReader
        Running reader of the same stream.
    clock : Clock
        Source of the present time.
    rng : random.Random
        Source of the jitter.
    policy : AppenderPolicy
        Sizes and times.
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
        self._arrived = asyncio.Event()

    @property
    def queued(self) -> int:
        """Number of records that wait for an append."""
        return len(self._queue)

    async def append(
        self, record: JsonRecord, deadline_mono_ms: int
    ) -> Result[int, LogFailure]:
        """Append one record.

        A cancelled call withdraws the record if it was not sent yet.

        Parameters
        ----------
        record : dict
            JSON-ready record with a unique text under ``record_id``.
        deadline_mono_ms : int
            Limit on the monotonic clock.

        Returns
        -------
        Result
            The record's offset. ``NotSent`` and ``LogRejected`` mean that the record is
            not in the log and never will be; ``Unsettled`` that it may still appear.
        """
        size_bytes = len(json.dumps(record))
        if size_bytes > self._policy.max_bytes:
            return Err(LogRejected(413, f"the record has {size_bytes} bytes"))
        pending = _Pending(
            record, size_bytes, asyncio.get_running_loop().create_future()
        )
        end_watch = self._reader.watch(
            record["record_id"], lambda offset: pending.resolve(Ok(offset))
        )
        self._queue.append(pending)
        self._arrived.set()
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
            # A future that nobody awaits any more must not be sent by a retry.
            pending.done.cancel()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            while batch := self._take_batch():
                await self._send_batch(batch)

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size_bytes = 0
        while self._queue and len(batch) < self._policy.max_records:
            pending = self._queue[0]
            if pending.done.done():
                self._queue.popleft()
                continue
            size_bytes += pending.size_bytes
            if batch and (size_bytes > self._policy.max_bytes or pending.alone):
                break
            batch.append(self._queue.popleft())
            if pending.alone:
                break
        return batch

    async def _send_batch(self, batch: list[_Pending]) -> None:
        for pending in batch:
            pending.state = _State.SENT
        match await self._client.append(self._stream, [p.record for p in batch]):
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
                # One bad record must not fail the others. A rejected append is
                # certainly not in effect, so each record may be sent by itself.
                logger.warning("log: %s Sending the records singly.", failure.detail)
                for pending in batch:
                    pending.alone = True
                self._requeue(batch, failure)
            case Err(LogRejected() as failure):
                batch[0].resolve(Err(failure))
            case Err(failure):
                logger.warning(
                    "log: An append of %d records is unsettled: %s",
                    len(batch),
                    failure.detail,
                )
                for pending in batch:
                    pending.failure = failure

    def _requeue(self, batch: Iterable[_Pending], failure: LogFailure) -> None:
        waiting = [pending for pending in batch if not pending.done.done()]
        for pending in waiting:
            pending.state = _State.QUEUED
            pending.failure = failure
        self._queue.extendleft(reversed(waiting))


def _describe_timeout(pending: _Pending) -> LogFailure:
    match pending:
        case _Pending(state=_State.QUEUED, failure=None):
            return NotSent("the deadline passed before the append was sent")
        case _Pending(state=_State.QUEUED, failure=failure):
            assert failure is not None
            return NotSent(failure.detail)
        case _Pending(failure=None):
            return Unsettled("the deadline passed before the answer")
        case _:
            assert pending.failure is not None
            return Unsettled(pending.failure.detail)
