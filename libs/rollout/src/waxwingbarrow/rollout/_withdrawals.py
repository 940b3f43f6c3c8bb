"""Withdrawn versions, as a grow-only set that the hosts replicate by gossip."""

from collections.abc import Iterable

import attrs

from waxwingbarrow.core import ServiceName, VersionName

DEADLINE_REASON = "not proven by the deadline"


@attrs.frozen
class Withdrawal:
    """Withdrawal of a version under one revision of the service document.

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
        """Whether the deadline passed without a fault being found."""
        return self.reason == DEADLINE_REASON


@attrs.frozen
class Withdrawals:
    """A set of withdrawals, at most one per service, revision and version."""

    items: tuple[Withdrawal, ...] = ()

    def add(self, withdrawal: Withdrawal) -> "Withdrawals":
        """Return the set with a withdrawal added."""
        return self.merge(Withdrawals((withdrawal,)))

    def merge(self, other: "Withdrawals") -> "Withdrawals":
        """Return the union.

        If both sets have an entry for a version, the choice depends only on the two
        values, so that all hosts converge whatever the order of the merges.
        """
        return Withdrawals(_select_per_version((*self.items, *other.items)))

    def find(
        self, service: ServiceName, revision: int, version: VersionName
    ) -> Withdrawal | None:
        """Return the withdrawal of a version, or None."""
        for item in self.items:
            if (item.service, item.revision, item.version) == (
                service,
                revision,
                version,
            ):
                return item
        return None


def _select_per_version(items: Iterable[Withdrawal]) -> tuple[Withdrawal, ...]:
    selected: dict[tuple[ServiceName, int, VersionName], Withdrawal] = {}

    # A fault takes precedence over a missed deadline, because a recorded completion
    # overrides only the deadline.
    def rank(item: Withdrawal) -> tuple[bool, int, str]:
        return item.by_deadline, item.at_ms, item.reason

    for item in items:
        key = (item.service, item.revision, item.version)
        known = selected.get(key)
        if known is None or rank(item) < rank(known):
            selected[key] = item
    return tuple(item for _, item in sorted(selected.items()))
