"""Failures of log operations, told apart by whether the append may be in effect."""

import attrs

from waxwingbarrow.core import Failure


@attrs.frozen
class NotSent(Failure):
    """The append is certainly not in effect; it may be repeated.

    Parameters
    ----------
    reason : str
        What happened.
    retry_after_s : float or None
        Earliest time for the next attempt, if the log named one.
    """

    reason: str
    retry_after_s: float | None = None

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The log did not take the request: {self.reason}."


@attrs.frozen
class Unsettled(Failure):
    """The append may be in effect; only reading the log can tell."""

    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The log gave no usable answer: {self.reason}."


@attrs.frozen
class Expired(Failure):
    """The offset to read from is older than the log's retention."""

    first_offset: int

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The log starts at offset {self.first_offset}."


@attrs.frozen
class LogRejected(Failure):
    """The log refused the request; repeating it does not help."""

    status: int
    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The log refused the request with status {self.status}: {self.reason}."


LogFailure = NotSent | Unsettled | Expired | LogRejected
