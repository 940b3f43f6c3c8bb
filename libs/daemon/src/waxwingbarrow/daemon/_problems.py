"""Problem responses and server-sent events."""

import json
import math

from starlette.responses import JSONResponse, Response

from waxwingbarrow.core import Refusal, to_problem

PROBLEM_MEDIA_TYPE = "application/problem+json"

# Shared, because ``json.dumps`` with separators creates a new encoder at each call.
_ENCODER = json.JSONEncoder(separators=(",", ":"))


def make_problem_response(refusal: Refusal, instance: str) -> Response:
    """Return an RFC 9457 response, with ``Retry-After`` if the refusal has a delay."""
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return JSONResponse(
        to_problem(refusal, instance),
        status_code=refusal.status,
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )


def make_sse_event(name: str, data: object) -> bytes:
    r"""Return one server-sent event.

    Examples
    --------
    >>> make_sse_event("token", {"index": 0})
    b'event: token\ndata: {"index":0}\n\n'
    """
    return f"event: {name}\ndata: {_ENCODER.encode(data)}\n\n".encode()


def make_token_event(index: int, text: str) -> bytes:
    r"""Return the event of one token.

    Called for every token of every stream, so only the text is encoded as JSON.

    Examples
    --------
    >>> make_token_event(0, 'a"b')
    b'event: token\ndata: {"index":0,"text":"a\\"b"}\n\n'
    """
    encoded = _ENCODER.encode(text)
    return f'event: token\ndata: {{"index":{index},"text":{encoded}}}\n\n'.encode()


def make_problem_event(refusal: Refusal, instance: str) -> bytes:
    """Return a refusal as the last event of a stream."""
    return make_sse_event("problem", to_problem(refusal, instance))
