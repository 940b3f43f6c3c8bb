"""Records of blocked prompt parts in the store.

Hosts tell each other of blocked parts, but when all of them restart at once each would
learn of a part anew, from further crashes.
"""

import asyncio
import logging

import msgspec
from result import Err, Result

from waxwingbarrow.core import Clock
from waxwingbarrow.gateway.base import (
    BoundedInt,
    KeyedPage,
    KeyedRecord,
    Store,
    StoreFailure,
    Topic,
    decode_json,
    describe_failure,
)
from waxwingbarrow.gateway.upstreams._crash_tracker import CrashTracker, PartLosses

logger = logging.getLogger("waxwingbarrow.gateway.crashes")

RETRY_INTERVAL_S = 0.5


class _Record(msgspec.Struct):
    """Value of a record.

    Parameters
    ----------
    recorded_ms : int
        Wall time at which it was written, to which the age in `losses` refers.
    """

    recorded_ms: BoundedInt
    losses: PartLosses


class CrashRecorder:
    """Reads the blocked parts when the host starts, and records those that it blocks.

    Only the host that has seen the crash that led to the block records it.
    """

    def __init__(self, store: Store, tracker: CrashTracker, clock: Clock) -> None:
        self._store = store
        self._tracker = tracker
        self._clock = clock
        self._changed = asyncio.Event()
        # Value of the last record for each part, to write it again if the store loses
        # it; empty for a part that is no longer blocked.
        self._recorded: dict[str, bytes] = {}
        tracker.on_block_changed = self._changed.set

    async def run(self) -> None:
        """Restore and record blocked parts until cancelled."""
        while not self._restore(await self._store.read_newest(Topic.CRASHES)):
            await asyncio.sleep(RETRY_INTERVAL_S)
        while True:
            await self._changed.wait()
            self._changed.clear()
            for part, losses in self._tracker.take_unrecorded(self._clock.now()):
                await self._write(part, losses)

    async def record_again(self) -> bool:
        """Write the records of this host once more; return whether the store took them.

        Called when the store came back from an older copy. A record that is not lost is
        replaced by the same one.
        """
        for part, value in list(self._recorded.items()):
            if not await self._write_value(part, value):
                return False
        return True

    def _restore(self, read: Result[KeyedPage, StoreFailure]) -> bool:
        """Apply the records; return whether the store answered."""
        if isinstance(read, Err):
            return False
        for record in read.ok_value.records:
            self._apply(record)
        return True

    def _apply(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        now = self._clock.now()
        decoded = decode_json(record.value, _Record)
        if isinstance(decoded, Err):
            logger.warning(
                "unreadable record",
                extra={"key": record.key, "reason": decoded.err_value.reason},
            )
            return
        restored = decoded.ok_value
        part, depth, age_ms, lost, cleared = restored.losses
        age_ms += max(now.wall_ms - restored.recorded_ms, 0)
        self._tracker.update_from_peer([], [(part, depth, age_ms, lost, cleared)], now)

    async def _write(self, part: str, losses: PartLosses | None) -> None:
        """Record a part that is blocked, or remove the record of one that is not."""
        value = b""
        if losses is not None:
            value = msgspec.json.encode(_Record(self._clock.now().wall_ms, losses))
        self._recorded[part] = value
        await self._write_value(part, value)

    async def _write_value(self, part: str, value: bytes) -> bool:
        written = await self._store.write_keyed(Topic.CRASHES, part, value)
        if isinstance(written, Err):
            logger.warning(
                "blocked prompt part not recorded",
                extra={
                    "prompt_part": part,
                    "reason": describe_failure(written.err_value),
                },
            )
        return written.is_ok()
