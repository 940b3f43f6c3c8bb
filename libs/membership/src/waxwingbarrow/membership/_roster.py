"""Members known to this host, with their liveness."""

import attrs
from result import Err, Ok

from waxwingbarrow.core import DataCentre, HostId, Incarnation, Instant
from waxwingbarrow.membership._detector import FailureDetector, Liveness
from waxwingbarrow.membership._gossip import GossipMap
from waxwingbarrow.membership._member import (
    MEMBER_TOPIC,
    Member,
    MemberStatus,
    read_member,
)

RETENTION_MS = 600_000


@attrs.frozen
class MemberView:
    """A member and what this host believes about it."""

    member: Member
    liveness: Liveness


class Roster:
    """The members in the gossip map, read once each and judged by the detector.

    Parameters
    ----------
    gossip_map : GossipMap
        Source of the members.
    detector : FailureDetector
        Judge of their liveness; the roster tells it where members are.
    data_centre : DataCentre
        Data centre of this host.
    retention_ms : int
        Time after which the entries of a dead or departed member are removed.
    """

    def __init__(
        self,
        gossip_map: GossipMap,
        detector: FailureDetector,
        data_centre: DataCentre,
        retention_ms: int = RETENTION_MS,
    ) -> None:
        self.invalid_members = 0
        self._map = gossip_map
        self._detector = detector
        self._data_centre = data_centre
        self._retention_ms = retention_ms
        self._members: dict[HostId, Member] = {}
        self._cursor = 0

    def refresh(self, now: Instant) -> None:
        """Read the member items that changed since the last call."""
        for entry in self._map.walk_changes(self._cursor):
            item = entry.item
            if item.topic != MEMBER_TOPIC:
                continue
            match read_member(item.payload):
                case Ok(member) if (
                    member.host_id == item.origin
                    and member.incarnation == item.incarnation
                ):
                    self._members[item.origin] = member
                    local = member.data_centre == self._data_centre
                    self._detector.place(member.host_id, member.incarnation, local, now)
                case Ok() | Err():
                    self.invalid_members += 1
        self._cursor = self._map.cursor

    def list_members(self, now: Instant) -> tuple[MemberView, ...]:
        """Return all members of the newest incarnation with their liveness.

        A member whose address a newer incarnation has taken over is dead.
        """
        newest: dict[str, Incarnation] = {}
        current = []
        for host, member in self._members.items():
            if member.incarnation == self._map.find_incarnation(host):
                current.append(member)
                address = member.peer_address
                newest[address] = max(
                    member.incarnation, newest.get(address, member.incarnation)
                )
        return tuple(
            MemberView(
                member,
                self._detector.status(member.host_id, now)
                if newest[member.peer_address] == member.incarnation
                else Liveness.DEAD,
            )
            for member in current
        )

    def list_live(self, now: Instant) -> tuple[Member, ...]:
        """Return the members that are neither dead nor departed."""
        return tuple(
            view.member
            for view in self.list_members(now)
            if view.liveness != Liveness.DEAD
            and view.member.status != MemberStatus.LEFT
        )

    def remove_expired(self, now: Instant) -> tuple[HostId, ...]:
        """Remove members that are dead or departed and silent for the retention."""
        views = {view.member.host_id: view for view in self.list_members(now)}
        expired = tuple(
            host
            for host in self._map.list_origins()
            if host != self._map.host_id and self._is_expired(host, views, now)
        )
        for host in expired:
            self._map.remove_origin(host)
            self._detector.forget(host)
            self._members.pop(host, None)
        self._detector.forget_unplaced(self._retention_ms, now)
        return expired

    def _is_expired(
        self, host: HostId, views: dict[HostId, MemberView], now: Instant
    ) -> bool:
        view = views.get(host)
        if view is None:
            # Items without a valid member item: judged by their age.
            entries = self._map.list_origin(host)
            learned_ms = max((entry.learned_ms for entry in entries), default=0)
            return now.mono_ms - learned_ms >= self._retention_ms
        gone = view.liveness == Liveness.DEAD or view.member.status == MemberStatus.LEFT
        return gone and self._detector.silence_ms(host, now) >= self._retention_ms
