"""Map of the newest item of every origin and topic."""

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
        The only host that writes this item.
    incarnation : Incarnation
        Process run of the origin.
    topic : str
        What the value is about.
    version : int
        Number of the write within the incarnation, from 1.
    payload : bytes
        The value; its form belongs to the topic.
    crosses_data_centres : bool
        Whether relays pass the item on to other data centres.
    urgent : bool
        Whether hosts pass the item on without waiting for the next interval.
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
        """Order of items of one origin and topic; the highest one is kept.

        The payload breaks the tie between two different items with one version, which
        only a faulty origin writes; without it the result would depend on the order.
        """
        return (self.incarnation, self.version, self.payload)

    @property
    def size_bytes(self) -> int:
        """Approximate size in a frame, in bytes."""
        return len(self.payload) + len(self.origin) + len(self.topic) + 28


@attrs.frozen
class GossipLimits:
    """Bounds of the memory that the map uses.

    Parameters
    ----------
    max_origins : int
        Hosts in the map.
    max_topics : int
        Topics for each origin.
    max_payload_bytes : int
        Size of one payload.
    max_total_bytes : int
        Size of all payloads.
    """

    max_origins: int = 5_000
    max_topics: int = 64
    max_payload_bytes: int = 16 * 1024
    max_total_bytes: int = 32 * 1024 * 1024


@attrs.define
class GossipEntry:
    """An item with the local order and time of its arrival."""

    item: GossipItem
    sequence: int
    learned_ms: int


@attrs.define
class _Origin:
    incarnation: Incarnation
    entries: dict[str, GossipEntry] = attrs.Factory(dict)


@attrs.frozen
class Changes:
    """Items changed after a cursor, and the cursor that follows them."""

    items: tuple[GossipItem, ...]
    cursor: int


class GossipMap:
    """Newest items of all origins, in the order in which this host learned of them.

    The merge is commutative, idempotent and monotone as long as no limit is reached and
    no origin is removed. Only the newest incarnation of an origin is kept.

    Parameters
    ----------
    host_id : HostId
        This host, the origin of local items.
    incarnation : Incarnation
        This process run.
    limits : GossipLimits
        Bounds of memory.

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
        # A newer incarnation of this host that others report. Its items are not applied
        # here; the process must start again with a higher incarnation to be heard.
        self.superseded_by: Incarnation | None = None
        self.rejected_items = 0
        self._origins: dict[HostId, _Origin] = {}
        # sequence -> (origin, topic)
        self._order: Any = SortedDict()
        self._removed: OrderedDict[HostId, Incarnation] = OrderedDict()
        self._sequence = 0
        self._total_bytes = 0

    @property
    def cursor(self) -> int:
        """Cursor behind the newest change."""
        return self._sequence

    @property
    def total_bytes(self) -> int:
        """Size of all payloads."""
        return self._total_bytes

    def __len__(self) -> int:
        return len(self._order)

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
                f"Topic {topic} with {len(payload)} bytes exceeds a limit of the map."
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
        for sequence in self._order.irange(minimum=cursor + 1):
            origin, topic = self._order[sequence]
            yield self._origins[origin].entries[topic]

    def changes_since(self, cursor: int) -> Changes:
        """Return the items that changed after `cursor`."""
        items = tuple(entry.item for entry in self.walk_changes(cursor))
        return Changes(items, self._sequence)

    def compute_digest(self) -> dict[HostId, int]:
        """Return a fingerprint of each origin's items that cross data centres.

        Two hosts with the same fingerprint of an origin need not send its items.
        """
        return {
            host: _fingerprint(origin)
            for host, origin in self._origins.items()
            if any(e.item.crosses_data_centres for e in origin.entries.values())
        }

    def remove_origin(self, host: HostId) -> None:
        """Forget a dead or departed member.

        Later items of the removed incarnation are ignored, so a host that has not yet
        removed the member does not bring it back.
        """
        origin = self._origins.pop(host, None)
        if origin is None or host == self.host_id:
            return
        self._drop_entries(origin)
        self._removed[host] = origin.incarnation
        while len(self._removed) > self.limits.max_origins:
            self._removed.popitem(last=False)

    def readmit_origin(self, host: HostId) -> None:
        """Accept items again of a removed member that has proved to be alive."""
        self._removed.pop(host, None)

    def _merge_item(self, item: GossipItem, now: Instant) -> bool:
        if item.origin == self.host_id:
            self._note_own_item(item)
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

    def _note_own_item(self, item: GossipItem) -> None:
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
            del self._order[entry.sequence]
            self._total_bytes -= len(entry.item.payload)
        self._sequence += 1
        self._total_bytes += len(item.payload)
        self._order[self._sequence] = (item.origin, item.topic)
        origin.entries[item.topic] = GossipEntry(item, self._sequence, now.mono_ms)

    def _drop_entries(self, origin: _Origin) -> None:
        for entry in origin.entries.values():
            del self._order[entry.sequence]
            self._total_bytes -= len(entry.item.payload)
        origin.entries.clear()


def _fingerprint(origin: _Origin) -> int:
    versions = sorted(
        (topic, entry.item.version)
        for topic, entry in origin.entries.items()
        if entry.item.crosses_data_centres
    )
    return xxhash.xxh64_intdigest(f"{origin.incarnation}{versions}".encode())
