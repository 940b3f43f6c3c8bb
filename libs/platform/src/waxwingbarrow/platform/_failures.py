"""Failures of platform operations, by whether the operation may have taken effect."""

import attrs

from waxwingbarrow.core import Failure


@attrs.frozen
class NotSent(Failure):
    """The operation certainly did not take effect; it may be repeated.

    Parameters
    ----------
    reason : str
        Cause of the failure.
    retry_after_s : float or None
        Delay before the next attempt, if the platform asked for one.
    """

    reason: str
    retry_after_s: float | None = None

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The platform did not take the request: {self.reason}."


@attrs.frozen
class Unsettled(Failure):
    """The outcome is unknown; only reading the platform's state can tell it."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The platform gave no usable answer: {self.reason}."


@attrs.frozen
class Expired(Failure):
    """The offset to read from is older than the log's retention."""

    first_offset: int

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The log starts at offset {self.first_offset}."


@attrs.frozen
class LogRejected(Failure):
    """The log refused the request; repeating it does not help."""

    status: int
    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The log refused the request with status {self.status}: {self.reason}."


@attrs.frozen
class Unavailable(Failure):
    """A read failed; it may be repeated."""

    reason: str
    retry_after_s: float | None = None

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The platform could not be read: {self.reason}."


@attrs.frozen
class Refused(Failure):
    """The platform refused the request; repeating it unchanged does not help."""

    status: int
    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The platform answered with status {self.status}: {self.reason}."


LogFailure = NotSent | Unsettled | Expired | LogRejected
ReadFailure = Unavailable | Refused
ChangeFailure = NotSent | Unsettled | Refused
