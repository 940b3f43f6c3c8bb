"""Assembly of streamed responses, and tokens to resume them."""

from waxwingbarrow.streams._assembly import (
    Accepted,
    Conclusion,
    DoneEvent,
    Duplicate,
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
    open_token,
    seal_token,
)

__all__ = [
    "Accepted",
    "Conclusion",
    "DoneEvent",
    "Duplicate",
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
    "open_token",
    "seal_token",
]
