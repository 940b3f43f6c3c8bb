"""Exchange of messages with the other hosts."""

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err

from waxwingbarrow.core import Clock, DataCentre, HostId, Instant
from waxwingbarrow.gateway._beats import (
    Beat,
    Digest,
    Message,
    QuotaAsk,
    QuotaGrant,
    decode_message,
    encode_message,
)
from waxwingbarrow.gateway._book import PeerBook
from waxwingbarrow.gateway._candidates import Candidacy, Readiness
from waxwingbarrow.gateway._fetches import ReplicaFetcher
from waxwingbarrow.gateway._fleet import Fleet
from waxwingbarrow.gateway._fragments import Joiner, Splitter
from waxwingbarrow.gateway._grants import Grants
from waxwingbarrow.gateway._members import COUNTED_MS, Member, Members
from waxwingbarrow.gateway._ports import Topic, Unreadable
from waxwingbarrow.gateway._relays import (
    DIGEST_FRESH_MS,
    MAX_PARTS,
    MESH_HOSTS,
    RELAY_SILENT_MS,
    RelayBook,
    RelayChoice,
    rank_relays,
)

logger = logging.getLogger("waxwingbarrow.gateway.peers")

BEAT_INTERVAL_S = 0.25
# With relays a figure passes two hosts; the choice of an upstream rests on it.
RELAY_INTERVAL_S = 0.25
# Bytes between data centres are priced, so relays tell each other every other time.
EXCHANGE_TICKS = 2
# A relay spreads its messages over this part of the interval: small links drop a burst
# of datagrams for all hosts of a data centre.
PACED_SHARE = 0.7
# Counts for the holder of the duties are cumulative, so they may be sent rarely.
HOLDER_TICKS = 4
# All hosts have heard of a new holder and told it their counts.
COUNTS_DELAY_MS = 3_000
# Members that a relay named this long ago are still taken as present.
TOTAL_KEPT_MS = 10_000


class PeerLink(asyncio.DatagramProtocol):
    """Sends messages, receives them and has replicas fetched from peers ahead.

    Parameters
    ----------
    own : Member
        This host.
    call_later : callable
        Calls a function after some seconds.
    """

    def __init__(
        self,
        own: Member,
        book: PeerBook,
        members: Members,
        fleet: Fleet,
        fetcher: ReplicaFetcher,
        grants: Grants,
        control_port: int,
        clock: Clock,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._own = own
        self._book = book
        self._members = members
        self._fleet = fleet
        self._fetcher = fetcher
        self._grants = grants
        self._control_port = control_port
        self._beat_port = own.address[1]
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._splitter = Splitter()
        self._joiner = Joiner()
        self._transport: asyncio.DatagramTransport | None = None
        self._choice = RelayChoice(own.host, self._find_strength)
        self._relays = RelayBook(own.host, own.data_centre, own.started_ms)
        self._beats_heard_ms: int | None = None
        self._total: tuple[Digest, int] | None = None
        self._counts: list[tuple[int, int]] = []
        self._ticks = 0
        # Prompt parts that the other relays have not been told yet.
        self._untold_parts: list[tuple[str, list[tuple[int, int]]]] = []
        self._is_relay = False
        self._candidacy = Candidacy(clock.now())

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now = self._clock.now()
        joined = self._joiner.join(addr[0], data)
        if isinstance(joined, Err):
            self._note_unreadable(addr[0], joined.err_value)
            return
        if joined.ok_value is None:
            return
        decoded = decode_message(joined.ok_value)
        if isinstance(decoded, Err):
            self._note_unreadable(addr[0], decoded.err_value)
            return
        match decoded.ok_value:
            case Beat() as beat:
                self._take_beat(beat, addr[0], now)
            case Digest() as digest:
                self._take_digest(digest, addr[0], now)
            case QuotaAsk() as ask:
                grant = self._grants.answer(ask, self._book.held_token > 0, now)
                self.send_message(grant, addr[0])
            case QuotaGrant() as grant:
                self._grants.take_grant(grant)

    def error_received(self, exc: Exception) -> None:
        logger.debug("message to a peer was not delivered", extra={"error": repr(exc)})

    def _note_unreadable(self, address: str, failure: Unreadable) -> None:
        logger.warning(
            "unreadable message from a peer",
            extra={"peer": address, "reason": failure.reason},
        )

    # Topology

    def is_meshed(self, now: Instant) -> bool:
        """Whether all hosts send to each other."""
        return self._members.count_listed() < MESH_HOSTS

    def is_relay(self, now: Instant) -> bool:
        """Whether this host does what one host of a data centre does for the others."""
        return self.is_meshed(now) or self._is_relay

    def is_candidate(self, now: Instant) -> bool:
        """Whether this host may hold the duties of all."""
        if self.is_meshed(now):
            present = self._members.list_present(now)
            is_able = 2 * (1 + len(present)) > self._members.count_listed()
            told = {member.host: member.readiness for member in present}
        else:
            is_able = self._candidacy.is_settled_relay(now)
            told = self._relays.list_readiness(now)
        # Candidates go before all others.
        own = self._own.host
        able = [own, *(host for host, state in told.items() if state)]
        ranked = rank_relays(able, self._find_strength)
        ranked.sort(key=lambda host: told.get(host, 0) != Readiness.CANDIDATE)
        is_held = self._find_other_holder(now) is not None
        self._book.is_candidate = self._candidacy.decide(
            is_held, is_able, ranked.index(own), now
        )
        return self._book.is_candidate

    def _find_other_holder(self, now: Instant) -> str | None:
        """Return the address of another host that holds the duties."""
        if self.is_meshed(now):
            present = self._members.list_present(now)
            holders = [(m.holds, m.address[0]) for m in present if m.holds]
            holder = max(holders, default=None)
        elif self._total is None or now.mono_ms - self._total[1] > DIGEST_FRESH_MS:
            return None
        else:
            holder = self._total[0].holder
        if holder is None or holder[1] == self._own.address[0]:
            return None
        # This host's own number is told a moment later.
        return None if self._book.held_token >= holder[0] else holder[1]

    def find_counts_delay_ms(self, now: Instant) -> int:
        """Return how long a new holder of the duties waits for the others' counts."""
        return 0 if self.is_meshed(now) else COUNTS_DELAY_MS

    def count_hosts(self, now: Instant) -> int:
        """Return the number of hosts that share limits."""
        if self.is_meshed(now):
            return self._members.count_hosts(now)
        if self._total is not None:
            return max(self._total[0].hosts, 1)
        return self._members.count_listed()

    def find_keeper(self, now: Instant) -> str | None:
        """Return the address of the host that decides on quotas for all.

        It is "" if this host does, and None if each host decides by its own share.
        """
        if self.is_meshed(now):
            return None
        if self._book.held_token:
            return ""
        return self._find_other_holder(now)

    # Sending

    def send_message(self, message: Message, address: str) -> None:
        """Send a message to one host."""
        self._send(self._pack(message), address)

    async def send_beats(self) -> None:
        """Send messages at an interval, until cancelled."""
        while True:
            now = self._clock.now()
            if self.is_meshed(now):
                self.send_beat(now)
                interval_s = BEAT_INTERVAL_S
            else:
                self.send_to_relay(now)
                interval_s = RELAY_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    def send_beat(self, now: Instant) -> None:
        """Send one beat to every member."""
        beat = self._book.make_beat(now)
        targets = self._members.list_targets(now)
        if not targets:
            return
        data = self._pack(beat)
        for member in targets:
            self._send(data, member.address[0])

    def send_to_relay(self, now: Instant) -> None:
        """Send one beat to the relay; as a relay, also send the sums."""
        self._ticks += 1
        lost = self._choice.check(now)
        if lost is not None:
            logger.warning("relay lost", extra={"relay": lost})
        relay = self._choice.choose(self._list_candidates(now), now)
        beat = self._book.make_beat(now)
        short = msgspec.structs.replace(beat, usage=[], counts=[], taken=[])
        if relay == self._own.host:
            self._relays.note_beat(short, self._own.address[0], now)
        else:
            member = self._members.find(relay)
            if member is not None:
                self._send(self._pack(short), member.address[0])
        heard = self._beats_heard_ms
        is_used = heard is not None and now.mono_ms - heard < RELAY_SILENT_MS
        acts = relay == self._own.host or is_used
        if acts != self._is_relay:
            logger.info("relay changed", extra={"relay": relay, "is_own": acts})
        self._is_relay = acts
        self._candidacy.note_relay(acts, now)
        if acts:
            self._send_digests(now)
        self._tell_holder(beat)

    def _list_candidates(self, now: Instant) -> list[HostId]:
        if self._total is not None and now.mono_ms - self._total[1] < TOTAL_KEPT_MS:
            return [HostId(name) for name in self._total[0].members]
        return self._members.list_centre(self._own.data_centre)

    def _send_digests(self, now: Instant) -> None:
        fleet, ends = self._fleet.compute_hash(), self._book.list_ends()
        own = self._relays.make_own(fleet, ends, now, self._book.find_readiness())
        self._untold_parts = (self._untold_parts + own.parts)[-MAX_PARTS:]
        if self._ticks % EXCHANGE_TICKS == 0:
            self._send_to_relays(own, now)
        total = self._relays.make_total(own, now)
        self._take_total(total, now)
        data = self._pack(total)
        pause_s = RELAY_INTERVAL_S * PACED_SHARE / max(len(own.members), 1)
        for position, name in enumerate(own.members):
            member = self._members.find(HostId(name))
            if member is not None:
                send = functools.partial(self._send, data, member.address[0])
                self._call_later(position * pause_s, send)

    def _send_to_relays(self, own: Digest, now: Instant) -> None:
        parts, self._untold_parts = self._untold_parts, []
        data = self._pack(msgspec.structs.replace(own, parts=parts))
        known = self._relays.find_relays(now)
        for centre in self._members.list_centres():
            if centre == self._own.data_centre:
                continue
            address = known.get(centre) or self._guess_relay(centre)
            if address is not None:
                self._send(data, address)

    def _find_strength(self, host: HostId) -> int:
        if host == self._own.host:
            return self._own.strength
        member = self._members.find(host)
        return member.strength if member is not None else 0

    def _guess_relay(self, centre: DataCentre) -> str | None:
        """Return a host of a data centre whose relay is not known.

        The first in rank is its relay as long as it runs; the others pass on what they
        get, so they are tried in turn.
        """
        hosts = self._members.list_centre(centre)
        ranked = rank_relays(hosts, self._find_strength)
        if not ranked:
            return None
        number = self._ticks // EXCHANGE_TICKS
        is_first = number % 2 == 0
        host = ranked[0] if is_first else ranked[number // 2 % len(ranked)]
        member = self._members.find(host)
        return member.address[0] if member is not None else None

    def _tell_holder(self, beat: Beat) -> None:
        if self._total is None or self._ticks % HOLDER_TICKS:
            return
        holder = self._total[0].holder
        if holder is not None and holder[1] != self._own.address[0]:
            data = self._pack(msgspec.structs.replace(beat, loads=[], parts=[]))
            self._send(data, holder[1])

    def send_last_counts(self, now: Instant) -> None:
        """Tell the counts since the last message, before the process ends."""
        if self.is_meshed(now):
            self.send_beat(now)
        else:
            self._ticks = 0
            self._tell_holder(self._book.make_beat(now))

    def _send(self, datagrams: list[bytes], address: str) -> None:
        if self._transport is not None:
            for datagram in datagrams:
                self._transport.sendto(datagram, (address, self._beat_port))

    def _pack(self, message: Message) -> list[bytes]:
        return self._splitter.split(encode_message(message))

    # Receiving

    def _take_beat(self, beat: Beat, address: str, now: Instant) -> None:
        place = (address, self._beat_port)
        if self.is_meshed(now):
            member = self._book.apply_beat(beat, place, now)
            if member is not None:
                self._fetcher.compare(beat.ends, (address, self._control_port), now)
            return
        member = self._book.note_counts(beat, place, now)
        if member is not None and self._book.held_token:
            self._grants.note_own_admissions(beat, now)
        # A beat with usage is for the holder of the duties, not for a relay.
        if member is not None and not beat.usage and not beat.taken:
            self._beats_heard_ms = now.mono_ms
            self._relays.note_beat(beat, address, now)

    def _take_digest(self, digest: Digest, address: str, now: Instant) -> None:
        if digest.is_total:
            self._choice.note_heard(HostId(digest.relay), now)
            self._take_total(digest, now)
            control = (address, self._control_port)
            is_same = self._is_relay or digest.fleet == self._fleet.compute_hash()
            self._fetcher.compare_fleet(is_same, control, now)
            # A relay's copy of the registrations moves on with every heartbeat; the
            # hash tells whether they differ in anything that matters.
            ends = {t: end for t, end in digest.ends.items() if t != Topic.UPSTREAMS}
            self._fetcher.compare(ends, control, now)
        elif digest.data_centre != self._own.data_centre:
            sender = self._members.find(HostId(digest.relay))
            origin = sender.address[0] if sender is not None else address
            if self._is_relay:
                self._relays.note_digest(digest, origin, now)
                control = (address, self._control_port)
                self._fetcher.compare(digest.ends, control, now)
            elif address == origin:
                self._pass_to_relay(digest, now)

    def _pass_to_relay(self, digest: Digest, now: Instant) -> None:
        relay = self._choice.choose(self._list_candidates(now), now)
        member = self._members.find(relay)
        if member is not None:
            self._send(self._pack(digest), member.address[0])

    def _take_total(self, digest: Digest, now: Instant) -> None:
        self._total = (digest, now.mono_ms)
        self._counts = [
            (at_ms, hosts)
            for at_ms, hosts in self._counts
            if now.mono_ms - at_ms < COUNTED_MS
        ]
        self._counts.append((now.mono_ms, digest.hosts))
        self._book.apply_total(digest, max(hosts for _, hosts in self._counts), now)
