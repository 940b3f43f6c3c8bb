"""Calls that move a run from its engine to another one, and what they have done.

The call stops the run at its source, which closes the connection of its stream before
the response arrives. The response alone tells whether the run has been stopped and
where it goes on.
"""

import asyncio
from collections.abc import Callable

import attrs
from result import Err

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.base import (
    Codec,
    MemoryBudget,
    MoveState,
    write_request_head,
)
from waxwingbarrow.gateway.upstreams import (
    ChannelError,
    ChannelPool,
    ConnectError,
    Moved,
    Upstream,
)

# Copying the memory of the largest prompts takes about 10 ms, but other copies may be
# ahead of it in the queue.
MOVE_TIMEOUT_S = 1.0
# A call without a response is repeated until then. Callers leave a stream after a gap
# of two seconds.
MAX_REPEAT_MS = 1_800
# Time before the first repetition; doubled before each further one.
REPEAT_DELAY_S = 0.05


@attrs.frozen
class NotStopped:
    """The run goes on at its source, or had come to its own end before."""

    reason: str


@attrs.frozen
class InDoubt:
    """The run may have been stopped, and nothing names a copy of its memory."""

    reason: str


MoveOutcome = Moved | NotStopped | InDoubt


class MoveCaller:
    """Calls the source of a run until it is known what became of the run."""

    def __init__(self, codec: Codec, clock: Clock, memory: MemoryBudget) -> None:
        self._codec = codec
        self._clock = clock
        self._memory = memory

    async def move(
        self,
        request_id: str,
        source: Upstream,
        target: Upstream,
        note_sent: Callable[[], None],
        is_repeated: Callable[[], bool],
    ) -> MoveOutcome:
        """Move a run, and return where it goes on.

        Parameters
        ----------
        note_sent : callable
            Called before a call is sent; before that it cannot have stopped the run.
        is_repeated : callable
            Returns whether to call again after a response was lost. The source then
            names the copy that the lost call has made.
        """
        until_ms = self._clock.now().mono_ms + MAX_REPEAT_MS
        delay_s = REPEAT_DELAY_S
        doubts: list[str] = []
        while True:
            left_s = (until_ms - self._clock.now().mono_ms) / 1000
            timeout_s = min(MOVE_TIMEOUT_S, left_s)
            outcome = await self._call(request_id, source, target, note_sent, timeout_s)
            match outcome:
                case Moved():
                    return outcome
                case NotStopped(reason):
                    if not doubts:
                        return outcome
                    # An earlier call may have stopped the run, which is then unknown.
                    return InDoubt("; ".join([*doubts, reason]))
                case InDoubt(reason):
                    doubts.append(reason)
            now_ms = self._clock.now().mono_ms
            if now_ms + 1000 * delay_s >= until_ms or not is_repeated():
                return InDoubt("; ".join(doubts))
            await asyncio.sleep(delay_s)
            delay_s *= 2

    async def _call(
        self,
        request_id: str,
        source: Upstream,
        target: Upstream,
        note_sent: Callable[[], None],
        timeout_s: float,
    ) -> MoveOutcome:
        path, headers, body = self._codec.write_move(request_id, target.entry.address)
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        request = write_request_head(b"POST", path, headers) + body
        # Uses a pool of its own, as the pool of an upstream is closed when its
        # registration is removed.
        pool = ChannelPool(source.entry.host, source.entry.port, memory=self._memory)
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s):
                channel = await pool.acquire(self._clock.now().mono_ms / 1000)
                try:
                    note_sent()
                    is_sent = True
                    channel.send(request, lambda head: True)
                    head = await channel.read_head()
                    response_body = await channel.read_body()
                finally:
                    channel.close()
        except ConnectError as error:
            return NotStopped(repr(error))
        except (ChannelError, TimeoutError) as error:
            return InDoubt(repr(error)) if is_sent else NotStopped(repr(error))
        decoded = self._codec.read_move(head.status, response_body)
        if isinstance(decoded, Err):
            return InDoubt(decoded.err_value.reason)
        state, copy_name = decoded.ok_value
        match state:
            case MoveState.NO_RUN:
                return NotStopped(state.value)
            case MoveState.COPIED:
                destination = target
            case MoveState.STOPPED:
                # The run continues at the source, which keeps its memory.
                destination = source
        return Moved(destination, f"{source.entry.address}/{copy_name}")
