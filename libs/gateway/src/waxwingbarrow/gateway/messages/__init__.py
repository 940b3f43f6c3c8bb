"""Messages between hosts, and their division into datagrams."""

from waxwingbarrow.gateway.messages._fragments import Fragmenter, Reassembler
from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    AttemptOutcome,
    AttemptReport,
    Heartbeat,
    Message,
    PermitReply,
    PermitRequest,
    PlacementAdvice,
    PlacementQuery,
    QuotaReply,
    QuotaRequest,
    RelaySummary,
    decode_message,
    encode_message,
)
from waxwingbarrow.gateway.messages._room import RoomAnswer, RoomDecision, RoomQuery

__all__ = [
    "MESSAGE_FORMAT",
    "AttemptOutcome",
    "AttemptReport",
    "Fragmenter",
    "Heartbeat",
    "Message",
    "PermitReply",
    "PermitRequest",
    "PlacementAdvice",
    "PlacementQuery",
    "QuotaReply",
    "QuotaRequest",
    "Reassembler",
    "RelaySummary",
    "RoomAnswer",
    "RoomDecision",
    "RoomQuery",
    "decode_message",
    "encode_message",
]
