"""Clients for model engines and plain services."""

from waxwingbarrow.upstreams._address import UpstreamAddress
from waxwingbarrow.upstreams._engine import (
    CacheEvent,
    CacheEventPage,
    EngineClient,
    GenerateCall,
    ImportedCache,
    Order,
    OrderAnswer,
    StreamTimeouts,
)
from waxwingbarrow.upstreams._events import (
    EngineError,
    EngineEvent,
    Finished,
    Opened,
    Started,
    Token,
)
from waxwingbarrow.upstreams._failures import (
    AnswerBroken,
    MaybeSent,
    NotSent,
    Rejected,
    UpstreamFailure,
)
from waxwingbarrow.upstreams._load import LoadReport
from waxwingbarrow.upstreams._service import PlainAnswer, PlainCall, ServiceClient

__all__ = [
    "AnswerBroken",
    "CacheEvent",
    "CacheEventPage",
    "EngineClient",
    "EngineError",
    "EngineEvent",
    "Finished",
    "GenerateCall",
    "ImportedCache",
    "LoadReport",
    "MaybeSent",
    "NotSent",
    "Opened",
    "Order",
    "OrderAnswer",
    "PlainAnswer",
    "PlainCall",
    "Rejected",
    "ServiceClient",
    "Started",
    "StreamTimeouts",
    "Token",
    "UpstreamAddress",
    "UpstreamFailure",
]
