"""Bounds on what a peer may send in response to one request."""

import attrs

# Bytes of one exchange that are not part of the body of its response: heads, skipped
# responses, framing of chunks and trailers.
MAX_OVERHEAD_BYTES = 262_144
# Framing takes several times the size of a body that arrives in chunks of a few bytes.
OVERHEAD_PER_BODY_BYTE = 16
MAX_HEADERS = 256
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
# Informational responses and late responses to earlier requests in one exchange.
MAX_SKIPPED_RESPONSES = 16
# A body that is read as a whole. The largest are replicas of a configuration.
MAX_BODY_BYTES = 16 * 1_048_576
# Bodies from all upstreams together that are read as a whole at the same time.
MAX_UPSTREAM_BODY_BYTES = 48 * 1_048_576
# Bodies of all exchanges with one peer that are read as a whole at the same time.
MAX_POOLED_BODY_BYTES = 32 * 1_048_576


@attrs.define
class BodyBudget:
    """Memory for the bodies from one peer that are read as a whole.

    Parameters
    ----------
    free_bytes : int
        What is left of it.
    """

    free_bytes: int = MAX_POOLED_BODY_BYTES


class OversizedError(Exception):
    """A response exceeds a bound; the message names the bound."""


class InvalidStatusError(Exception):
    """A status that no response can have; the message names the status."""


def check_overhead(received_bytes: int, body_bytes: int) -> None:
    """Check the bytes of an exchange that are not part of the body.

    Raises
    ------
    OversizedError
        There are more of them than a response of this size needs.
    """
    allowed_bytes = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes
    if received_bytes - body_bytes > allowed_bytes:
        raise OversizedError(
            f"more than {allowed_bytes} bytes besides the body of the response"
        )


def check_status(status: int) -> bool:
    """Return whether the response with this status is informational.

    Raises
    ------
    InvalidStatusError
        The status is out of the range of HTTP, or announces another protocol, which no
        request asks for.
    """
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        raise InvalidStatusError(f"no response has the status {status:03d}")
    return status < 200
