"""Failures of calls to upstreams, told apart by whether the request may have run."""

from collections.abc import Mapping

import attrs

from waxwingbarrow.core import Failure
from waxwingbarrow.platform import HttpFailure
from waxwingbarrow.upstreams._load import LoadReport, read_load_header


@attrs.frozen
class NotSent(Failure):
    """No byte of the request has left; it may be sent elsewhere."""

    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The request was not sent: {self.reason}."


@attrs.frozen
class MaybeSent(Failure):
    """The request may have reached the upstream and may have run."""

    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The upstream gave no answer: {self.reason}."


@attrs.frozen
class Rejected(Failure):
    """The upstream answered with another status than success.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Start of the answer's body.
    leaving : bool
        Whether the upstream says that it is leaving.
    retry_after_s : float or None
        Earliest time for another attempt, if named.
    load : LoadReport or None
        Load of the upstream, if reported.
    """

    status: int
    reason: str = ""
    leaving: bool = False
    retry_after_s: float | None = None
    load: LoadReport | None = None

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The upstream answered with status {self.status}: {self.reason}."


@attrs.frozen
class Broken(Failure):
    """The answer began and ended early, stalled or is malformed."""

    reason: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"The upstream's answer broke off: {self.reason}."


UpstreamFailure = NotSent | MaybeSent | Rejected | Broken


def from_http(failure: HttpFailure) -> NotSent | MaybeSent:
    """Return the failure of a request that got no answer."""
    kind = NotSent if failure.certainly_not_sent else MaybeSent
    return kind(failure.reason)


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether an answer says that its upstream is leaving."""
    return headers.get("upstream-state", "").strip().lower() == "leaving"


def make_rejected(
    status: int, headers: Mapping[str, str], body: bytes, retry_after_s: float | None
) -> Rejected:
    """Return the failure of an answer that is not a success."""
    return Rejected(
        status,
        body[:200].decode(errors="replace"),
        is_leaving(headers),
        retry_after_s,
        read_load_header(headers),
    )
