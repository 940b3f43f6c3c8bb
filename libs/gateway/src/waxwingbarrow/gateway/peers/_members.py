"""The other hosts of the deployment, from registrations and from their messages."""

import attrs

from waxwingbarrow.core import DataCentre, HostId, Instant

# A host that has been silent for this long no longer counts as present.
PRESENT_TIMEOUT_MS = 2_000
# A host keeps its share of the accounts' limits until it has been silent for this long,
# because a host that is only cut off from this one still serves its callers.
LIMIT_SHARE_TIMEOUT_MS = 20_000
# Messages go to a silent host for this long, so that both sides find each other again
# after a network partition.
FORGET_TIMEOUT_MS = 60_000


@attrs.define
class Member:
    """A host, with what its newest message said.

    Parameters
    ----------
    address : tuple
        IP address and port for messages between hosts.
    started_ms : int
        Wall time of the start of its process.
    last_heard_ms : int or None
        Monotonic time of its newest message; None before the first one.
    added_ms : int
        Monotonic time at which this start of the host became known.
    relay_mbps : int
        Rate in Mbit/s at which it can relay; see `compute_relay_mbps`.
    fencing_token : int
        Fencing token under which it holds the duties; 0 if it does not.
    eligibility : int
        Whether it could hold the duties; see `DutyEligibility`.
    """

    host: HostId
    address: tuple[str, int]
    data_centre: DataCentre
    started_ms: int
    last_heard_ms: int | None
    added_ms: int
    relay_mbps: int = 0
    fencing_token: int = 0
    eligibility: int = 1


class Members:
    """The other hosts that are known from the store or from their messages."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._members: dict[HostId, Member] = {}

    def add_registered(
        self,
        host: HostId,
        address: tuple[str, int],
        data_centre: DataCentre,
        started_ms: int,
        relay_mbps: int,
        now: Instant,
    ) -> None:
        """Add a host that is registered in the store, or replace its earlier start."""
        if host == self._own:
            return
        known = self._members.get(host)
        if known is None or known.started_ms < started_ms:
            self._members[host] = Member(
                host, address, data_centre, started_ms, None, now.mono_ms, relay_mbps
            )

    def update_from_peer(
        self,
        host: HostId,
        address: tuple[str, int],
        data_centre: DataCentre,
        started_ms: int,
        relay_mbps: int,
        now: Instant,
    ) -> Member | None:
        """Record a message from a host and return the host.

        The result is None if the message is this host's own or from an earlier start of
        the other host.
        """
        if host == self._own:
            return None
        known = self._members.get(host)
        if known is not None and known.started_ms > started_ms:
            return None
        if known is None or known.started_ms < started_ms:
            known = Member(
                host, address, data_centre, started_ms, None, now.mono_ms, relay_mbps
            )
            self._members[host] = known
        known.last_heard_ms = now.mono_ms
        return known

    def list_present(self, now: Instant) -> list[Member]:
        """Return the hosts that were heard within `PRESENT_TIMEOUT_MS`."""
        return [
            member
            for member in self._members.values()
            if member.last_heard_ms is not None
            and now.mono_ms - member.last_heard_ms < PRESENT_TIMEOUT_MS
        ]

    def count_hosts(self, now: Instant) -> int:
        """Return the number of hosts that share the accounts' limits.

        This host is included; see `LIMIT_SHARE_TIMEOUT_MS`.
        """
        return 1 + sum(
            now.mono_ms - (member.last_heard_ms or member.added_ms)
            < LIMIT_SHARE_TIMEOUT_MS
            for member in self._members.values()
        )

    def find(self, host: HostId) -> Member | None:
        """Return a host; None if it is not known."""
        return self._members.get(host)

    def count_known(self) -> int:
        """Return the number of known hosts, this one included."""
        return 1 + len(self._members)

    def list_hosts_in(self, data_centre: DataCentre) -> list[HostId]:
        """Return the known hosts of a data centre."""
        return [
            member.host
            for member in self._members.values()
            if member.data_centre == data_centre
        ]

    def list_data_centres(self) -> list[DataCentre]:
        """Return the data centres of the known hosts."""
        return sorted({member.data_centre for member in self._members.values()})

    def list_silent(self, now: Instant) -> list[Member]:
        """Return the hosts that were silent for longer than `FORGET_TIMEOUT_MS`."""
        return [
            member
            for member in self._members.values()
            if now.mono_ms - (member.last_heard_ms or member.added_ms)
            > FORGET_TIMEOUT_MS
        ]

    def list_targets(self, now: Instant) -> list[Member]:
        """Forget hosts that were silent for too long, and return the others."""
        for member in self.list_silent(now):
            del self._members[member.host]
        return list(self._members.values())

    def forget_absent(self, host: HostId, now: Instant) -> None:
        """Forget a host whose registration was removed, unless it was just heard."""
        if host not in {member.host for member in self.list_present(now)}:
            self._members.pop(host, None)
