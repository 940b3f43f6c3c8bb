"""Synchronisation of the control state with a peer."""

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
    """Serialised control state that includes all entries below `next_offset`."""

    next_offset: int
    payload: bytes


ControlUpdate = ControlEntries | ControlSnapshot


@attrs.frozen
class ControlCallbacks:
    """Access to the control state of this host.

    Parameters
    ----------
    next_offset : callable
        Return the offset of the first entry that this host lacks.
    read_entries : callable
        Return the entries from an offset on, or a snapshot if this host no longer has
        them.
    on_entries : callable
        Apply consecutive entries that start at `next_offset`.
    on_snapshot : callable
        Replace the control state by a snapshot, given as its next offset and payload,
        which is ahead of this host's state.
    """

    next_offset: Callable[[], int]
    read_entries: Callable[[int], ControlUpdate]
    on_entries: Callable[[Sequence[ControlEntry]], None]
    on_snapshot: Callable[[int, bytes], None]


class ControlSync:
    """Tracks which entries of ``control`` a peer has and what to send it next.

    Parameters
    ----------
    callbacks : ControlCallbacks
        Control state of this host.
    max_bytes : int
        Largest total size of the records in one frame; a single larger record is sent
        alone.
    resend_ms : int
        Time after which an update is sent again if the peer has not reported it as
        applied.
    """

    def __init__(
        self, callbacks: ControlCallbacks, max_bytes: int, resend_ms: int
    ) -> None:
        self._callbacks = callbacks
        self._max_bytes = max_bytes
        self._resend_ms = resend_ms
        self._peer_offset: int | None = None
        self._next_unsent_offset = 0
        self._sent_ms = 0

    def record_peer_offset(self, next_offset: int) -> None:
        """Record the offset of the first entry that the peer lacks."""
        self._peer_offset = next_offset

    def collect(self, now: Instant) -> ControlUpdate | None:
        """Return the next update to send, or None if there is nothing to send.

        Nothing is sent before the peer has reported its offset.
        """
        if self._peer_offset is None:
            return None
        if now.mono_ms - self._sent_ms >= self._resend_ms:
            self._next_unsent_offset = 0
        start = max(self._peer_offset, self._next_unsent_offset)
        if start >= self._callbacks.next_offset():
            return None
        update = self._callbacks.read_entries(start)
        if isinstance(update, ControlEntries):
            update = self._limit_size(update)
            if not update.entries:
                return None
            self._next_unsent_offset = update.entries[-1].offset + 1
        elif update.next_offset <= start:
            return None
        else:
            self._next_unsent_offset = update.next_offset
        self._sent_ms = now.mono_ms
        return update

    def apply(self, update: ControlUpdate) -> bool:
        """Apply an update from the peer and return whether this host's offset grew.

        The higher offset wins: known entries and snapshots that are not newer are
        dropped. Entries after a gap are dropped too; the peer sends the missing ones
        once it receives the offset that this host reports.
        """
        before = self._callbacks.next_offset()
        if isinstance(update, ControlSnapshot):
            if update.next_offset > before:
                self._callbacks.on_snapshot(update.next_offset, update.payload)
        else:
            new_entries = tuple(e for e in update.entries if e.offset >= before)
            if new_entries and new_entries[0].offset == before:
                self._callbacks.on_entries(new_entries)
        return self._callbacks.next_offset() > before

    def _limit_size(self, update: ControlEntries) -> ControlEntries:
        remaining_bytes = self._max_bytes
        kept: list[ControlEntry] = []
        for entry in update.entries:
            if kept and len(entry.record) > remaining_bytes:
                break
            remaining_bytes -= len(entry.record)
            kept.append(entry)
        return ControlEntries(tuple(kept))
