"""Results of sending a request to upstreams."""

from collections.abc import Awaitable, Callable

import attrs

from waxwingbarrow.core import Refusal


@attrs.frozen
class Completed:
    """An upstream answered the request."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class NeverSent:
    """All attempts certainly failed before the first byte of the request was sent."""

    refusal: Refusal


@attrs.frozen
class ResponseLost:
    """The request may have run, but its response was not received."""

    reason: str


SendResult = Completed | NeverSent | ResponseLost
Send = Callable[[], Awaitable[SendResult]]
