"""Copies of the store's keyed topics, updated from the store or from peers."""

import attrs

from waxwingbarrow.gateway.base import KeyedPage, KeyedRecord


@attrs.frozen
class Change:
    """What a page of records changed in a replica.

    Parameters
    ----------
    changed : tuple of KeyedRecord
        New or updated records, at most one for each key.
    removed : tuple of str
        Keys that no longer have a record.
    """

    changed: tuple[KeyedRecord, ...]
    removed: tuple[str, ...]


class Replica:
    """Newest record of each key of one topic.

    Attributes
    ----------
    records : dict
        Newest record by key.
    end : int
        Offset up to which the replica is complete: that of the next record to read.
    is_loaded : bool
        Whether the topic was listed at least once; before that the replica is empty.
    confirmed_ms : int or None
        Monotonic time of the store's last answer to a read of the topic by this host.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyedRecord] = {}
        self.end = 0
        self.is_loaded = False
        self.confirmed_ms: int | None = None

    def apply_listing(self, page: KeyedPage) -> Change:
        """Replace the records with a listing of all keys, unless that is older."""
        if self.is_loaded and page.end < self.end:
            return Change((), ())
        listed = {record.key: record for record in page.records if record.value}
        removed = tuple(key for key in self.records if key not in listed)
        changed = tuple(
            record
            for key, record in listed.items()
            if key not in self.records or self.records[key].offset < record.offset
        )
        self.records = listed
        self.end = page.end
        self.is_loaded = True
        return Change(changed, removed)

    def apply_records(self, page: KeyedPage) -> Change:
        """Apply records read from an offset on; those already known are skipped.

        A record with an empty value removes its key.
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
            self.end = max(self.end, page.records[-1].offset + 1)
        return Change(tuple(changed), tuple(removed))

    def make_listing(self) -> KeyedPage:
        """Return all records as a listing for a peer."""
        return KeyedPage(tuple(self.records.values()), self.end)
