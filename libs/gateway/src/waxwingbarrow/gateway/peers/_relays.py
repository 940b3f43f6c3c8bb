"""Relays: hosts that aggregate the messages of their data centre.

In a small deployment every host sends heartbeats to every other host. From
`RELAY_MIN_HOSTS` hosts on, each host sends its heartbeats only to the relay of its data
centre. Relays exchange sums over their data centres and send the total to their hosts.
The traffic of a host that is not a relay then does not grow with the number of hosts.

Hosts of one data centre may start with different relays, as they learn of each other
one after the other. Relays of one data centre send each other their sums too, so the
totals are complete meanwhile, and a relay sends its sums to hosts that are preferred to
it. One of them that runs answers with its total, and the relay and its hosts change
over to it.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs
import xxhash

from waxwingbarrow.core import DataCentre, HostId, Instant
from waxwingbarrow.gateway.base import MAX_INTEGER, MAX_NUMBER, Position, Topic
from waxwingbarrow.gateway.messages import (
    MESSAGE_FORMAT,
    Heartbeat,
    RelaySummary,
    list_positions,
)
from waxwingbarrow.gateway.upstreams import merge_part_losses, merge_suspects

# Number of hosts from which relays are used. A full mesh of this many hosts costs each
# of them about 1% of a core.
RELAY_MIN_HOSTS = 14
# A relay that has been silent for `RELAY_TIMEOUT_MS` is not chosen again for
# `RELAY_RETRY_MS`.
RELAY_TIMEOUT_MS = 1_600
RELAY_RETRY_MS = 5_000
# Times that a host which was never heard is chosen before the others go first.
MAX_SILENCES = 2
# A relay of the own data centre counts as running for this long after its last message.
RELAY_HEARD_MS = 2_500
# Messages older than this are left out of the sums.
HEARTBEAT_MAX_AGE_MS = 1_500
SUMMARY_MAX_AGE_MS = 2_500
# Maximum number of prompts whose parts a summary contains. Identifiers of prompt parts
# make up most of a message and do not compress.
MAX_SUMMARY_PROMPTS = 24

# Message rate in Mbit/s that a relay can handle per core: a message of 1,200 bytes
# takes about 50 us, and half of the core is available for messages.
MBPS_PER_CORE = 100.0

T = TypeVar("T")


def compute_relay_mbps(link_mbps: float, processor_cores: float) -> int:
    """Return the rate in Mbit/s at which a host can relay, by its link and its cores.

    Examples
    --------
    >>> compute_relay_mbps(link_mbps=10, processor_cores=0.5)
    10
    >>> compute_relay_mbps(link_mbps=1_000, processor_cores=0.5)
    50
    """
    return int(min(link_mbps, processor_cores * MBPS_PER_CORE))


def rank_relays(
    hosts: Iterable[HostId], find_relay_mbps: Callable[[HostId], int]
) -> list[HostId]:
    """Return hosts in the order in which they are preferred as relay.

    The order is the same on all hosts. Hosts of equal rate are ordered by a hash.

    Examples
    --------
    >>> rates = {HostId("a"): 10, HostId("b"): 200, HostId("c"): 10}
    >>> ranked = rank_relays(rates, rates.__getitem__)
    >>> ranked[0], ranked == rank_relays(reversed(rates), rates.__getitem__)
    ('b', True)
    """

    def rank(host: HostId) -> tuple[int, int, HostId]:
        return -find_relay_mbps(host), xxhash.xxh64_intdigest(host.encode()), host

    return sorted(hosts, key=rank)


class RelaySelector:
    """Chooses the relay that one host uses.

    Parameters
    ----------
    find_relay_mbps : callable
        Returns the rate at which a host can relay; see `compute_relay_mbps`.
    """

    def __init__(self, own: HostId, find_relay_mbps: Callable[[HostId], int]) -> None:
        self._own = own
        self._find_relay_mbps = find_relay_mbps
        self._excluded_until_ms: dict[HostId, int] = {}
        # Hosts that were chosen in vain twice and never heard come after all others, so
        # that those that run are reached however many registered hosts have ended.
        self._heard: set[HostId] = set()
        self._silences: Counter[HostId] = Counter()
        self._heard_ms: dict[HostId, int] = {}
        self._current: HostId | None = None
        self._last_heard_ms = 0

    def choose(self, hosts: Iterable[HostId], now: Instant) -> HostId:
        """Return the first host in rank that is not excluded; this host if all are.

        Parameters
        ----------
        hosts : iterable
            Hosts of this host's data centre. Hosts that were heard as its relays are
            added to them.
        """
        self._heard_ms = {
            host: heard_ms
            for host, heard_ms in self._heard_ms.items()
            if now.mono_ms - heard_ms < RELAY_HEARD_MS
        }
        possible = {*hosts, *self._heard_ms, self._own}
        ranked = rank_relays(possible, self._find_relay_mbps)
        ranked.sort(key=lambda host: self._silences[host] >= MAX_SILENCES)
        for host in ranked:
            if host == self._own or self._excluded_until_ms.get(host, 0) <= now.mono_ms:
                if host != self._current:
                    self._current = host
                    self._last_heard_ms = now.mono_ms
                return host
        return self._own

    def record_heard(self, relay: HostId, now: Instant) -> None:
        """Record that a message of a relay arrived, and make it eligible again."""
        self._excluded_until_ms.pop(relay, None)
        self._heard.add(relay)
        self._silences.pop(relay, None)
        self._heard_ms[relay] = now.mono_ms
        if relay == self._current:
            self._last_heard_ms = now.mono_ms

    def expire_silent(self, now: Instant) -> HostId | None:
        """Exclude the current relay for a while if it is silent, and return it then."""
        current = self._current
        if current is None or current == self._own:
            return None
        if now.mono_ms - self._last_heard_ms < RELAY_TIMEOUT_MS:
            return None
        if current not in self._heard:
            self._silences[current] += 1
        self._excluded_until_ms[current] = now.mono_ms + RELAY_RETRY_MS
        self._heard_ms.pop(current, None)
        self._current = None
        return current


@attrs.frozen
class _ReceivedHeartbeat:
    """A heartbeat, its sender's IP address, and the monotonic time of its arrival."""

    heartbeat: Heartbeat
    address: str
    received_ms: int


class RelayAggregator:
    """Collects heartbeats of a relay's hosts and summaries of other relays."""

    def __init__(self, relay: HostId, data_centre: DataCentre, started_ms: int) -> None:
        self._relay = relay
        self._data_centre = data_centre
        self._started_ms = started_ms
        self._heartbeats: dict[HostId, _ReceivedHeartbeat] = {}
        self._parts: list[tuple[str, list[tuple[int, int]]]] = []
        # By data centre and relay: summary, IP address, monotonic time of the arrival.
        self._summaries: dict[tuple[str, str], tuple[RelaySummary, str, int]] = {}

    def add_heartbeat(self, heartbeat: Heartbeat, address: str, now: Instant) -> None:
        """Add a host's heartbeat; it replaces the one before."""
        self._heartbeats[HostId(heartbeat.host)] = _ReceivedHeartbeat(
            heartbeat, address, now.mono_ms
        )
        self._parts += heartbeat.parts

    def add_summary(self, summary: RelaySummary, address: str, now: Instant) -> None:
        """Add another relay's summary; it replaces the one before."""
        self._summaries = {
            key: entry
            for key, entry in self._summaries.items()
            if now.mono_ms - entry[2] < SUMMARY_MAX_AGE_MS
        }
        key = (summary.data_centre, summary.relay)
        self._summaries[key] = (summary, address, now.mono_ms)

    def list_relay_addresses(self, now: Instant) -> dict[DataCentre, list[str]]:
        """Return the addresses of the relays heard recently, by data centre."""
        addresses: dict[DataCentre, list[str]] = {}
        for summary, address, received_ms in self._summaries.values():
            if now.mono_ms - received_ms < SUMMARY_MAX_AGE_MS:
                centre = DataCentre(summary.data_centre)
                addresses.setdefault(centre, []).append(address)
        return addresses

    def list_heard_relays(self, now: Instant, max_age_ms: int) -> dict[HostId, str]:
        """Return the addresses of the other relays heard within a time, by host."""
        return {
            HostId(summary.relay): address
            for summary, address, received_ms in self._summaries.values()
            if now.mono_ms - received_ms < max_age_ms
        }

    def list_eligibility(self, now: Instant) -> dict[HostId, int]:
        """Return the eligibility of the other relays; see `DutyEligibility`."""
        return {
            HostId(summary.relay): summary.eligibility
            for summary, _, received_ms in self._summaries.values()
            if now.mono_ms - received_ms < SUMMARY_MAX_AGE_MS
        }

    def summarize_own(
        self,
        fleet_hash: int,
        end_offsets: dict[str, int],
        now: Instant,
        eligibility: int = 1,
        operator_age_ms: int | None = None,
        store_era: int = 0,
    ) -> RelaySummary:
        """Return the sums over this data centre.

        Prompt parts are returned once: they are forgotten afterwards.

        Parameters
        ----------
        fleet_hash, end_offsets, eligibility, store_era : int, dict, int, int
            Of the relay itself; see `Heartbeat`.
        operator_age_ms : int or None
            Of the relay itself; see `RelaySummary`.
        """
        self._heartbeats = {
            host: received
            for host, received in self._heartbeats.items()
            if now.mono_ms - received.received_ms < HEARTBEAT_MAX_AGE_MS
        }
        fresh = list(self._heartbeats.values())
        heartbeats = [received.heartbeat for received in fresh]
        holders = [
            (entry.heartbeat.fencing_token, entry.address)
            for entry in fresh
            if entry.heartbeat.fencing_token
        ]
        parts, self._parts = self._parts[-MAX_SUMMARY_PROMPTS:], []
        return RelaySummary(
            MESSAGE_FORMAT,
            self._relay,
            self._started_ms,
            self._data_centre,
            False,
            len(heartbeats),
            [heartbeat.host for heartbeat in heartbeats],
            max(holders, default=None),
            end_offsets,
            fleet_hash,
            _sum_loads(heartbeat.loads for heartbeat in heartbeats),
            _sum_rates(heartbeat.demands for heartbeat in heartbeats),
            _sum_rates(heartbeat.work for heartbeat in heartbeats),
            parts,
            merge_suspects(heartbeat.suspects for heartbeat in heartbeats),
            _concatenate(heartbeat.withdrawn for heartbeat in heartbeats),
            eligibility,
            operator_age_ms=operator_age_ms,
            part_losses=merge_part_losses(
                heartbeat.part_losses for heartbeat in heartbeats
            ),
            store_era=store_era,
        )

    def summarize_all(self, own: RelaySummary, now: Instant) -> RelaySummary:
        """Return the sums over all data centres, for the hosts of this data centre.

        Parameters
        ----------
        own : RelaySummary
            Sums over this data centre; see `summarize_own`.
        """
        others = [
            summary
            for summary, _, received_ms in self._summaries.values()
            if now.mono_ms - received_ms < SUMMARY_MAX_AGE_MS
        ]
        summaries = [own, *others]
        holders = [
            summary.holder for summary in summaries if summary.holder is not None
        ]
        return RelaySummary(
            MESSAGE_FORMAT,
            self._relay,
            self._started_ms,
            self._data_centre,
            True,
            sum(summary.host_count for summary in summaries),
            own.members,
            max(holders, default=None),
            own.end_offsets,
            own.fleet_hash,
            _sum_loads(summary.loads for summary in summaries),
            _sum_rates(summary.demands for summary in summaries),
            _sum_rates(summary.work for summary in summaries),
            _concatenate(summary.parts for summary in summaries)[-MAX_SUMMARY_PROMPTS:],
            merge_suspects(summary.suspects for summary in summaries),
            _concatenate(summary.withdrawn for summary in summaries),
            operator_age_ms=self._find_operator_age_ms(own, now),
            part_losses=merge_part_losses(summary.part_losses for summary in summaries),
            store_era=own.store_era,
        )

    def _find_operator_age_ms(self, own: RelaySummary, now: Instant) -> int | None:
        """Return the least age of a confirmation that holds for this relay's copy.

        That of another relay holds only if this one knows as much.
        """
        own_position = list_positions(own).get(Topic.OPERATOR, Position())
        ages_ms = [own.operator_age_ms]
        for summary, _, received_ms in self._summaries.values():
            known = list_positions(summary).get(Topic.OPERATOR, Position())
            is_known = own_position >= known
            if summary.operator_age_ms is not None and is_known:
                ages_ms.append(summary.operator_age_ms + now.mono_ms - received_ms)
        return min((age_ms for age_ms in ages_ms if age_ms is not None), default=None)


def _sum_loads(
    lists: Iterable[list[tuple[str, int, int, int]]],
) -> list[tuple[str, int, int, int]]:
    totals: dict[str, list[int]] = {}
    for loads in lists:
        for name, running, pending, used in loads:
            total = totals.setdefault(name, [0, 0, 0])
            for position, figure in enumerate((running, pending, used)):
                total[position] = min(total[position] + figure, MAX_INTEGER)
    return [
        (name, running_sum, pending_sum, used_sum)
        for name, (running_sum, pending_sum, used_sum) in totals.items()
    ]


def _sum_rates(lists: Iterable[list[tuple[str, float]]]) -> list[tuple[str, float]]:
    totals: dict[str, float] = {}
    for rates in lists:
        for name, rate in rates:
            totals[name] = min(totals.get(name, 0.0) + rate, MAX_NUMBER)
    return [(name, round(rate, 1)) for name, rate in totals.items()]


def _concatenate(lists: Iterable[list[T]]) -> list[T]:
    return [item for items in lists for item in items]
