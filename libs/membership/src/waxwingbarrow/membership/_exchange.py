"""Gossip between two peers over one stream."""

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

ITEM_REQUEST_INTERVAL_MS = 5_000  # between two requests for the same member's items
PRUNE_INTERVAL_BATCHES = 600
MAX_COUNTER = 2**53


@attrs.frozen
class ExchangeSettings:
    """Limits of one exchange.

    Parameters
    ----------
    bytes_per_s : int
        Rate of gossip items, in bytes a second. Of an item that has to wait, only the
        newest version is sent, so a lower rate delays values but loses none in force.
    burst_bytes : int
        Size of the items that may be sent at once, to bring a new peer up to date.
    max_batch_bytes : int
        Size of the items in one batch.
    max_names : int
        Number of members that one stream can name; a batch that exceeds it is invalid.
    """

    bytes_per_s: int = 2_000
    burst_bytes: int = 1024 * 1024
    max_batch_bytes: int = 256 * 1024
    max_names: int = 20_000


@attrs.frozen
class HeartbeatName:
    """First report of a member on a stream; later reports refer to its position."""

    host: HostId
    incarnation: Incarnation
    counter: int


@attrs.frozen
class Batch:
    """Heartbeats and items in one frame.

    Parameters
    ----------
    names : tuple of HeartbeatName
        Members reported for the first time on this stream.
    positions, steps : tuple of int
        Members named earlier on this stream, by the order of naming from 0, and the
        increase of their counters since the last report.
    items : tuple of GossipItem
        Items that the peer may not know.
    wanted : tuple of HostId
        Members whose counters arrived without their items, which the peer should send.
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
        """One sentence that describes the failure."""
        return f"The batch is invalid: {self.reason}."


@attrs.define
class _ReportedCounter:
    position: int
    incarnation: Incarnation
    sent_counter: int  # last one sent on this stream; the next step adds to it
    known_counter: int  # highest one sent to or received from the peer


class Exchange:
    """One side of a stream, which tracks what the peer knows and sends it the rest.

    Batches must arrive complete and in order, as a stream delivers them. Each stream
    needs a new exchange.

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
        Result of `GossipMap.compute_digest` that the peer sent in its hello.
    now : Instant
        Present time.
    settings : ExchangeSettings
        Limits.
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
        # Local sequence numbers of changes after `_cursor` that the peer has, by origin
        # and topic.
        self._peer_known = self._list_known_to_peer(peer_digest)
        self._credit_bytes = float(self.settings.burst_bytes)
        self._refilled_ms = now.mono_ms
        self._reported: dict[HostId, _ReportedCounter] = {}
        self._received_names: list[HeartbeatName] = []
        self._received_counters: list[int] = []
        self._sent_batch_count = 0
        self._sent_name_count = 0
        self._requested_by_peer: list[HostId] = []
        self._wanted: set[HostId] = set()
        self._last_request_ms: dict[HostId, int] = {}

    def collect(self, now: Instant) -> Batch:
        """Return the next batch for the peer and record it as sent."""
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
        self._sent_batch_count += 1
        if self._sent_batch_count % PRUNE_INTERVAL_BATCHES == 0:
            self._prune()
        self._sent_name_count += len(names)
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
            The items that changed the map, or why the batch is invalid. No part of an
            invalid batch is applied.
        """
        reason = self._find_fault(batch)
        if reason:
            return Err(BatchInvalid(reason))
        for name in batch.names:
            self._received_names.append(name)
            self._received_counters.append(name.counter)
            self._observe(name, name.counter, now)
        for position, step in zip(batch.positions, batch.steps, strict=True):
            counter = self._received_counters[position] + step
            self._received_counters[position] = counter
            self._observe(self._received_names[position], counter, now)
        self._requested_by_peer.extend(batch.wanted)
        changed = self._map.merge(batch.items, now)
        self._mark_known_to_peer(batch.items)
        return Ok(changed)

    def _list_known_to_peer(
        self, digest: dict[HostId, int]
    ) -> dict[tuple[HostId, str], int]:
        """Return the local sequence of each entry that the peer has."""
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
        min_step: int,
        now: Instant,
        names: list[HeartbeatName],
        positions: list[int],
        steps: list[int],
    ) -> None:
        reported = self._reported.get(host)
        counter = record.counter
        if reported is not None and reported.incarnation == record.incarnation:
            if counter - reported.known_counter < min_step:
                return
            if reported.position >= 0:
                positions.append(reported.position)
                steps.append(counter - reported.sent_counter)
                reported.sent_counter = reported.known_counter = counter
                return
        elif counter == 0 or self._detector.status(host, now) == Liveness.DEAD:
            # The peer would take the counter of a dead member for a sign of life.
            return
        position = self._sent_name_count + len(names)
        if position >= self.settings.max_names:
            return
        names.append(HeartbeatName(host, record.incarnation, counter))
        self._reported[host] = _ReportedCounter(
            position, record.incarnation, counter, counter
        )

    def _observe(self, name: HeartbeatName, counter: int, now: Instant) -> None:
        host = name.host
        if self._detector.observe(host, name.incarnation, counter, now):
            record = self._detector.find(host)
            if record is not None and not record.locality_known:
                self._map.readmit_origin(host)
                self._wanted.add(host)
        reported = self._reported.get(host)
        if reported is not None and reported.incarnation == name.incarnation:
            reported.known_counter = max(reported.known_counter, counter)
        elif reported is None or reported.incarnation < name.incarnation:
            # Position -1: the peer reported the member and has not been sent its name.
            self._reported[host] = _ReportedCounter(-1, name.incarnation, 0, counter)

    def _collect_items(self, now: Instant) -> list[GossipItem]:
        self._refill_credit(now)
        items = []
        remaining_bytes = self.settings.max_batch_bytes
        for host in self._requested_by_peer:
            for entry in self._map.list_origin(host):
                if self._may_send(entry.item):
                    items.append(entry.item)
                    remaining_bytes -= entry.item.size_bytes
        self._requested_by_peer.clear()
        # The cursor stops before the first item that has to wait. Items sent after that
        # point are kept in `_peer_known`, so that they are not sent again.
        cursor = self._cursor
        held_back = False
        for entry in self._map.walk_changes(self._cursor):
            item = entry.item
            key = (item.origin, item.topic)
            if self._peer_known.get(key) == entry.sequence or not self._may_send(item):
                if not held_back:
                    self._peer_known.pop(key, None)
            elif remaining_bytes <= 0 or (self._credit_bytes <= 0 and not item.urgent):
                # Later urgent items are still sent.
                held_back = True
                continue
            else:
                items.append(item)
                remaining_bytes -= item.size_bytes
                self._credit_bytes -= item.size_bytes
                if held_back:
                    self._peer_known[key] = entry.sequence
                else:
                    self._peer_known.pop(key, None)
            if not held_back:
                cursor = entry.sequence
        self._cursor = cursor
        return items

    def _refill_credit(self, now: Instant) -> None:
        refill_bytes = (now.mono_ms - self._refilled_ms) * self.bytes_per_s / 1000
        self._refilled_ms = now.mono_ms
        # An item of any size needs only positive credit, so the limit is positive.
        limit = max(1.0, self.settings.burst_bytes)
        self._credit_bytes = min(limit, self._credit_bytes + refill_bytes)

    def _may_send(self, item: GossipItem) -> bool:
        return self._same_data_centre or item.crosses_data_centres

    def _collect_wanted(self, now: Instant) -> tuple[HostId, ...]:
        wanted = []
        for host in sorted(self._wanted):
            if not self._lacks_member_item(host):
                self._wanted.discard(host)
                self._last_request_ms.pop(host, None)
                continue
            last_request_ms = self._last_request_ms.get(host)
            if (
                last_request_ms is None
                or now.mono_ms - last_request_ms >= ITEM_REQUEST_INTERVAL_MS
            ):
                self._last_request_ms[host] = now.mono_ms
                wanted.append(host)
        return tuple(wanted)

    def _lacks_member_item(self, host: HostId) -> bool:
        record = self._detector.find(host)
        if record is None:
            return False
        entry = self._map.find(host, MEMBER_TOPIC)
        return entry is None or entry.item.incarnation < record.incarnation

    def _prune(self) -> None:
        """Drop the state that is kept for removed members."""
        for host in tuple(self._reported):
            if self._detector.find(host) is None:
                del self._reported[host]
        for key in tuple(self._peer_known):
            if self._map.find(*key) is None:
                del self._peer_known[key]

    def _mark_known_to_peer(self, items: tuple[GossipItem, ...]) -> None:
        for item in items:
            entry = self._map.find(item.origin, item.topic)
            if (
                entry is not None
                and entry.sequence > self._cursor
                and entry.item.rank == item.rank
            ):
                self._peer_known[(item.origin, item.topic)] = entry.sequence

    def _find_fault(self, batch: Batch) -> str:
        count = len(self._received_names) + len(batch.names)
        if count > self.settings.max_names:
            return f"it names {count} members; the limit is {self.settings.max_names}"
        if len(batch.positions) != len(batch.steps):
            return "positions and steps differ in number"
        if any(not 0 <= position < count for position in batch.positions):
            return "a position refers to a member that was not named"
        if any(not 0 <= name.counter <= MAX_COUNTER for name in batch.names):
            return f"a counter is not between 0 and {MAX_COUNTER}"
        return ""
