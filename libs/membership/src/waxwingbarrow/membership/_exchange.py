"""What two peers tell each other over one stream."""

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import Failure, HostId, Incarnation, Instant
from waxwingbarrow.membership._detector import (
    FailureDetector,
    HeartbeatRecord,
    Liveness,
)
from waxwingbarrow.membership._gossip import GossipItem, GossipMap
from waxwingbarrow.membership._member import MEMBER_TOPIC

WANTED_EVERY_MS = 5_000
PRUNE_EVERY = 600  # batches
MAX_COUNTER = 2**53


@attrs.frozen
class ExchangeSettings:
    """Bounds of one exchange.

    Parameters
    ----------
    bytes_per_s : int
        Rate of gossip items, in bytes a second. Items that have to wait are sent in
        their newest version only, so a lower rate costs freshness and no information.
    burst_bytes : int
        Items that may be sent at once, for the first exchange with a new peer.
    max_batch_bytes : int
        Size of the items of one batch.
    max_names : int
        Members that one stream can name; a peer that names more is malformed.
    """

    bytes_per_s: int = 2_000
    burst_bytes: int = 1024 * 1024
    max_batch_bytes: int = 256 * 1024
    max_names: int = 20_000


@attrs.frozen
class HeartbeatName:
    """First report of a member on a stream; later ones refer to its position."""

    host: HostId
    incarnation: Incarnation
    counter: int


@attrs.frozen
class Batch:
    """What one frame tells the peer.

    Parameters
    ----------
    names : tuple of HeartbeatName
        Members reported for the first time on this stream.
    positions, steps : tuple of int
        Members named earlier, and by how much their counters grew since the last
        report on this stream.
    items : tuple of GossipItem
        Items that the peer may not know.
    wanted : tuple of HostId
        Members whose counters arrived without their items.
    """

    names: tuple[HeartbeatName, ...] = ()
    positions: tuple[int, ...] = ()
    steps: tuple[int, ...] = ()
    items: tuple[GossipItem, ...] = ()
    wanted: tuple[HostId, ...] = ()


@attrs.frozen
class BatchInvalid(Failure):
    """A batch contradicts what was sent before it on the same stream."""

    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The batch is invalid: {self.reason}."


@attrs.define
class _Reported:
    position: int
    incarnation: Incarnation
    sent: int  # last counter sent on this stream, the base of the next step
    known: int  # highest counter sent to or received from the peer


class Exchange:
    """One side of a stream: what the peer knows, and what to tell it next.

    Batches must arrive complete and in order, as a stream delivers them. A new stream
    starts with a new exchange.

    Parameters
    ----------
    gossip_map : GossipMap
        Items of this host.
    detector : FailureDetector
        Heartbeat counters of this host.
    same_data_centre : bool
        Whether the peer is in this host's data centre. Otherwise only items that cross
        data centres are sent, and counters only every `remote_step` beats.
    peer_digest : dict
        Fingerprints that the peer sent in its hello.
    now : Instant
        Present time.
    settings : ExchangeSettings
        Bounds.
    """

    def __init__(
        self,
        gossip_map: GossipMap,
        detector: FailureDetector,
        *,
        same_data_centre: bool,
        peer_digest: dict[HostId, int],
        now: Instant,
        settings: ExchangeSettings | None = None,
    ) -> None:
        self.settings = settings or ExchangeSettings()
        self.bytes_per_s = self.settings.bytes_per_s
        self._map = gossip_map
        self._detector = detector
        self._same_data_centre = same_data_centre
        self._cursor = 0
        self._remote_cursor = 0
        self._known = self._list_known(peer_digest)
        self._credit_bytes = float(self.settings.burst_bytes)
        self._credit_ms = now.mono_ms
        self._reported: dict[HostId, _Reported] = {}
        self._names: list[HeartbeatName] = []
        self._counters: list[int] = []
        self._batches = 0
        self._named_count = 0
        self._requested: list[HostId] = []
        self._wanted: set[HostId] = set()
        self._asked_ms: dict[HostId, int] = {}

    def collect(self, now: Instant) -> Batch:
        """Return what the peer is to be told now, and note it as told."""
        names: list[HeartbeatName] = []
        positions: list[int] = []
        steps: list[int] = []
        step = 1 if self._same_data_centre else self._detector.settings.remote_step
        for host, record in self._detector.walk_local():
            self._report(host, record, step, now, names, positions, steps)
        step = self._detector.settings.remote_step
        for host, record in self._detector.walk_remote(self._remote_cursor):
            self._report(host, record, step, now, names, positions, steps)
        self._remote_cursor = self._detector.remote_cursor
        self._batches += 1
        if self._batches % PRUNE_EVERY == 0:
            self._prune()
        self._named_count += len(names)
        return Batch(
            tuple(names),
            tuple(positions),
            tuple(steps),
            tuple(self._collect_items(now)),
            self._collect_wanted(now),
        )

    def accept(
        self, batch: Batch, now: Instant
    ) -> Result[list[GossipItem], BatchInvalid]:
        """Apply a batch from the peer.

        Returns
        -------
        Result
            The items that changed the map. Nothing of an invalid batch is applied.
        """
        reason = self._find_fault(batch)
        if reason:
            return Err(BatchInvalid(reason))
        for name in batch.names:
            self._names.append(name)
            self._counters.append(name.counter)
            self._observe(name, name.counter, now)
        for position, step in zip(batch.positions, batch.steps, strict=True):
            counter = self._counters[position] + step
            self._counters[position] = counter
            self._observe(self._names[position], counter, now)
        self._requested.extend(batch.wanted)
        changed = self._map.merge(batch.items, now)
        self._note_known(batch.items)
        return Ok(changed)

    def _list_known(self, digest: dict[HostId, int]) -> dict[tuple[HostId, str], int]:
        """List the entries that the peer has, by their local sequence."""
        own = self._map.compute_digest()
        return {
            (host, entry.item.topic): entry.sequence
            for host, fingerprint in digest.items()
            if own.get(host) == fingerprint
            for entry in self._map.list_origin(host)
            if entry.item.crosses_data_centres
        }

    def _report(
        self,
        host: HostId,
        record: HeartbeatRecord,
        least_step: int,
        now: Instant,
        names: list[HeartbeatName],
        positions: list[int],
        steps: list[int],
    ) -> None:
        row = self._reported.get(host)
        counter = record.counter
        if row is not None and row.incarnation == record.incarnation:
            if counter - row.known < least_step:
                return
            if row.position >= 0:
                positions.append(row.position)
                steps.append(counter - row.sent)
                row.sent = row.known = counter
                return
        elif counter == 0 or self._detector.status(host, now) == Liveness.DEAD:
            # A dead member's counter would look like news to the peer.
            return
        position = self._named_count + len(names)
        if position >= self.settings.max_names:
            return
        names.append(HeartbeatName(host, record.incarnation, counter))
        self._reported[host] = _Reported(position, record.incarnation, counter, counter)

    def _observe(self, name: HeartbeatName, counter: int, now: Instant) -> None:
        host = name.host
        if self._detector.observe(host, name.incarnation, counter, now):
            record = self._detector.find(host)
            if record is not None and not record.placed:
                self._map.readmit_origin(host)
                self._wanted.add(host)
        row = self._reported.get(host)
        if row is not None and row.incarnation == name.incarnation:
            row.known = max(row.known, counter)
        elif row is None or row.incarnation < name.incarnation:
            # Position -1: known from the peer, not named to it yet.
            self._reported[host] = _Reported(-1, name.incarnation, 0, counter)

    def _collect_items(self, now: Instant) -> list[GossipItem]:
        self._refill(now)
        items = []
        room_bytes = self.settings.max_batch_bytes
        for host in self._requested:
            for entry in self._map.list_origin(host):
                if self._may_cross(entry.item):
                    items.append(entry.item)
                    room_bytes -= entry.item.size_bytes
        self._requested.clear()
        cursor = self._cursor
        held_back = False
        for entry in self._map.walk_changes(self._cursor):
            item = entry.item
            key = (item.origin, item.topic)
            if self._known.get(key) == entry.sequence or not self._may_cross(item):
                if not held_back:
                    self._known.pop(key, None)
            elif room_bytes <= 0 or (self._credit_bytes <= 0 and not item.urgent):
                # Urgent items behind the ones that wait are still sent.
                held_back = True
                continue
            else:
                items.append(item)
                room_bytes -= item.size_bytes
                self._credit_bytes -= item.size_bytes
                if held_back:
                    self._known[key] = entry.sequence
                else:
                    self._known.pop(key, None)
            if not held_back:
                cursor = entry.sequence
        self._cursor = cursor
        return items

    def _refill(self, now: Instant) -> None:
        earned = (now.mono_ms - self._credit_ms) * self.bytes_per_s / 1000
        self._credit_ms = now.mono_ms
        # Any positive credit lets one item of any size pass.
        limit = max(1.0, self.settings.burst_bytes)
        self._credit_bytes = min(limit, self._credit_bytes + earned)

    def _may_cross(self, item: GossipItem) -> bool:
        return self._same_data_centre or item.crosses_data_centres

    def _collect_wanted(self, now: Instant) -> tuple[HostId, ...]:
        wanted = []
        for host in sorted(self._wanted):
            if not self._lacks_member(host):
                self._wanted.discard(host)
                self._asked_ms.pop(host, None)
                continue
            asked_ms = self._asked_ms.get(host)
            if asked_ms is None or now.mono_ms - asked_ms >= WANTED_EVERY_MS:
                self._asked_ms[host] = now.mono_ms
                wanted.append(host)
        return tuple(wanted)

    def _lacks_member(self, host: HostId) -> bool:
        record = self._detector.find(host)
        if record is None:
            return False
        entry = self._map.find(host, MEMBER_TOPIC)
        return entry is None or entry.item.incarnation < record.incarnation

    def _prune(self) -> None:
        """Drop what is noted about removed members."""
        for host in tuple(self._reported):
            if self._detector.find(host) is None:
                del self._reported[host]
        for key in tuple(self._known):
            if self._map.find(*key) is None:
                del self._known[key]

    def _note_known(self, items: tuple[GossipItem, ...]) -> None:
        for item in items:
            entry = self._map.find(item.origin, item.topic)
            if (
                entry is not None
                and entry.sequence > self._cursor
                and entry.item.rank == item.rank
            ):
                self._known[(item.origin, item.topic)] = entry.sequence

    def _find_fault(self, batch: Batch) -> str:
        count = len(self._names) + len(batch.names)
        if count > self.settings.max_names:
            return f"it names {count} members; at most {self.settings.max_names}"
        if len(batch.positions) != len(batch.steps):
            return "positions and steps differ in number"
        if any(not 0 <= position < count for position in batch.positions):
            return "a position refers to a member that was not named"
        if any(not 0 <= name.counter <= MAX_COUNTER for name in batch.names):
            return f"a counter is above {MAX_COUNTER}"
        return ""
