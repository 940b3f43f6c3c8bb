"""Identifiers of hosts, upstreams, accounts and services."""

import enum
from typing import NewType, Self

import attrs

AccountId = NewType("AccountId", str)
DataCentre = NewType("DataCentre", str)
HostId = NewType("HostId", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
VersionName = NewType("VersionName", str)
Zone = NewType("Zone", str)


class PriorityClass(enum.StrEnum):
    """Priority of a request; an earlier member is served first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Position in the order of service; 0 is served first."""
        return list(PriorityClass).index(self)


@attrs.frozen(order=True)
class Incarnation:
    """Identity of a process, which changes with each restart.

    Parameters
    ----------
    started_ms : int
        Wall time of the process start, in milliseconds since the Unix epoch.
    nonce : int
        Random number that distinguishes processes started in the same millisecond.

    Examples
    --------
    >>> str(Incarnation(1700000000000, 7))
    '1700000000000-7'
    >>> Incarnation.parse("5-2") < Incarnation.parse("6-1")
    True
    """

    started_ms: int
    nonce: int

    def __str__(self) -> str:
        return f"{self.started_ms}-{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse the text that ``str`` returns.

        Raises
        ------
        ValueError
            If `text` is not two decimal numbers joined by a hyphen.
        """
        started_ms, nonce = text.split("-")
        return cls(int(started_ms), int(nonce))
