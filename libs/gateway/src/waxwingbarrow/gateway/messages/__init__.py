"""Messages between hosts, and their division into datagrams."""

from waxwingbarrow.gateway.messages._capacity_admission import (
    CapacityAnswer,
    CapacityDecision,
    CapacityQuery,
)
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
    list_positions,
)

__all__ = [
    "MESSAGE_FORMAT",
    "AttemptOutcome",
    "AttemptReport",
    "CapacityAnswer",
    "CapacityDecision",
    "CapacityQuery",
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
    "decode_message",
    "encode_message",
    "list_positions",
]
