"""Assembly of streamed responses, and tokens to resume them."""

from waxwingbarrow.streams._assembly import (
    Accepted,
    DoneEvent,
    Duplicate,
    EventResult,
    Gap,
    Mismatch,
    StreamAssembler,
    StreamEvent,
    Token,
    TokenEvent,
    WrongAttempt,
)
from waxwingbarrow.streams._tokens import (
    ResumeKey,
    ResumeKeys,
    ResumeToken,
    sign_token,
    verify_token,
)

__all__ = [
    "Accepted",
    "DoneEvent",
    "Duplicate",
    "EventResult",
    "Gap",
    "Mismatch",
    "ResumeKey",
    "ResumeKeys",
    "ResumeToken",
    "StreamAssembler",
    "StreamEvent",
    "Token",
    "TokenEvent",
    "WrongAttempt",
    "sign_token",
    "verify_token",
]
