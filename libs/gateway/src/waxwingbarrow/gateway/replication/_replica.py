"""Copies of the store's keyed topics, updated from the store or from peers."""

import attrs

from waxwingbarrow.gateway.base import KeyedPage, KeyedRecord, Position


@attrs.frozen
class Change:
    """What a page of records changed in a replica.

    Parameters
    ----------
    changed : tuple of KeyedRecord
        New or updated records, at most one for each key.
    removed : tuple of str
        Keys that no longer have a record.
    is_restored : bool
        Whether the store came back from an older copy in between. Records that changed
        may then be older than the known ones, and keys that were removed may be written
        again.
    moved : tuple of KeyedRecord
        Records of a new era whose value was known before at another offset.
    """

    changed: tuple[KeyedRecord, ...]
    removed: tuple[str, ...]
    is_restored: bool = False
    moved: tuple[KeyedRecord, ...] = ()


class Replica:
    """Newest record of each key of one topic.

    Attributes
    ----------
    records : dict
        Newest record by key.
    position : Position
        Position up to which the replica is complete: that of the next record to read.
    is_loaded : bool
        Whether the topic was listed at least once; before that the replica is empty.
    confirmed_ms : int or None
        Monotonic time of the store's last answer to a read of the topic by this host.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyedRecord] = {}
        self.position = Position()
        self.is_loaded = False
        self.confirmed_ms: int | None = None

    @property
    def end(self) -> int:
        """Offset of the next record to read, within the era of the replica."""
        return self.position.offset

    def apply_listing(self, page: KeyedPage) -> Change:
        """Replace the records with a listing of all keys, unless that is older."""
        if self.is_loaded and page.position < self.position:
            return Change((), ())
        is_restored = 0 < self.position.era < page.era
        known, self.records = self.records, {r.key: r for r in page.records if r.value}
        self.position = page.position
        self.is_loaded = True
        removed = tuple(key for key in known if key not in self.records)
        if is_restored:
            changed = tuple(r for r in self.records.values() if not _is_same(r, known))
            moved = tuple(r for r in self.records.values() if _is_same(r, known))
            return Change(changed, removed, True, moved)
        changed = tuple(
            record
            for key, record in self.records.items()
            if key not in known or known[key].offset < record.offset
        )
        return Change(changed, removed)

    def apply_records(self, page: KeyedPage) -> Change:
        """Apply records read from an offset on; those already known are skipped.

        The page belongs to the era of the replica. A record with an empty value removes
        its key.
        """
        newest: dict[str, KeyedRecord] = {}
        for record in page.records:
            if record.offset >= self.end:
                newest[record.key] = record
        changed = []
        removed = []
        for key, record in newest.items():
            if record.value:
                self.records[key] = record
                changed.append(record)
            elif self.records.pop(key, None) is not None:
                removed.append(key)
        if page.records:
            read_end = page.records[-1].offset + 1
            self.position = max(self.position, Position(self.position.era, read_end))
        return Change(tuple(changed), tuple(removed))

    def make_listing(self) -> KeyedPage:
        """Return all records as a listing for a peer."""
        return KeyedPage(tuple(self.records.values()), self.end, self.position.era)


def _is_same(record: KeyedRecord, known: dict[str, KeyedRecord]) -> bool:
    return record.key in known and known[record.key].value == record.value
