"""Refusals as HTTP responses."""

import json
import math

from starlette.responses import JSONResponse, Response

from waxwingbarrow.core import Refusal, to_problem

PROBLEM_MEDIA_TYPE = "application/problem+json"


def make_problem_response(refusal: Refusal, instance: str) -> Response:
    """Return an RFC 9457 response, with ``Retry-After`` where it is known."""
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return JSONResponse(
        to_problem(refusal, instance),
        status_code=refusal.status,
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )


def make_event(name: str, data: object) -> bytes:
    r"""Return one server-sent event.

    Examples
    --------
    >>> make_event("token", {"index": 0})
    b'event: token\ndata: {"index":0}\n\n'
    """
    text = json.dumps(data, separators=(",", ":"))
    return f"event: {name}\ndata: {text}\n\n".encode()


def make_problem_event(refusal: Refusal, instance: str) -> bytes:
    """Return a refusal as the last event of a stream."""
    return make_event("problem", to_problem(refusal, instance))
