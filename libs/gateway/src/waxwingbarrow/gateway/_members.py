"""Hosts of the deployment, as this host hears them."""

import attrs

from waxwingbarrow.core import DataCentre, HostId, Instant

# A host that has been silent for this long does not count as present.
PRESENT_MS = 2_000
# Hosts that were heard within this time share in limits: a host that is cut off
# still serves its callers.
COUNTED_MS = 20_000
# A silent host is told the news at a lower rate until then, so that both sides find
# each other after a cut.
FORGOTTEN_MS = 60_000


@attrs.define
class Member:
    """Another host.

    Parameters
    ----------
    strength : int
        How well it is suited as a relay; see `compute_strength`.
    holds : int
        Fencing number under which it holds the duties, as it said last; 0 if not.
    readiness : int
        Whether it said that it could hold them; see `Readiness`.
    """

    host: HostId
    address: tuple[str, int]
    data_centre: DataCentre
    started_ms: int
    heard_ms: int | None
    listed_ms: int
    strength: int = 0
    holds: int = 0
    readiness: int = 1


class Members:
    """The other hosts that are known from the store or from their messages."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._members: dict[HostId, Member] = {}

    def list_host(
        self,
        host: HostId,
        address: tuple[str, int],
        data_centre: DataCentre,
        started_ms: int,
        strength: int,
        now: Instant,
    ) -> None:
        """Take over a host's registration in the store."""
        if host == self._own:
            return
        known = self._members.get(host)
        if known is None or known.started_ms < started_ms:
            self._members[host] = Member(
                host, address, data_centre, started_ms, None, now.mono_ms, strength
            )

    def hear(
        self,
        host: HostId,
        address: tuple[str, int],
        data_centre: DataCentre,
        started_ms: int,
        strength: int,
        now: Instant,
    ) -> Member | None:
        """Note a message; None if it is from an earlier start of the host."""
        if host == self._own:
            return None
        known = self._members.get(host)
        if known is not None and known.started_ms > started_ms:
            return None
        if known is None or known.started_ms < started_ms:
            known = Member(
                host, address, data_centre, started_ms, None, now.mono_ms, strength
            )
            self._members[host] = known
        known.heard_ms = now.mono_ms
        return known

    def list_present(self, now: Instant) -> list[Member]:
        """Return the hosts that were heard a moment ago."""
        return [
            member
            for member in self._members.values()
            if member.heard_ms is not None
            and now.mono_ms - member.heard_ms < PRESENT_MS
        ]

    def count_hosts(self, now: Instant) -> int:
        """Return the number of hosts that share limits, this one included."""
        return 1 + sum(
            now.mono_ms - (member.heard_ms or member.listed_ms) < COUNTED_MS
            for member in self._members.values()
        )

    def find(self, host: HostId) -> Member | None:
        """Return a host."""
        return self._members.get(host)

    def count_listed(self) -> int:
        """Return the number of known hosts, this one included."""
        return 1 + len(self._members)

    def list_centre(self, data_centre: DataCentre) -> list[HostId]:
        """Return the known hosts of a data centre."""
        return [
            member.host
            for member in self._members.values()
            if member.data_centre == data_centre
        ]

    def list_centres(self) -> list[DataCentre]:
        """Return the data centres of the known hosts."""
        return sorted({member.data_centre for member in self._members.values()})

    def list_targets(self, now: Instant) -> list[Member]:
        """Return the hosts to send messages to."""
        for host in [
            member.host
            for member in self._members.values()
            if now.mono_ms - (member.heard_ms or member.listed_ms) > FORGOTTEN_MS
        ]:
            del self._members[host]
        return list(self._members.values())
