"""Members of the fleet and their gossip payload."""

import enum

import attrs
from result import Result

from waxwingbarrow.core import (
    DataCentre,
    FieldInvalid,
    HostId,
    Incarnation,
    Zone,
    read_json,
    write_json,
)

MEMBER_TOPIC = "member"


class MemberStatus(enum.StrEnum):
    """Status that a member announces; it never returns to an earlier value."""

    ALIVE = "alive"
    DRAINING = "draining"
    LEFT = "left"


@attrs.frozen
class Member:
    """One run of a daemon.

    Parameters
    ----------
    host_id : HostId
        Name of the host.
    incarnation : Incarnation
        Process run of the daemon.
    data_centre : DataCentre
        Data centre of the host.
    zone : Zone
        Zone of the host.
    peer_address : str
        ``address:port`` of the gRPC server for peers.
    caller_address : str
        ``address:port`` of the HTTP server for callers.
    status : MemberStatus
        Status that the member announces.
    """

    host_id: HostId
    incarnation: Incarnation
    data_centre: DataCentre
    zone: Zone
    peer_address: str
    caller_address: str
    status: MemberStatus = MemberStatus.ALIVE


def write_member(member: Member) -> bytes:
    """Return the gossip payload for a member, its JSON text in UTF-8."""
    return write_json(member).encode()


def read_member(payload: bytes) -> Result[Member, FieldInvalid]:
    """Read the gossip payload for a member.

    Returns
    -------
    Result
        The member, or the first invalid field.
    """
    return read_json(payload.decode(errors="replace"), Member, "member")
