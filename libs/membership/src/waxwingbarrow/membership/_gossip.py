"""Replicated map with the newest gossip item of each origin and topic."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import xxhash
from sortedcontainers import SortedDict

from waxwingbarrow.core import HostId, Incarnation, Instant


@attrs.frozen
class GossipItem:
    """One published value.

    Parameters
    ----------
    origin : HostId
        Host that published the item; no other host writes it.
    incarnation : Incarnation
        Process run of the origin.
    topic : str
        Kind of value, which determines the format of the payload.
    version : int
        Number of the write to this topic within the incarnation, from 1.
    payload : bytes
        Encoded value.
    crosses_data_centres : bool
        Whether relays forward the item to other data centres.
    urgent : bool
        Whether hosts forward the item at once, not at the next interval.
    """

    origin: HostId
    incarnation: Incarnation
    topic: str
    version: int
    payload: bytes
    crosses_data_centres: bool = True
    urgent: bool = False

    @property
    def rank(self) -> tuple[Incarnation, int, bytes]:
        """Sort key of items of one origin and topic; the highest one is kept.

        Only a faulty origin writes two items with the same version. The payload breaks
        this tie, as the result would otherwise depend on the order of arrival.
        """
        return (self.incarnation, self.version, self.payload)

    @property
    def size_bytes(self) -> int:
        """Approximate size in a frame, with 28 bytes for the other fields."""
        return len(self.payload) + len(self.origin) + len(self.topic) + 28


@attrs.frozen
class GossipLimits:
    """Limits of the memory that the map uses.

    Parameters
    ----------
    max_origins : int
        Number of hosts in the map.
    max_topics : int
        Number of topics for each origin.
    max_payload_bytes : int
        Size of one payload.
    max_total_bytes : int
        Total size of all payloads.
    """

    max_origins: int = 5_000
    max_topics: int = 64
    max_payload_bytes: int = 16 * 1024
    max_total_bytes: int = 32 * 1024 * 1024


@attrs.define
class GossipEntry:
    """An item with the order and time of its arrival at this host.

    Parameters
    ----------
    item : GossipItem
        The item.
    sequence : int
        Number of the change to the map that stored the item.
    learned_ms : int
        Monotonic time of that change, in milliseconds.
    """

    item: GossipItem
    sequence: int
    learned_ms: int


@attrs.define
class _Origin:
    incarnation: Incarnation
    entries: dict[str, GossipEntry] = attrs.Factory(dict)


@attrs.frozen
class GossipChanges:
    """Items that changed after a cursor, and the cursor for the next call."""

    items: tuple[GossipItem, ...]
    cursor: int


class GossipMap:
    """Newest items of all origins, in the order of their arrival at this host.

    Merging is commutative, idempotent and monotonic as long as no limit is reached and
    no origin is removed. Only items of an origin's newest incarnation are kept.

    Parameters
    ----------
    host_id : HostId
        This host, the origin of local items.
    incarnation : Incarnation
        This process run.
    limits : GossipLimits
        Limits of memory.

    Examples
    --------
    >>> now = Instant(0, 0)
    >>> one = GossipMap(HostId("a"), Incarnation(1, 0))
    >>> two = GossipMap(HostId("b"), Incarnation(1, 0))
    >>> item = one.put_local("demand", b"7", now)
    >>> [changed.payload for changed in two.merge([item], now)]
    [b'7']
    >>> two.merge([item], now)
    []
    """

    def __init__(
        self,
        host_id: HostId,
        incarnation: Incarnation,
        limits: GossipLimits | None = None,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.limits = limits or GossipLimits()
        # Newer incarnation of this host that peers report. Its items are not applied
        # here, but peers ignore this process until it restarts with a higher one.
        self.superseded_by: Incarnation | None = None
        self.rejected_items = 0
        self._origins: dict[HostId, _Origin] = {}
        # Origin and topic of each entry, by `GossipEntry.sequence`.
        self._keys_by_sequence: Any = SortedDict()
        self._removed: OrderedDict[HostId, Incarnation] = OrderedDict()
        self._sequence = 0
        self._total_bytes = 0

    @property
    def cursor(self) -> int:
        """Cursor after the newest change."""
        return self._sequence

    @property
    def total_bytes(self) -> int:
        """Total size of all payloads, in bytes."""
        return self._total_bytes

    def __len__(self) -> int:
        return len(self._keys_by_sequence)

    def put_local(
        self,
        topic: str,
        payload: bytes,
        now: Instant,
        *,
        crosses_data_centres: bool = True,
        urgent: bool = False,
    ) -> GossipItem:
        """Publish a value of this host.

        Raises
        ------
        ValueError
            If the payload or the number of topics exceeds its limit.
        """
        entry = self.find(self.host_id, topic)
        item = GossipItem(
            self.host_id,
            self.incarnation,
            topic,
            entry.item.version + 1 if entry else 1,
            payload,
            crosses_data_centres,
            urgent,
        )
        origin = self._origins.setdefault(self.host_id, _Origin(self.incarnation))
        if not self._fits(origin, item):
            raise ValueError(
                f"Topic {topic} with {len(payload)} bytes exceeds a limit of the map: "
                "the size of a payload, the total size or the number of topics."
            )
        self._store(origin, item, now)
        return item

    def merge(self, items: Iterable[GossipItem], now: Instant) -> list[GossipItem]:
        """Apply items from another host.

        Returns
        -------
        list of GossipItem
            The items that changed the map.
        """
        return [item for item in items if self._merge_item(item, now)]

    def find(self, origin: HostId, topic: str) -> GossipEntry | None:
        """Return the newest entry of an origin and topic."""
        known = self._origins.get(origin)
        return known.entries.get(topic) if known else None

    def find_incarnation(self, origin: HostId) -> Incarnation | None:
        """Return the newest known incarnation of an origin."""
        known = self._origins.get(origin)
        return known.incarnation if known else None

    def list_origin(self, origin: HostId) -> tuple[GossipEntry, ...]:
        """Return all entries of an origin."""
        known = self._origins.get(origin)
        return tuple(known.entries.values()) if known else ()

    def list_origins(self) -> tuple[HostId, ...]:
        """Return all origins with an entry."""
        return tuple(self._origins)

    def list_topic(self, topic: str) -> tuple[GossipItem, ...]:
        """Return the items of all origins for one topic."""
        return tuple(
            origin.entries[topic].item
            for origin in self._origins.values()
            if topic in origin.entries
        )

    def walk_changes(self, cursor: int) -> Iterator[GossipEntry]:
        """Yield the entries that changed after `cursor`, oldest change first."""
        for sequence in self._keys_by_sequence.irange(minimum=cursor + 1):
            origin, topic = self._keys_by_sequence[sequence]
            yield self._origins[origin].entries[topic]

    def changes_since(self, cursor: int) -> GossipChanges:
        """Return the items that changed after `cursor`."""
        items = tuple(entry.item for entry in self.walk_changes(cursor))
        return GossipChanges(items, self._sequence)

    def compute_digest(self) -> dict[HostId, int]:
        """Return a hash of each origin's items that cross data centres.

        Two hosts with the same hash for an origin need not send each other its items.
        """
        return {
            host: _fingerprint(origin)
            for host, origin in self._origins.items()
            if any(e.item.crosses_data_centres for e in origin.entries.values())
        }

    def remove_origin(self, host: HostId) -> None:
        """Remove all items of a dead or departed member.

        Items of the removed incarnation are ignored from now on. Otherwise a host that
        has not removed the member yet would restore it.
        """
        origin = self._origins.pop(host, None)
        if origin is None or host == self.host_id:
            return
        self._drop_entries(origin)
        self._removed[host] = origin.incarnation
        while len(self._removed) > self.limits.max_origins:
            self._removed.popitem(last=False)

    def readmit_origin(self, host: HostId) -> None:
        """Accept items of a removed member again, after its counter has increased."""
        self._removed.pop(host, None)

    def _merge_item(self, item: GossipItem, now: Instant) -> bool:
        if item.origin == self.host_id:
            self._check_superseded(item)
            return False
        removed = self._removed.get(item.origin)
        if removed is not None and item.incarnation <= removed:
            return False
        origin = self._origins.get(item.origin)
        if origin is None:
            if len(self._origins) >= self.limits.max_origins:
                self.rejected_items += 1
                return False
            origin = _Origin(item.incarnation)
        elif item.incarnation < origin.incarnation:
            return False
        elif item.incarnation > origin.incarnation:
            self._drop_entries(origin)
            origin.incarnation = item.incarnation
        entry = origin.entries.get(item.topic)
        if entry is not None and entry.item.rank >= item.rank:
            return False
        if not self._fits(origin, item):
            self.rejected_items += 1
            return False
        self._origins[item.origin] = origin
        self._store(origin, item, now)
        return True

    def _check_superseded(self, item: GossipItem) -> None:
        newest = self.superseded_by or self.incarnation
        if item.incarnation > newest:
            self.superseded_by = item.incarnation

    def _fits(self, origin: _Origin, item: GossipItem) -> bool:
        entry = origin.entries.get(item.topic)
        growth = len(item.payload) - (len(entry.item.payload) if entry else 0)
        return (
            len(item.payload) <= self.limits.max_payload_bytes
            and self._total_bytes + growth <= self.limits.max_total_bytes
            and (entry is not None or len(origin.entries) < self.limits.max_topics)
        )

    def _store(self, origin: _Origin, item: GossipItem, now: Instant) -> None:
        entry = origin.entries.get(item.topic)
        if entry is not None:
            del self._keys_by_sequence[entry.sequence]
            self._total_bytes -= len(entry.item.payload)
        self._sequence += 1
        self._total_bytes += len(item.payload)
        self._keys_by_sequence[self._sequence] = (item.origin, item.topic)
        origin.entries[item.topic] = GossipEntry(item, self._sequence, now.mono_ms)

    def _drop_entries(self, origin: _Origin) -> None:
        for entry in origin.entries.values():
            del self._keys_by_sequence[entry.sequence]
            self._total_bytes -= len(entry.item.payload)
        origin.entries.clear()


def _fingerprint(origin: _Origin) -> int:
    versions = sorted(
        (topic, entry.item.version)
        for topic, entry in origin.entries.items()
        if entry.item.crosses_data_centres
    )
    return xxhash.xxh64_intdigest(f"{origin.incarnation}{versions}".encode())
