"""Gossip map, failure detection, duty assignment and the choice of peers."""

from waxwingbarrow.membership._assignment import (
    assign,
    choose_peers,
    choose_probes,
)
from waxwingbarrow.membership._detector import (
    DetectorSettings,
    FailureDetector,
    HeartbeatRecord,
    Liveness,
)
from waxwingbarrow.membership._exchange import (
    Batch,
    BatchInvalid,
    Exchange,
    ExchangeSettings,
    HeartbeatName,
)
from waxwingbarrow.membership._gossip import (
    GossipChanges,
    GossipEntry,
    GossipItem,
    GossipLimits,
    GossipMap,
)
from waxwingbarrow.membership._member import (
    MEMBER_TOPIC,
    Member,
    MemberStatus,
    read_member,
    write_member,
)
from waxwingbarrow.membership._roster import MembershipSnapshot, MemberView, Roster

__all__ = [
    "MEMBER_TOPIC",
    "Batch",
    "BatchInvalid",
    "DetectorSettings",
    "Exchange",
    "ExchangeSettings",
    "FailureDetector",
    "GossipChanges",
    "GossipEntry",
    "GossipItem",
    "GossipLimits",
    "GossipMap",
    "HeartbeatName",
    "HeartbeatRecord",
    "Liveness",
    "Member",
    "MemberStatus",
    "MemberView",
    "MembershipSnapshot",
    "Roster",
    "assign",
    "choose_peers",
    "choose_probes",
    "read_member",
    "write_member",
]
