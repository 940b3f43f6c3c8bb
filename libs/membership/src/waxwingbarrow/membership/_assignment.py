"""Duty assignment by rendezvous hashing, and the choice of peers."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import xxhash

from waxwingbarrow.core import DataCentre, HostId
from waxwingbarrow.membership._member import Member, MemberStatus

RELAYS_PER_PAIR = 2  # two data centres stay connected if one relay dies


def assign(duty: str, members: Iterable[Member]) -> HostId | None:
    """Return the member that performs a duty.

    Draining and departed members get a duty only if there are no others.

    Parameters
    ----------
    duty : str
        Name of the duty, a task that is assigned to one member.
    members : iterable of Member
        Live members, in any order.

    Returns
    -------
    HostId or None
        The member with the highest hash of duty and host id, or None without members.
        When a member joins or leaves, only the duties that it gains or had are moved.
    """
    best = max(members, key=lambda member: _score(duty, member), default=None)
    return best.host_id if best else None


def choose_peers(
    self_id: HostId,
    members: Iterable[Member],
    count: int,
    relays: int = RELAYS_PER_PAIR,
) -> tuple[Member, ...]:
    """Return the members to which this host opens streams.

    Within the data centre each host connects to its successor on `count` rings, each
    ordered by another hash of the host id. Every ring alone connects all members, each
    host has at most `count` outgoing and `count` incoming streams, and when a member
    joins or leaves, only the streams of its neighbours change.

    For each pair of data centres there are `relays` duties, which each of the two
    assigns to one of its members. The two members with the same duty connect to each
    other.

    Parameters
    ----------
    self_id : HostId
        This host; the result is empty if it is not one of `members`.
    members : iterable of Member
        Live members of all data centres.
    count : int
        Number of rings in the data centre.
    relays : int
        Number of relay duties for each pair of data centres.

    Returns
    -------
    tuple of Member
        Distinct members, ordered by host id.
    """
    by_data_centre: dict[DataCentre, list[Member]] = defaultdict(list)
    own = None
    for member in members:
        by_data_centre[member.data_centre].append(member)
        if member.host_id == self_id:
            own = member
    if own is None:
        return ()
    chosen: dict[HostId, Member] = {}
    for ring in range(count):
        successor = _find_successor(own, by_data_centre[own.data_centre], ring)
        chosen[successor.host_id] = successor
    for centre, others in by_data_centre.items():
        if centre != own.data_centre:
            local = by_data_centre[own.data_centre]
            for relay_peer in _list_relay_peers(own, local, centre, others, relays):
                chosen[relay_peer.host_id] = relay_peer
    chosen.pop(self_id, None)
    return tuple(chosen[host] for host in sorted(chosen))


def choose_probes(
    self_id: HostId, live: Sequence[Member], dead: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the dead members to which this host keeps trying to connect.

    In a partition, each side declares the other one dead and chooses no peers there, so
    only these attempts detect that it has healed. In each data centre, one live member
    probes each dead one, so a lost data centre costs each host about one probe.

    Parameters
    ----------
    self_id : HostId
        This host.
    live, dead : sequence, iterable of Member
        Live and dead members of all data centres.

    Returns
    -------
    tuple of Member
        The dead members assigned to this host, in the given order.
    """
    centres = {member.data_centre for member in live if member.host_id == self_id}
    local = [member for member in live if member.data_centre in centres]
    return tuple(
        member for member in dead if assign(f"probe/{member.host_id}", local) == self_id
    )


def _score(duty: str, member: Member) -> tuple[bool, int, HostId]:
    digest = xxhash.xxh64_intdigest(f"{duty}\0{member.host_id}".encode())
    return (member.status == MemberStatus.ALIVE, digest, member.host_id)


def _find_successor(own: Member, local: Sequence[Member], ring: int) -> Member:
    def compute_position(member: Member) -> tuple[int, HostId]:
        return (
            xxhash.xxh64_intdigest(member.host_id.encode(), seed=ring),
            member.host_id,
        )

    position = compute_position(own)
    # The first member after this host's position, else the first of the ring.
    return min(
        local,
        key=lambda member: (
            compute_position(member) <= position,
            compute_position(member),
        ),
    )


def _list_relay_peers(
    own: Member,
    local: Sequence[Member],
    centre: DataCentre,
    others: Sequence[Member],
    relays: int,
) -> list[Member]:
    low, high = sorted((own.data_centre, centre))
    by_id = {member.host_id: member for member in others}
    relay_peers = []
    for index in range(relays):
        duty = f"relay/{low}/{high}/{index}"
        if assign(duty, local) == own.host_id:
            relay_peer = assign(duty, others)
            if relay_peer is not None:
                relay_peers.append(by_id[relay_peer])
    return relay_peers
