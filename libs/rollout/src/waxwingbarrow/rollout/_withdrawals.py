"""Withdrawn versions, as a set that only grows and that every host copies."""

from collections.abc import Iterable

import attrs

from waxwingbarrow.core import ServiceName, VersionName

DEADLINE_REASON = "not proven by the deadline"


@attrs.frozen
class Withdrawal:
    """A version that no longer gets requests under one revision of the document.

    Parameters
    ----------
    reason : str
        Fault and route, or `DEADLINE_REASON`.
    at_ms : int
        Wall time of the decision, in milliseconds since the Unix epoch.
    """

    service: ServiceName
    revision: int
    version: VersionName
    reason: str
    at_ms: int

    @property
    def by_deadline(self) -> bool:
        """Whether no fault was seen but the time was over."""
        return self.reason == DEADLINE_REASON


@attrs.frozen
class Withdrawals:
    """A set of withdrawals, at most one per service, revision and version."""

    items: tuple[Withdrawal, ...] = ()

    def add(self, withdrawal: Withdrawal) -> "Withdrawals":
        """Return the set with one more withdrawal."""
        return self.merge(Withdrawals((withdrawal,)))

    def merge(self, other: "Withdrawals") -> "Withdrawals":
        """Return the union; of two entries for one version one is chosen by value."""
        return Withdrawals(_choose((*self.items, *other.items)))

    def find(
        self, service: ServiceName, revision: int, version: VersionName
    ) -> Withdrawal | None:
        """Return the withdrawal of a version, if there is one."""
        for item in self.items:
            if (item.service, item.revision, item.version) == (
                service,
                revision,
                version,
            ):
                return item
        return None


def _choose(items: Iterable[Withdrawal]) -> tuple[Withdrawal, ...]:
    chosen: dict[tuple[ServiceName, int, VersionName], Withdrawal] = {}

    # A fault is kept over a missed deadline, because only the deadline is overruled
    # by a recorded completion.
    def rank(item: Withdrawal) -> tuple[bool, int, str]:
        return item.by_deadline, item.at_ms, item.reason

    for item in items:
        key = (item.service, item.revision, item.version)
        known = chosen.get(key)
        if known is None or rank(item) < rank(known):
            chosen[key] = item
    return tuple(item for _, item in sorted(chosen.items()))
