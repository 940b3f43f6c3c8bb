"""Exchange of messages with the other hosts, directly or through relays."""

import asyncio
import functools
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from result import Err

from waxwingbarrow.core import Clock, HostId, Instant
from waxwingbarrow.gateway.admission import STAND_IN_SHARE, Permits, QuotaAdmission
from waxwingbarrow.gateway.base import (
    Position,
    Supervisor,
    Topic,
    Unreadable,
    is_ip_address,
)
from waxwingbarrow.gateway.messages import (
    AttemptReport,
    Fragmenter,
    Heartbeat,
    Message,
    PermitReply,
    PermitRequest,
    QuotaReply,
    QuotaRequest,
    Reassembler,
    RelaySummary,
    decode_message,
    encode_message,
    list_positions,
)
from waxwingbarrow.gateway.peers._candidates import Candidacy, DutyEligibility
from waxwingbarrow.gateway.peers._host_counts import HostCounts
from waxwingbarrow.gateway.peers._members import (
    FORGET_TIMEOUT_MS,
    LIMIT_SHARE_TIMEOUT_MS,
    Member,
    Members,
)
from waxwingbarrow.gateway.peers._peer_sync import PeerSync
from waxwingbarrow.gateway.peers._relay_directory import RelayDirectory
from waxwingbarrow.gateway.peers._relays import (
    MAX_SUMMARY_PROMPTS,
    RELAY_MIN_HOSTS,
    RELAY_TIMEOUT_MS,
    SUMMARY_MAX_AGE_MS,
    RelayAggregator,
    RelaySelector,
    rank_relays,
)
from waxwingbarrow.gateway.replication import OperatorCoverage, ReplicaFetcher
from waxwingbarrow.gateway.upstreams import Fleet

logger = logging.getLogger("waxwingbarrow.gateway.peers")

HEARTBEAT_INTERVAL_S = 0.25
# The choice of an upstream needs recent load figures, and with relays each figure
# passes through up to two of them.
RELAY_INTERVAL_S = 0.25
# A tick is one `RELAY_INTERVAL_S`. Relays exchange summaries only every other tick, as
# traffic between data centres is charged by the byte.
EXCHANGE_EVERY_TICKS = 2
# Fraction of the interval over which a relay spreads its messages: slow links drop
# datagrams if those for all hosts of a data centre are sent in one burst.
SEND_SPREAD_RATIO = 0.7
# Counts for the holder of the duties are cumulative, so they need not be sent often.
HOLDER_EVERY_TICKS = 4
# Time within which all hosts have learned of a new holder and sent it their counts.
COUNTS_DELAY_MS = 3_000
# A long poll returns as soon as there is a record. Its wait is long because the store
# charges for each read.
OPERATOR_WAIT_MS = 10_000
# Wait of hosts that vouch for the copies of others, or for whose copies none does.
SHORT_OPERATOR_WAIT_MS = 1_000
# A relay stands in for a silent holder of the duties only if it knows the demand of
# more than this fraction of the known hosts, so that no two do in a partition.
MIN_DEPUTY_COVERAGE = 0.5
# A relay that was not heard for two exchanges no longer precedes another as deputy.
DEPUTY_HEARD_MS = 1_250
MAX_DEPUTIES = 2
# Hosts that are asked for a permit at the most.
MAX_PERMIT_KEEPERS = 2
# Totals arrive several times a second; without one for this long, a host reads what its
# relay would have told it.
TOTAL_MISSING_MS = 1_000
# The relay is chosen among the hosts that the newest total lists, unless that total is
# older than this.
MEMBER_LIST_MAX_AGE_MS = 10_000


class PeerProtocol(asyncio.DatagramProtocol):
    """Exchanges messages with other hosts, directly or through relays.

    It also starts a fetch of replicas when the offsets in a message show that the
    sender is ahead of this host.

    Parameters
    ----------
    own : Member
        This host.
    fetcher : ReplicaFetcher
        Fetches replicas from a host that is ahead.
    control_port : int
        TCP port from which replicas are fetched; the same on all hosts.
    call_later : callable
        Calls a function after a delay in seconds.
    permits : Permits
        Answers the requests of other hosts for permits, and gets their answers.
    note_attempt : callable
        Called with the report of a host about an attempt, and the host's address.
    supervisor : Supervisor
        Contains the failures of single messages.
    """

    def __init__(
        self,
        own: Member,
        peer_sync: PeerSync,
        members: Members,
        fleet: Fleet,
        fetcher: ReplicaFetcher,
        quota_admission: QuotaAdmission,
        permits: Permits,
        control_port: int,
        clock: Clock,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], object],
        note_attempt: Callable[[AttemptReport, str, Instant], None],
        supervisor: Supervisor,
    ) -> None:
        self._own = own
        self._peer_sync = peer_sync
        self._members = members
        self._fleet = fleet
        self._fetcher = fetcher
        self._quota_admission = quota_admission
        self._permits = permits
        self._control_port = control_port
        self._peer_port = own.address[1]
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._note_attempt = note_attempt
        self._supervisor = supervisor
        self._fragmenter = Fragmenter()
        self._reassembler = Reassembler()
        self._transport: asyncio.DatagramTransport | None = None
        self._directory = RelayDirectory(own, members)
        self._relay_selector = RelaySelector(own.host, self._directory.find_relay_mbps)
        self._aggregator = RelayAggregator(own.host, own.data_centre, own.started_ms)
        # Monotonic time at which another host last used this one as its relay.
        self._used_as_relay_ms: int | None = None
        # Newest total and the monotonic time at which it arrived.
        self._last_total: tuple[RelaySummary, int] | None = None
        # Monotonic time at which each recent total arrived, and its number of hosts.
        self._host_counts: list[tuple[int, int]] = []
        self._ticks = 0
        # For each upstream, prompt parts that were not sent to the other relays yet.
        self._unsent_parts: list[tuple[str, list[tuple[int, int]]]] = []
        # Holder in the last sums that were sent to the other relays.
        self._sent_holder: tuple[int, str] | None = None
        self._is_relay = False
        # Monotonic time since which this host has been a relay.
        self._relay_since_ms: int | None = None
        self._candidacy = Candidacy(clock.now())
        self._operator_coverage = OperatorCoverage()
        self._host_counts_seen = HostCounts(clock.now())

    # Callbacks of asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        with self._supervisor.contain("messages"):
            self._handle_datagram(data, addr)

    def _handle_datagram(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now = self._clock.now()
        joined = self._reassembler.join(addr[0], data)
        if isinstance(joined, Err):
            self._log_unreadable(addr[0], joined.err_value)
            return
        if joined.ok_value is None:
            return
        decoded = decode_message(joined.ok_value)
        if isinstance(decoded, Err):
            self._log_unreadable(addr[0], decoded.err_value)
            return
        match decoded.ok_value:
            case Heartbeat() as heartbeat:
                self._handle_heartbeat(heartbeat, addr[0], now)
            case RelaySummary() as summary:
                self._handle_summary(summary, addr[0], now)
            case QuotaRequest() as request:
                reply = self._quota_admission.answer(
                    request, self.is_keeper(now), now, addr[0]
                )
                self.send_message(reply, addr[0])
            case QuotaReply() as reply:
                self._quota_admission.handle_quota_reply(reply)
            case AttemptReport() as report:
                self._note_attempt(report, addr[0], now)
            case PermitRequest() as permit_request:
                permit = self._permits.answer(
                    permit_request, self.is_permit_keeper(now), now
                )
                self.send_message(permit, addr[0])
            case PermitReply() as permit:
                self._permits.handle_reply(permit)

    def error_received(self, exc: Exception) -> None:
        logger.debug("message to a peer was not delivered", extra={"error": repr(exc)})

    def _log_unreadable(self, address: str, failure: Unreadable) -> None:
        logger.warning(
            "unreadable message from a peer",
            extra={"peer": address, "reason": failure.reason},
        )

    # Roles of this and other hosts

    def is_full_mesh(self, now: Instant) -> bool:
        """Whether each host sends its heartbeats to all other hosts."""
        return self._members.count_known() < RELAY_MIN_HOSTS

    def is_relay(self, now: Instant) -> bool:
        """Whether this host acts as a relay; in a full mesh each host does."""
        return self.is_full_mesh(now) or self._is_relay

    def needs_registrations(self, now: Instant) -> bool:
        """Whether this host reads the upstreams from the store itself.

        Relays do, and hosts that hear of no relay's copy.
        """
        if self.is_relay(now) or self._last_total is None:
            return True
        return now.mono_ms - self._last_total[1] > TOTAL_MISSING_MS

    def list_removable(
        self, registered: Iterable[HostId], now: Instant
    ) -> list[HostId]:
        """Return the registered hosts whose registrations this host is to remove.

        They were silent although they send to this host: in a full mesh that is the
        first in rank of the hosts that are present, with relays the relay of their data
        centre.
        """
        silent = {member.host for member in self._members.list_silent(now)}
        if self.is_full_mesh(now):
            present = [member.host for member in self._members.list_present(now)]
            ranked = rank_relays(
                [self._own.host, *present], self._directory.find_relay_mbps
            )
            if ranked[0] != self._own.host:
                return []
            # Hosts that were silent for as long are no longer known.
            return [
                host
                for host in registered
                if host != self._own.host
                and (host in silent or self._members.find(host) is None)
            ]
        since_ms = self._relay_since_ms
        if since_ms is None or now.mono_ms - since_ms < FORGET_TIMEOUT_MS:
            return []
        own_centre = set(self._members.list_hosts_in(self._own.data_centre))
        return [host for host in registered if host in silent & own_centre]

    def find_operator_wait_ms(self, now: Instant) -> int | None:
        """Return how long a read of the operator's topic may wait for a change.

        The result is None if this host need not read it, as a relay passes it on.
        """
        is_covered = self._operator_coverage.is_covered(now)
        if self.is_full_mesh(now):
            return OPERATOR_WAIT_MS if is_covered else SHORT_OPERATOR_WAIT_MS
        if self._is_relay or not is_covered:
            return SHORT_OPERATOR_WAIT_MS
        return None

    def is_candidate(self, now: Instant) -> bool:
        """Decide whether this host is a candidate for the duties; see `Candidacy`.

        The result is also part of the next heartbeat.
        """
        if self.is_full_mesh(now):
            present = self._members.list_present(now)
            # Only a host that hears a majority is able to hold the duties.
            is_able = 2 * (1 + len(present)) > self._members.count_known()
            eligibility_by_host = {
                member.host: member.eligibility for member in present
            }
        else:
            # A host that is no relay now does not hear the other relays, so it may stay
            # a candidate but not become one.
            is_able = self._candidacy.is_settled_relay(now) and (
                self._is_relay or self._peer_sync.is_candidate
            )
            eligibility_by_host = self._aggregator.list_eligibility(now)
        own = self._own.host
        able = [own, *(host for host, state in eligibility_by_host.items() if state)]
        ranked = rank_relays(able, self._directory.find_relay_mbps)
        candidates = {
            host
            for host, state in eligibility_by_host.items()
            if state == DutyEligibility.CANDIDATE
        }
        # Other hosts that are candidates already are ranked first.
        ranked.sort(key=lambda host: host not in candidates)
        is_held = self._find_other_holder(now) is not None
        self._peer_sync.is_candidate = self._candidacy.decide(
            is_held, is_able, ranked.index(own), candidates, now
        )
        return self._peer_sync.is_candidate

    def _find_other_holder(self, now: Instant) -> str | None:
        """Return the address of another host that holds the duties."""
        if self.is_full_mesh(now):
            present = self._members.list_present(now)
            holders = [
                (m.fencing_token, m.address[0]) for m in present if m.fencing_token
            ]
            holder = max(holders, default=None)
        elif (
            self._last_total is None
            or now.mono_ms - self._last_total[1] > SUMMARY_MAX_AGE_MS
        ):
            return None
        else:
            holder = self._last_total[0].holder
        if holder is None or holder[1] == self._own.address[0]:
            return None
        # If this host has just become the holder, the newest total may not show it yet.
        return None if self._peer_sync.held_fencing_token >= holder[0] else holder[1]

    def find_counts_delay_ms(self, now: Instant) -> int:
        """Return how long a new holder of the duties waits for other hosts' counts.

        In a full mesh it does not wait, as all hosts know all counts.
        """
        return 0 if self.is_full_mesh(now) else COUNTS_DELAY_MS

    def count_hosts(self, now: Instant) -> int:
        """Return the number of hosts that share the accounts' limits, with this one."""
        if self.is_full_mesh(now):
            return self._members.count_hosts(now)
        if self._last_total is not None:
            return max(self._last_total[0].host_count, 1)
        return self._members.count_known()

    def measure_coverage(self, now: Instant) -> float:
        """Return the fraction of the known hosts whose work this host knows of."""
        if self.is_full_mesh(now):
            heard = 1 + len(self._members.list_present(now))
        elif (
            self._last_total is None
            or now.mono_ms - self._last_total[1] > SUMMARY_MAX_AGE_MS
        ):
            return 0.0
        else:
            heard = self._last_total[0].host_count
        return min(heard / self._members.count_known(), 1.0)

    def list_keepers(self, now: Instant) -> list[str]:
        """Return the addresses of the hosts to ask for quota, the best one first.

        That is the holder of the duties, and the relays that stand in for it while it
        does not answer. This host is "". The list is empty if each host decides by its
        own share of the limits.
        """
        if self.is_full_mesh(now):
            return []
        if self._peer_sync.held_fencing_token:
            return [""]
        holder = self._find_other_holder(now)
        keepers = [] if holder is None else [holder]
        if (
            self._last_total is not None
            and now.mono_ms - self._last_total[1] < SUMMARY_MAX_AGE_MS
        ):
            keepers += self._last_total[0].deputies
        own = self._own.address[0]
        is_keeper = self.is_keeper(now)
        return [
            "" if address == own else address
            for address in dict.fromkeys(keepers)
            if address != own or is_keeper
        ]

    def list_permit_keepers(self, now: Instant) -> list[str]:
        """Return the addresses of the hosts to ask for permits, the best one first.

        This host is "".
        """
        if not self.is_full_mesh(now):
            return self.list_keepers(now)[:MAX_PERMIT_KEEPERS]
        addresses = {
            member.host: member.address[0] for member in self._members.list_present(now)
        }
        addresses[self._own.host] = ""
        ranked = rank_relays(addresses, self._directory.find_relay_mbps)
        is_keeper = self.is_permit_keeper(now)
        return [
            addresses[host]
            for host in ranked[:MAX_PERMIT_KEEPERS]
            if addresses[host] or is_keeper
        ]

    def is_permit_keeper(self, now: Instant) -> bool:
        """Return whether this host grants permits when it is asked.

        In a full mesh the first of the hosts that were heard just now does.
        """
        if not self.is_full_mesh(now):
            return self.is_keeper(now)
        heard = [
            member.host
            for member in self._members.list_present(now)
            if now.mono_ms - (member.last_heard_ms or 0) < DEPUTY_HEARD_MS
        ]
        ranked = rank_relays([self._own.host, *heard], self._directory.find_relay_mbps)
        return ranked[0] == self._own.host

    def measure_permit_share(self, now: Instant) -> float:
        """Return the fraction of the limits that this host may grant as the keeper.

        That is the fraction of the hosts that are heard now, and less while this host
        stands in for a holder that may still answer some of them.
        """
        if self.is_full_mesh(now):
            heard = 1 + len(self._members.list_present(now))
            return min(heard / self._members.count_hosts(now), 1.0)
        if self._last_total is None:
            return 1 / self._members.count_known()
        most = max((hosts for _, hosts in self._host_counts), default=1)
        share = min(self._last_total[0].host_count / max(most, 1), 1.0)
        if self._find_other_holder(now) is not None:
            share *= STAND_IN_SHARE
        return share

    def is_keeper(self, now: Instant) -> bool:
        """Return whether this host decides on quotas when it is asked.

        The holder of the duties does, and so does the first of the relays that know
        the demand of most hosts, for the hosts that the holder does not answer.
        """
        if self._peer_sync.held_fencing_token:
            return True
        if not self._is_relay or self.measure_coverage(now) <= MIN_DEPUTY_COVERAGE:
            return False
        return self._list_deputies(now)[:1] == [self._own.address[0]]

    def list_cold_keepers(self, now: Instant) -> list[str]:
        """Return the address of the holder of the duties, if one is known.

        It counts the requests to cold upstreams; "" is this host. No other host stands
        in for it, as both could grant at the same time.
        """
        if self._peer_sync.held_fencing_token:
            return [""]
        holder = self._find_other_holder(now)
        return [] if holder is None else [holder]

    def count_possible_hosts(self, now: Instant) -> int | None:
        """Return how many hosts may exist; None soon after the start."""
        return self._host_counts_seen.find_most(now)

    def _list_deputies(self, now: Instant) -> list[str]:
        """Return the addresses of the relays heard just now, the best one first."""
        addresses = self._aggregator.list_heard_relays(now, DEPUTY_HEARD_MS)
        addresses[self._own.host] = self._own.address[0]
        ranked = rank_relays(addresses, self._directory.find_relay_mbps)
        return [addresses[host] for host in ranked]

    # Outgoing messages

    def send_message(self, message: Message, address: str) -> None:
        """Send a message to one host."""
        self._send(self._encode(message), address)

    async def send_heartbeats(self) -> None:
        """Send heartbeats at an interval with a jitter of 10%, until cancelled."""
        while True:
            now = self._clock.now()
            if self.is_full_mesh(now):
                self.send_to_all_hosts(now)
                interval_s = HEARTBEAT_INTERVAL_S
            else:
                self.send_to_relay(now)
                interval_s = RELAY_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    def send_to_all_hosts(self, now: Instant) -> None:
        """Send one heartbeat to every other host, as in a full mesh."""
        heartbeat = self._peer_sync.make_heartbeat(now)
        self._host_counts_seen.note(self._members.count_known(), now)
        targets = self._members.list_targets(now)
        if not targets:
            return
        data = self._encode(heartbeat)
        for member in targets:
            self._send(data, member.address[0])

    def send_to_relay(self, now: Instant) -> None:
        """Send one heartbeat to the relay; a relay also sends summaries."""
        self._ticks += 1
        self._host_counts_seen.note(self._members.count_known(), now)
        lost = self._relay_selector.expire_silent(now)
        if lost is not None:
            logger.warning("relay lost", extra={"relay": lost})
        relay = self._relay_selector.choose(self._list_possible_relays(now), now)
        heartbeat = self._peer_sync.make_heartbeat(now)
        # Only the holder of the duties needs the omitted fields.
        for_relay = msgspec.structs.replace(
            heartbeat, usage=[], rollout_counts=[], taken=[]
        )
        if relay == self._own.host:
            self._aggregator.add_heartbeat(for_relay, self._own.address[0], now)
        else:
            member = self._members.find(relay)
            if member is not None:
                self._send(self._encode(for_relay), member.address[0])
        used_ms = self._used_as_relay_ms
        is_used = used_ms is not None and now.mono_ms - used_ms < RELAY_TIMEOUT_MS
        acts_as_relay = relay == self._own.host or is_used
        if acts_as_relay != self._is_relay:
            logger.info(
                "relay changed",
                extra={"relay": relay, "is_own": acts_as_relay},
            )
        if not acts_as_relay:
            self._relay_since_ms = None
        elif self._relay_since_ms is None:
            self._relay_since_ms = now.mono_ms
        self._is_relay = acts_as_relay
        self._candidacy.note_relay(acts_as_relay, now)
        if acts_as_relay:
            self._send_summaries(relay, now)
        self._send_to_holder(heartbeat)

    def _list_possible_relays(self, now: Instant) -> list[HostId]:
        """Return the hosts of this data centre among which the relay is chosen."""
        if (
            self._last_total is not None
            and now.mono_ms - self._last_total[1] < MEMBER_LIST_MAX_AGE_MS
        ):
            return [HostId(name) for name in self._last_total[0].members]
        return self._members.list_hosts_in(self._own.data_centre)

    def _send_summaries(self, relay: HostId, now: Instant) -> None:
        """Send the sums over this data centre to relays, and the total to its hosts.

        Parameters
        ----------
        relay : HostId
            The relay of this host; another one if this host is about to be replaced as
            relay, and then the total tells its hosts of that one.
        """
        store_era, end_offsets = self._peer_sync.list_end_offsets()
        own = self._aggregator.summarize_own(
            self._fleet.compute_hash(),
            end_offsets,
            now,
            self._peer_sync.find_eligibility(),
            self._peer_sync.measure_operator_age_ms(now),
            store_era,
        )
        notices = self._fleet.notices.list_reports(now)
        speeds = self._fleet.estimates.list_reports(now)
        cold = self._fleet.notices.cold.list_reports(now)
        own = msgspec.structs.replace(own, notices=notices, speeds=speeds, cold=cold)
        self._unsent_parts = (self._unsent_parts + own.parts)[-MAX_SUMMARY_PROMPTS:]
        # The other hosts wait for the duties as long as they know of a holder.
        is_holder_changed = own.holder != self._sent_holder
        if is_holder_changed or self._ticks % EXCHANGE_EVERY_TICKS == 0:
            self._sent_holder = own.holder
            self._send_to_relays(own, now)
        total = self._aggregator.summarize_all(own, now)
        replacement = "" if relay == self._own.host else str(relay)
        known_hosts = sorted({*own.members, str(self._own.host), str(relay)})
        total = msgspec.structs.replace(
            total,
            members=known_hosts,
            replacement=replacement,
            notices=notices,
            speeds=speeds,
            cold=cold,
            deputies=self._list_deputies(now)[:MAX_DEPUTIES],
        )
        self._apply_total(total, now)
        data = self._encode(total)
        pause_s = RELAY_INTERVAL_S * SEND_SPREAD_RATIO / max(len(own.members), 1)
        for position, name in enumerate(own.members):
            member = self._members.find(HostId(name))
            if member is not None:
                send = functools.partial(self._send, data, member.address[0])
                self._call_later(position * pause_s, send)

    def _send_to_relays(self, own: RelaySummary, now: Instant) -> None:
        """Send the sums over this data centre to all other relays.

        Also to hosts that are likely relays of data centres without a known one, and to
        hosts of this data centre that are preferred to this one.
        """
        parts, self._unsent_parts = self._unsent_parts, []
        data = self._encode(msgspec.structs.replace(own, parts=parts))
        known = self._aggregator.list_relay_addresses(now)
        addresses = {address for listed in known.values() for address in listed}
        turn = self._ticks // EXCHANGE_EVERY_TICKS
        for centre in self._members.list_data_centres():
            if centre != self._own.data_centre and centre not in known:
                addresses |= self._directory.guess_relay(centre, turn)
        addresses |= self._directory.list_preferred(turn)
        for address in sorted(addresses - {self._own.address[0]}):
            self._send(data, address)

    def _send_to_holder(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to the holder of the duties every `HOLDER_EVERY_TICKS`."""
        if self._last_total is None or self._ticks % HOLDER_EVERY_TICKS:
            return
        holder = self._last_total[0].holder
        if holder is not None and holder[1] != self._own.address[0]:
            data = self._encode(
                msgspec.structs.replace(
                    heartbeat, loads=[], parts=[], is_for_holder=True
                )
            )
            self._send(data, holder[1])

    def send_last_counts(self, now: Instant) -> None:
        """Send a last heartbeat with the final counts, before the process ends."""
        if self.is_full_mesh(now):
            self.send_to_all_hosts(now)
        else:
            self._ticks = 0
            self._send_to_holder(self._peer_sync.make_heartbeat(now))

    def close(self) -> None:
        """Send what is queued, then stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _send(self, datagrams: list[bytes], address: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        # Messages name the addresses of keepers and holders.
        if not is_ip_address(address):
            logger.warning("message has no valid address", extra={"address": address})
            return
        for datagram in datagrams:
            self._transport.sendto(datagram, (address, self._peer_port))

    def _encode(self, message: Message) -> list[bytes]:
        return self._fragmenter.split(encode_message(message))

    # Incoming messages

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, address: str, now: Instant
    ) -> None:
        sender_address = (address, self._peer_port)
        self._fleet.notices.update_from_peer(heartbeat.notices, now)
        self._fleet.estimates.update_from_peer(heartbeat.speeds, now)
        self._fleet.notices.cold.update_from_peer(heartbeat.cold, now)
        if self.is_full_mesh(now):
            member = self._peer_sync.apply_heartbeat(heartbeat, sender_address, now)
            if member is not None:
                if self._precedes(member.host):
                    self._note_operator_age(heartbeat, now)
                self._fetch_if_behind(heartbeat, address, now)
            return
        member = self._peer_sync.apply_counts(heartbeat, sender_address, now)
        if member is not None and self._peer_sync.held_fencing_token:
            self._quota_admission.charge_local_admissions(heartbeat, now)
        # Hosts of other data centres send heartbeats to all while they know only a few.
        is_for_relay = (
            not heartbeat.is_for_holder
            and heartbeat.data_centre == self._own.data_centre
        )
        if member is not None and is_for_relay:
            self._used_as_relay_ms = now.mono_ms
            self._aggregator.add_heartbeat(heartbeat, address, now)
            # Its hosts may reach the store while no relay does.
            self._fetch_if_behind(
                heartbeat, address, now, lambda topic: topic == Topic.OPERATOR
            )

    def _handle_summary(
        self, summary: RelaySummary, address: str, now: Instant
    ) -> None:
        self._fleet.notices.update_from_peer(summary.notices, now)
        self._fleet.estimates.update_from_peer(summary.speeds, now)
        self._fleet.notices.cold.update_from_peer(summary.cold, now)
        if summary.is_total:
            if summary.data_centre != self._own.data_centre:
                return
            self._relay_selector.record_heard(HostId(summary.relay), now)
            if summary.replacement:
                # This host may have excluded it while it did not run.
                self._relay_selector.record_heard(HostId(summary.replacement), now)
            self._apply_total(summary, now)
            control = (address, self._control_port)
            is_same = self._is_relay or summary.fleet_hash == self._fleet.compute_hash()
            self._fetcher.fetch_if_fleet_differs(is_same, control, now)
            # The offset of the registrations grows with each heartbeat of an upstream,
            # so a difference says little. The hash tells whether the upstreams differ.
            self._fetch_if_behind(
                summary, address, now, lambda topic: topic != Topic.UPSTREAMS
            )
            return
        if summary.relay == self._own.host:
            # A host that was taken for another relay forwarded it.
            return
        sender = self._members.find(HostId(summary.relay))
        origin = sender.address[0] if sender is not None else address
        if not self._is_relay:
            if address == origin:
                self._forward_to_relay(summary, now)
            return
        self._aggregator.add_summary(summary, origin, now)
        if summary.data_centre == self._own.data_centre:
            self._settle_relay(HostId(summary.relay), origin, now)
        self._fetch_if_behind(summary, address, now)

    def _fetch_if_behind(
        self,
        message: Heartbeat | RelaySummary,
        address: str,
        now: Instant,
        is_wanted: Callable[[str], bool] = lambda topic: True,
    ) -> None:
        """Fetch from the sender of a message if this host knows less of a topic."""
        positions = {
            topic: position
            for topic, position in list_positions(message).items()
            if is_wanted(topic)
        }
        self._fetcher.fetch_if_behind(positions, (address, self._control_port), now)

    def _precedes(self, other: HostId) -> bool:
        """Return whether another host is preferred to this one as relay."""
        ranked = rank_relays([self._own.host, other], self._directory.find_relay_mbps)
        return ranked[0] == other

    def _note_operator_age(
        self, message: Heartbeat | RelaySummary, now: Instant
    ) -> None:
        """Record how recently the store confirmed the operator's topic to a host."""
        self._operator_coverage.note_message(
            message.operator_age_ms,
            list_positions(message).get(Topic.OPERATOR, Position()),
            self._peer_sync.operator_position,
            now,
        )

    def _settle_relay(self, other: HostId, address: str, now: Instant) -> None:
        """Let the preferred one of two relays of this data centre replace the other."""
        if self._precedes(other):
            self._relay_selector.record_heard(other, now)
        elif self._last_total is not None:
            self._send(self._encode(self._last_total[0]), address)

    def _forward_to_relay(self, summary: RelaySummary, now: Instant) -> None:
        """Forward a summary whose sender took this host for the relay."""
        relay = self._relay_selector.choose(self._list_possible_relays(now), now)
        member = self._members.find(relay)
        if member is not None:
            self._send(self._encode(summary), member.address[0])

    def _apply_total(self, summary: RelaySummary, now: Instant) -> None:
        self._last_total = (summary, now.mono_ms)
        self._note_operator_age(summary, now)
        self._host_counts = [
            (received_ms, hosts)
            for received_ms, hosts in self._host_counts
            if now.mono_ms - received_ms < LIMIT_SHARE_TIMEOUT_MS
        ]
        self._host_counts.append((now.mono_ms, summary.host_count))
        self._peer_sync.apply_total(
            summary, max(hosts for _, hosts in self._host_counts), now
        )
