"""Rendezvous hashing of duties and the choice of peers."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import xxhash

from waxwingbarrow.core import DataCentre, HostId
from waxwingbarrow.membership._member import Member, MemberStatus

RELAYS_PER_PAIR = 2  # one dead relay does not separate two data centres


def assign(duty: str, members: Iterable[Member]) -> HostId | None:
    """Return the member that performs a duty.

    Members that drain or have left get a duty only if no other member is given.

    Parameters
    ----------
    duty : str
        Name of the duty.
    members : iterable of Member
        Live members, in any order.

    Returns
    -------
    HostId or None
        The member with the highest hash of duty and host, None without members. When a
        member joins or leaves, only the duties it gains or had change hands.
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
    ordered by another hash of the host id. Every ring by itself connects all members,
    each host has at most `count` outgoing and `count` incoming streams, and a change
    of one member moves only its neighbours' streams.

    Between each pair of data centres, `relays` duties are assigned in both; the two
    holders of one duty connect to each other.

    Parameters
    ----------
    self_id : HostId
        This host; without an entry in `members` there are no peers.
    members : iterable of Member
        Live members of all data centres.
    count : int
        Rings in the data centre.
    relays : int
        Streams for each pair of data centres.

    Returns
    -------
    tuple of Member
        Distinct members, ordered by host id.
    """
    by_centre: dict[DataCentre, list[Member]] = defaultdict(list)
    own = None
    for member in members:
        by_centre[member.data_centre].append(member)
        if member.host_id == self_id:
            own = member
    if own is None:
        return ()
    chosen: dict[HostId, Member] = {}
    for ring in range(count):
        successor = _find_successor(own, by_centre[own.data_centre], ring)
        chosen[successor.host_id] = successor
    for centre, others in by_centre.items():
        if centre != own.data_centre:
            local = by_centre[own.data_centre]
            for partner in _list_partners(own, local, centre, others, relays):
                chosen[partner.host_id] = partner
    chosen.pop(self_id, None)
    return tuple(chosen[host] for host in sorted(chosen))


def choose_probes(
    self_id: HostId, live: Sequence[Member], dead: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the dead members that this host keeps trying to reach.

    After a partition, each side has declared the other one dead and chooses no peers
    there; these attempts find out that it has healed. One live member of the data
    centre tries each dead one, so a lost data centre costs each host about one attempt.

    Parameters
    ----------
    self_id : HostId
        This host.
    live, dead : sequence, iterable of Member
        Members of all data centres.

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
    def locate(member: Member) -> tuple[int, HostId]:
        return (
            xxhash.xxh64_intdigest(member.host_id.encode(), seed=ring),
            member.host_id,
        )

    position = locate(own)
    # The first member behind the own position, else the first of the ring.
    return min(local, key=lambda member: (locate(member) <= position, locate(member)))


def _list_partners(
    own: Member,
    local: Sequence[Member],
    centre: DataCentre,
    others: Sequence[Member],
    relays: int,
) -> list[Member]:
    low, high = sorted((own.data_centre, centre))
    by_id = {member.host_id: member for member in others}
    partners = []
    for index in range(relays):
        duty = f"relay/{low}/{high}/{index}"
        if assign(duty, local) == own.host_id:
            partner = assign(duty, others)
            if partner is not None:
                partners.append(by_id[partner])
    return partners
