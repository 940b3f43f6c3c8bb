"""Bringing a peer's control state up to date."""

from collections.abc import Callable, Sequence

import attrs

from waxwingbarrow.core import Instant


@attrs.frozen
class ControlEntry:
    """One entry of the log stream ``control``.

    Parameters
    ----------
    offset : int
        Position in the stream.
    record : bytes
        JSON of the record.
    """

    offset: int
    record: bytes


@attrs.frozen
class ControlEntries:
    """Consecutive entries."""

    entries: tuple[ControlEntry, ...]


@attrs.frozen
class ControlSnapshot:
    """Control state that includes all entries below `next_offset`."""

    next_offset: int
    payload: bytes


ControlNews = ControlEntries | ControlSnapshot


@attrs.frozen
class ControlCallbacks:
    """The daemon's side of control state.

    Parameters
    ----------
    next_offset : callable
        Return the offset of the first entry that this host lacks.
    read_entries : callable
        Return the entries from an offset on, or a snapshot if they are gone.
    on_entries : callable
        Apply entries, the first of which is the next one this host lacks.
    on_snapshot : callable
        Apply a state that is ahead of this host's.
    """

    next_offset: Callable[[], int]
    read_entries: Callable[[int], ControlNews]
    on_entries: Callable[[Sequence[ControlEntry]], None]
    on_snapshot: Callable[[int, bytes], None]


class ControlSync:
    """What one peer has of the stream ``control``, and what to send it next.

    Parameters
    ----------
    callbacks : ControlCallbacks
        Control state of this host.
    max_bytes : int
        Entries in one frame.
    resend_ms : int
        Time after which news that the peer does not report as applied is sent again.
    """

    def __init__(
        self, callbacks: ControlCallbacks, max_bytes: int, resend_ms: int
    ) -> None:
        self._callbacks = callbacks
        self._max_bytes = max_bytes
        self._resend_ms = resend_ms
        self._reported: int | None = None
        self._sent_to = 0
        self._sent_ms = 0

    def note_reported(self, next_offset: int) -> None:
        """Note the offset that the peer reports."""
        self._reported = next_offset

    def collect(self, now: Instant) -> ControlNews | None:
        """Return what the peer lacks, or None if it lacks nothing."""
        if self._reported is None:
            return None
        if now.mono_ms - self._sent_ms >= self._resend_ms:
            self._sent_to = 0
        start = max(self._reported, self._sent_to)
        if start >= self._callbacks.next_offset():
            return None
        news = self._callbacks.read_entries(start)
        if isinstance(news, ControlEntries):
            news = self._limit(news)
            if not news.entries:
                return None
            self._sent_to = news.entries[-1].offset + 1
        elif news.next_offset <= start:
            return None
        else:
            self._sent_to = news.next_offset
        self._sent_ms = now.mono_ms
        return news

    def apply(self, news: ControlNews) -> bool:
        """Apply what the peer sent and return whether this host's offset grew.

        A higher offset wins: entries that this host has and older snapshots are
        dropped. Entries behind a gap are dropped too; the peer sends what is missing
        once it sees the offset that this host reports.
        """
        before = self._callbacks.next_offset()
        if isinstance(news, ControlSnapshot):
            if news.next_offset > before:
                self._callbacks.on_snapshot(news.next_offset, news.payload)
        else:
            fresh = tuple(e for e in news.entries if e.offset >= before)
            if fresh and fresh[0].offset == before:
                self._callbacks.on_entries(fresh)
        return self._callbacks.next_offset() > before

    def _limit(self, news: ControlEntries) -> ControlEntries:
        room_bytes = self._max_bytes
        kept: list[ControlEntry] = []
        for entry in news.entries:
            if kept and len(entry.record) > room_bytes:
                break
            room_bytes -= len(entry.record)
            kept.append(entry)
        return ControlEntries(tuple(kept))
