"""Counts of usage windows, which are recorded in the store before they are reported."""

import logging

import msgspec
from result import Err, Ok, Result

from waxwingbarrow.gateway.base import (
    BoundedInt,
    HistoryGone,
    Store,
    StoreFailure,
    Topic,
    decode_msgpack,
    describe_failure,
)

logger = logging.getLogger("waxwingbarrow.gateway.duties")

# Windows whose counts are kept: far more than are reported after their time.
MAX_WINDOWS = 64


class UsageRecord(msgspec.Struct, array_like=True, frozen=True):
    """Counts of a window, recorded in the store before they are reported.

    Parameters
    ----------
    window : int
        Number of the window, as in `UsageCounter`.
    counts : dict
        Number of requests that began to run, by account.
    """

    window: BoundedInt
    counts: dict[str, BoundedInt]


class EraStart(msgspec.Struct, array_like=True, frozen=True):
    """First window that nobody can have reported in an earlier era of the store."""

    first_window: BoundedInt


class UsageRecords:
    """Records of the windows, as this host knows them from the store.

    A store that comes back from an older copy may lack the record of a window that was
    reported. So a window before the first one of its era is reported only with known
    counts; see `EraStart`.

    Attributes
    ----------
    counts : dict
        Recorded counts by window.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self.counts: dict[int, dict[str, int]] = {}
        # Windows whose record is in the store in the present era.
        self._stored: set[int] = set()
        self._offset = 0
        self._era: int | None = None
        self._first_window: int | None = None

    def is_lost(self, window: int) -> bool:
        """Whether a window may have been reported with counts that are not known."""
        first_window = self._first_window
        return (
            first_window is not None
            and window < first_window
            and window not in self.counts
        )

    async def read(self, token: int, first_window: int) -> bool:
        """Read the records, and add those that the store has lost.

        Parameters
        ----------
        token : int
            Fencing token of this host.
        first_window : int
            First window that cannot have been reported yet.

        Returns
        -------
        bool
            Whether the store answered.
        """
        if not await self._read_new():
            return False
        if not self._era:
            return True
        return await self._add_lost(token) and await self._find_start(first_window)

    async def append(
        self, window: int, counts: dict[str, int], token: int
    ) -> Result[int, StoreFailure]:
        """Record the counts of a window."""
        record = msgspec.msgpack.encode(UsageRecord(window, counts))
        appended = await self._store.append(Topic.USAGE, record, token)
        if appended.is_ok():
            self._stored.add(window)
            self._keep(window, counts)
        return appended

    def _keep(self, window: int, counts: dict[str, int]) -> None:
        self.counts.setdefault(window, counts)
        while len(self.counts) > MAX_WINDOWS:
            del self.counts[min(self.counts)]

    async def _read_new(self) -> bool:
        while True:
            read = await self._store.read_records(Topic.USAGE, self._offset)
            if isinstance(read, Err):
                match read.err_value:
                    case HistoryGone(first_offset) if first_offset != self._offset:
                        # Earlier records have expired, or the store came back from an
                        # older copy.
                        self._offset = first_offset
                        continue
                logger.warning(
                    "usage records not read",
                    extra={"reason": describe_failure(read.err_value)},
                )
                return False
            page = read.ok_value
            if page.era != self._era:
                is_restored = self._era is not None
                self._era = page.era
                self._stored.clear()
                if is_restored:
                    # The records at the known offsets are others.
                    self._offset = 0
                    continue
            for record in page.records:
                self._offset = record.offset + 1
                self._apply(record.offset, record.value)
            if not page.records or self._offset >= page.end:
                return True

    def _apply(self, offset: int, value: bytes) -> None:
        decoded = decode_msgpack(value, UsageRecord)
        if isinstance(decoded, Err):
            logger.warning(
                "unreadable usage record",
                extra={"offset": offset, "reason": decoded.err_value.reason},
            )
            return
        usage = decoded.ok_value
        self._stored.add(usage.window)
        self._keep(usage.window, usage.counts)

    async def _add_lost(self, token: int) -> bool:
        """Append the known records that the store has lost, for later holders."""
        for window in sorted(set(self.counts) - self._stored):
            appended = await self.append(window, self.counts[window], token)
            if isinstance(appended, Err):
                logger.warning(
                    "usage not recorded again",
                    extra={
                        "window": window,
                        "reason": describe_failure(appended.err_value),
                    },
                )
                return False
            logger.info("usage recorded again", extra={"window": window})
        return True

    async def _find_start(self, first_window: int) -> bool:
        """Read the first window of this era, or record it if this host is the first."""
        key = str(self._era)
        found = await self._read_start(key)
        if isinstance(found, Err):
            reason = describe_failure(found.err_value)
            logger.warning("start of the era not read", extra={"reason": reason})
            return False
        start = found.ok_value
        if start is None:
            start = EraStart(first_window)
            value = msgspec.msgpack.encode(start)
            written = await self._store.write_keyed(Topic.USAGE_ERAS, key, value)
            if isinstance(written, Err):
                reason = describe_failure(written.err_value)
                logger.warning(
                    "start of the era not recorded", extra={"reason": reason}
                )
                return False
            logger.info(
                "earlier windows are reported only if their counts are recorded",
                extra={"era": self._era, "first_window": first_window},
            )
        self._first_window = start.first_window
        return True

    async def _read_start(self, key: str) -> Result[EraStart | None, StoreFailure]:
        read = await self._store.read_newest(Topic.USAGE_ERAS)
        if isinstance(read, Err):
            return read
        for record in read.ok_value.records:
            if record.key == key:
                return Ok(decode_msgpack(record.value, EraStart).ok())
        return Ok(None)
