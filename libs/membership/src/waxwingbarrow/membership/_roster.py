"""Members known to this host and their liveness."""

from collections.abc import Iterable

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

# Exceeds the duration of partitions between regions, which last minutes, so that each
# side still has the addresses of the other one when the partition heals.
MEMBER_RETENTION_MS = 3_600_000
REMOTE_CLASSIFICATION_INTERVAL_MS = 10_000  # a remote failure takes minutes to detect


@attrs.frozen
class MemberView:
    """A member and its liveness according to this host.

    Parameters
    ----------
    member : Member
        The member.
    liveness : Liveness
        Result of the failure detector; dead if `replaced`.
    replaced : bool
        Whether another host with a newer incarnation uses the member's address.
    """

    member: Member
    liveness: Liveness
    replaced: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the member is neither dead nor departed."""
        departed = self.member.status == MemberStatus.LEFT
        return self.liveness != Liveness.DEAD and not departed

    @property
    def may_return(self) -> bool:
        """Whether the member counts as dead but may only be unreachable."""
        departed = self.member.status == MemberStatus.LEFT
        return self.liveness == Liveness.DEAD and not (departed or self.replaced)


@attrs.frozen
class MembershipSnapshot:
    """Live members, and dead members that may only be unreachable."""

    live: tuple[Member, ...]
    lost: tuple[Member, ...]


class Roster:
    """Members decoded from the gossip map, with their liveness from the detector.

    Member items are decoded only when they change.

    Parameters
    ----------
    gossip_map : GossipMap
        Source of the members.
    detector : FailureDetector
        Source of their liveness. The roster sets the locality of members in it.
    data_centre : DataCentre
        Data centre of this host.
    retention_ms : int
        Silence after which the items of a dead or departed member are removed, in
        milliseconds.
    """

    def __init__(
        self,
        gossip_map: GossipMap,
        detector: FailureDetector,
        data_centre: DataCentre,
        retention_ms: int = MEMBER_RETENTION_MS,
    ) -> None:
        self.invalid_members = 0
        self._map = gossip_map
        self._detector = detector
        self._data_centre = data_centre
        self._retention_ms = retention_ms
        self._members: dict[HostId, Member] = {}
        self._cursor = 0
        self._classified_ms: int | None = None
        self._local: tuple[Member, ...] = ()
        self._remote = MembershipSnapshot((), ())

    def refresh(self, now: Instant) -> None:
        """Read the member items that changed since the last call."""
        for entry in self._map.walk_changes(self._cursor):
            item = entry.item
            known = self._members.get(item.origin)
            if known is None or known.incarnation != item.incarnation:
                self._classified_ms = None
            if item.topic != MEMBER_TOPIC:
                continue
            self._classified_ms = None
            match read_member(item.payload):
                case Ok(member) if (
                    member.host_id == item.origin
                    and member.incarnation == item.incarnation
                ):
                    self._members[item.origin] = member
                    local = member.data_centre == self._data_centre
                    self._detector.set_locality(
                        member.host_id, member.incarnation, local, now
                    )
                case Ok() | Err():
                    self.invalid_members += 1
        self._cursor = self._map.cursor

    def list_members(self, now: Instant) -> tuple[MemberView, ...]:
        """Return each member in its newest incarnation, with its liveness.

        A member counts as dead if a newer incarnation uses its address.
        """
        newest: dict[str, Incarnation] = {}
        current = []
        for host, member in self._members.items():
            if member.incarnation == self._map.find_incarnation(host):
                current.append(member)
                address = member.peer_address
                other = newest.setdefault(address, member.incarnation)
                if other != member.incarnation and other < member.incarnation:
                    newest[address] = member.incarnation
        return tuple(
            MemberView(member, self._detector.status(member.host_id, now))
            if newest[member.peer_address] == member.incarnation
            else MemberView(member, Liveness.DEAD, replaced=True)
            for member in current
        )

    def classify_members(self, now: Instant) -> MembershipSnapshot:
        """Return the live members and the lost ones, which may return.

        Members of other data centres are classified again only after a change of
        members or after `REMOTE_CLASSIFICATION_INTERVAL_MS`, which saves processor time
        with 2,400 members.
        """
        if (
            self._classified_ms is None
            or now.mono_ms - self._classified_ms >= REMOTE_CLASSIFICATION_INTERVAL_MS
        ):
            views = self.list_members(now)
            own_data_centre = self._data_centre
            self._classified_ms = now.mono_ms
            self._remote = _split_by_liveness(
                v for v in views if v.member.data_centre != own_data_centre
            )
            self._local = tuple(
                view.member
                for view in views
                if view.member.data_centre == own_data_centre and not view.replaced
            )
        local = _split_by_liveness(
            MemberView(member, self._detector.status(member.host_id, now))
            for member in self._local
        )
        return MembershipSnapshot(
            local.live + self._remote.live, local.lost + self._remote.lost
        )

    def list_live(self, now: Instant) -> tuple[Member, ...]:
        """Return the members that are neither dead nor departed."""
        return tuple(view.member for view in self.list_members(now) if view.is_live)

    def remove_expired(self, now: Instant) -> tuple[HostId, ...]:
        """Remove and return the dead or departed members whose retention has passed."""
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
            self._classified_ms = None
        self._detector.forget_without_locality(self._retention_ms, now)
        return expired

    def _is_expired(
        self, host: HostId, views: dict[HostId, MemberView], now: Instant
    ) -> bool:
        view = views.get(host)
        if view is None:
            # Without a valid member item, the age of the newest item decides.
            entries = self._map.list_origin(host)
            learned_ms = max((entry.learned_ms for entry in entries), default=0)
            return now.mono_ms - learned_ms >= self._retention_ms
        return (
            not view.is_live
            and self._detector.silence_ms(host, now) >= self._retention_ms
        )


def _split_by_liveness(views: Iterable[MemberView]) -> MembershipSnapshot:
    live, lost = [], []
    for view in views:
        if view.is_live:
            live.append(view.member)
        elif view.may_return:
            lost.append(view.member)
    return MembershipSnapshot(tuple(live), tuple(lost))
