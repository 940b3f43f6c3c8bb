"""What became of a request that was to be sent to an upstream."""

from collections.abc import Awaitable, Callable

import attrs

from waxwingbarrow.core import Refusal


@attrs.frozen
class Completed:
    """The upstream answered."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class NeverSent:
    """All attempts certainly failed before the first byte."""

    refusal: Refusal


@attrs.frozen
class ResponseLost:
    """The request may have run, and its response is lost."""

    reason: str


SendResult = Completed | NeverSent | ResponseLost
Send = Callable[[], Awaitable[SendResult]]
