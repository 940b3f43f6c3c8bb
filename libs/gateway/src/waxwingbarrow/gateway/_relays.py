"""Relays: hosts that sum up the messages of their data centre.

In a small deployment every host sends its messages to every other one. From
`MESH_HOSTS` on, a host sends them to the relay of its data centre only; relays exchange
sums and tell their hosts the total. What a host sends and receives then does not grow
with the number of hosts.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs
import xxhash

from waxwingbarrow.core import DataCentre, HostId, Instant
from waxwingbarrow.gateway._beats import FORMAT, Beat, Digest

# A full mesh of this many hosts costs each of them about 1% of a core.
MESH_HOSTS = 14
# A relay that is not heard for this long is passed over for a while.
RELAY_SILENT_MS = 1_600
RELAY_SUSPECT_MS = 5_000
# Messages older than this are left out of the sums.
BEAT_FRESH_MS = 1_500
DIGEST_FRESH_MS = 2_500
# Identifiers of prompt parts make up most of a message and cannot be compressed.
MAX_PARTS = 24

# Rate of messages, in Mbit/s, that a full core handles: about 50 us for one of 1,200
# bytes, of which a relay has half its core.
CORE_MBPS = 100.0

T = TypeVar("T")


def compute_strength(link_mbps: float, processor_cores: float) -> int:
    """Return how well a host is suited as a relay: its link, or what it can fill of it.

    Examples
    --------
    >>> compute_strength(link_mbps=10, processor_cores=0.5)
    10
    >>> compute_strength(link_mbps=1_000, processor_cores=0.5)
    50
    """
    return int(min(link_mbps, processor_cores * CORE_MBPS))


def rank_relays(
    hosts: Iterable[HostId], find_strength: Callable[[HostId], int]
) -> list[HostId]:
    """Return hosts in the order in which they are wanted as relay.

    Examples
    --------
    >>> strengths = {HostId("a"): 10, HostId("b"): 200, HostId("c"): 10}
    >>> ranked = rank_relays(strengths, strengths.__getitem__)
    >>> ranked[0], ranked == rank_relays(reversed(strengths), strengths.__getitem__)
    ('b', True)
    """

    def rank(host: HostId) -> tuple[int, int, HostId]:
        return -find_strength(host), xxhash.xxh64_intdigest(host.encode()), host

    return sorted(hosts, key=rank)


class RelayChoice:
    """The relay that one host uses.

    Parameters
    ----------
    find_strength : callable
        How well a host is suited; see `compute_strength`.
    """

    def __init__(self, own: HostId, find_strength: Callable[[HostId], int]) -> None:
        self._own = own
        self._find_strength = find_strength
        self._suspect_until: dict[HostId, int] = {}
        self._current: HostId | None = None
        self._since_ms = 0

    def choose(self, hosts: Iterable[HostId], now: Instant) -> HostId:
        """Return the relay among the hosts of the own data centre."""
        for host in rank_relays({*hosts, self._own}, self._find_strength):
            if host == self._own or self._suspect_until.get(host, 0) <= now.mono_ms:
                if host != self._current:
                    self._current = host
                    self._since_ms = now.mono_ms
                return host
        return self._own

    def note_heard(self, relay: HostId, now: Instant) -> None:
        """Note a digest of a relay."""
        self._suspect_until.pop(relay, None)
        if relay == self._current:
            self._since_ms = now.mono_ms

    def check(self, now: Instant) -> HostId | None:
        """Pass over the present relay if it has been silent; return it then."""
        current = self._current
        if current is None or current == self._own:
            return None
        if now.mono_ms - self._since_ms < RELAY_SILENT_MS:
            return None
        self._suspect_until[current] = now.mono_ms + RELAY_SUSPECT_MS
        self._current = None
        return current


@attrs.frozen
class _Heard:
    beat: Beat
    address: str
    at_ms: int


class RelayBook:
    """What a relay has heard: beats of its hosts and digests of other relays."""

    def __init__(self, relay: HostId, data_centre: DataCentre, started_ms: int) -> None:
        self._relay = relay
        self._data_centre = data_centre
        self._started_ms = started_ms
        self._beats: dict[HostId, _Heard] = {}
        self._parts: list[tuple[str, list[tuple[int, int]]]] = []
        self._digests: dict[tuple[str, str], tuple[Digest, str, int]] = {}

    def note_beat(self, beat: Beat, address: str, now: Instant) -> None:
        """Take over a host's beat."""
        self._beats[HostId(beat.host)] = _Heard(beat, address, now.mono_ms)
        self._parts += beat.parts

    def note_digest(self, digest: Digest, address: str, now: Instant) -> None:
        """Take over another relay's digest."""
        key = (digest.data_centre, digest.relay)
        self._digests[key] = (digest, address, now.mono_ms)

    def find_relays(self, now: Instant) -> dict[DataCentre, str]:
        """Return the address of the relay that was heard last in each data centre."""
        newest: dict[DataCentre, tuple[int, str]] = {}
        for digest, address, at_ms in self._digests.values():
            centre = DataCentre(digest.data_centre)
            is_fresh = now.mono_ms - at_ms < DIGEST_FRESH_MS
            if is_fresh and at_ms >= newest.get(centre, (0, ""))[0]:
                newest[centre] = (at_ms, address)
        return {centre: address for centre, (_, address) in newest.items()}

    def list_readiness(self, now: Instant) -> dict[HostId, int]:
        """Return whether the other relays could hold the duties."""
        return {
            HostId(digest.relay): digest.readiness
            for digest, _, at_ms in self._digests.values()
            if now.mono_ms - at_ms < DIGEST_FRESH_MS
        }

    def make_own(
        self, fleet: int, ends: dict[str, int], now: Instant, readiness: int = 1
    ) -> Digest:
        """Return the sums over the own data centre, and forget the parts told."""
        fresh = [
            heard
            for heard in self._beats.values()
            if now.mono_ms - heard.at_ms < BEAT_FRESH_MS
        ]
        beats = [heard.beat for heard in fresh]
        holders = [(h.beat.holds, h.address) for h in fresh if h.beat.holds]
        parts, self._parts = self._parts[-MAX_PARTS:], []
        return Digest(
            FORMAT,
            self._relay,
            self._started_ms,
            self._data_centre,
            False,
            len(beats),
            [beat.host for beat in beats],
            max(holders, default=None),
            ends,
            fleet,
            _sum_loads(beat.loads for beat in beats),
            _sum_rates(beat.demands for beat in beats),
            _sum_rates(beat.work for beat in beats),
            parts,
            _join(beat.suspects for beat in beats),
            _join(beat.withdrawn for beat in beats),
            readiness,
        )

    def make_total(self, own: Digest, now: Instant) -> Digest:
        """Return the sums over all data centres for the hosts of this one."""
        others = [
            digest
            for digest, _, at_ms in self._digests.values()
            if now.mono_ms - at_ms < DIGEST_FRESH_MS
        ]
        digests = [own, *others]
        holders = [digest.holder for digest in digests if digest.holder is not None]
        return Digest(
            FORMAT,
            self._relay,
            self._started_ms,
            self._data_centre,
            True,
            sum(digest.hosts for digest in digests),
            own.members,
            max(holders, default=None),
            own.ends,
            own.fleet,
            _sum_loads(digest.loads for digest in digests),
            _sum_rates(digest.demands for digest in digests),
            _sum_rates(digest.work for digest in digests),
            _join(digest.parts for digest in digests)[-MAX_PARTS:],
            _join(digest.suspects for digest in digests),
            _join(digest.withdrawn for digest in digests),
        )


def _sum_loads(
    lists: Iterable[list[tuple[str, int, int, int]]],
) -> list[tuple[str, int, int, int]]:
    totals: dict[str, list[int]] = {}
    for loads in lists:
        for name, running, unread, used in loads:
            total = totals.setdefault(name, [0, 0, 0])
            total[0] += running
            total[1] += unread
            total[2] += used
    return [(name, a, b, c) for name, (a, b, c) in totals.items()]


def _sum_rates(lists: Iterable[list[tuple[str, float]]]) -> list[tuple[str, float]]:
    totals: dict[str, float] = {}
    for rates in lists:
        for name, rate in rates:
            totals[name] = totals.get(name, 0.0) + rate
    return [(name, round(rate, 1)) for name, rate in totals.items()]


def _join(lists: Iterable[list[T]]) -> list[T]:
    return [item for items in lists for item in items]
