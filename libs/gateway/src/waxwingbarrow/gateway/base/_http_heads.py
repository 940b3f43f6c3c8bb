"""Serialization of HTTP/1.1 request and response heads."""

from http import HTTPStatus

from waxwingbarrow.gateway.base._model import Headers, ResponseHead

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def get_reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status."""
    return _REASONS.get(status, b"Unknown")


def write_request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Serialize a request line and headers."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_response_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Serialize a status line and headers."""
    lines = [b"HTTP/1.1 %d %b" % (status, reason or get_reason_phrase(status))]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether the body of a response is a stream of server-sent events."""
    return any(
        name.lower() == b"content-type"
        and value.split(b";")[0].strip().lower() == b"text/event-stream"
        for name, value in head.headers
    )
