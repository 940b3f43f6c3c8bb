"""Failures of calls to upstreams, by whether the request may have run."""

from collections.abc import Mapping

import attrs

from waxwingbarrow.core import Failure
from waxwingbarrow.platform import HttpFailure
from waxwingbarrow.upstreams._load import LoadReport, read_load_header


@attrs.frozen
class NotSent(Failure):
    """No byte of the request was sent; it is safe to send it to another upstream."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The request was not sent: {self.reason}."


@attrs.frozen
class MaybeSent(Failure):
    """The request may have reached the upstream and may have run."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The upstream gave no answer: {self.reason}."


@attrs.frozen
class Rejected(Failure):
    """The upstream answered with a status other than success.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        First 200 bytes of the answer's body, as text.
    leaving : bool
        Whether the upstream reports that it is leaving.
    retry_after_s : float or None
        Time to wait before another attempt, if the answer states one.
    load : LoadReport or None
        Load report of the upstream, if present.
    """

    status: int
    reason: str = ""
    leaving: bool = False
    retry_after_s: float | None = None
    load: LoadReport | None = None

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The upstream answered with status {self.status}: {self.reason}."


@attrs.frozen
class AnswerBroken(Failure):
    """The answer began, but ended early, stalled or is malformed."""

    reason: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        return f"The upstream's answer broke off: {self.reason}."


UpstreamFailure = NotSent | MaybeSent | Rejected | AnswerBroken


def from_http_failure(failure: HttpFailure) -> NotSent | MaybeSent:
    """Convert the HTTP failure of a request that got no answer."""
    kind = NotSent if failure.certainly_not_sent else MaybeSent
    return kind(failure.reason)


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether the headers report that the upstream is leaving."""
    return headers.get("upstream-state", "").strip().lower() == "leaving"


def make_rejected(
    status: int, headers: Mapping[str, str], body: bytes, retry_after_s: float | None
) -> Rejected:
    """Return the failure for an answer with a status other than success."""
    return Rejected(
        status,
        body[:200].decode(errors="replace"),
        is_leaving(headers),
        retry_after_s,
        read_load_header(headers),
    )
