"""Early refusal of requests that cannot meet their deadline."""

from typing import Protocol

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import DeadlineTooShort, Instant


@attrs.frozen
class Estimate:
    """Expected waiting and running time of a request."""

    wait_ms: float
    run_ms: float


class HasDeadline(Protocol):
    """A request that must be complete by a deadline."""

    @property
    def deadline(self) -> Instant:
        """Time from which the answer is no longer of use."""
        ...


def check_deadline(
    estimate: Estimate, request: HasDeadline, now: Instant
) -> Result[None, DeadlineTooShort]:
    """Refuse a request that is expected to end after its deadline.

    Returns
    -------
    Result
        `DeadlineTooShort` means "not run", so call this only for a request that was not
        sent. `retry_after_s` is set if the deadline could be met without the wait.
    """
    remaining_ms = request.deadline.mono_ms - now.mono_ms
    needed_ms = estimate.wait_ms + estimate.run_ms
    if needed_ms <= remaining_ms:
        return Ok(None)
    retry_after_s = None
    if estimate.run_ms <= remaining_ms:
        retry_after_s = max((needed_ms - remaining_ms) / 1000, 0.001)
    return Err(
        DeadlineTooShort(
            reason=(
                f"The request needs about {needed_ms:.0f} ms, "
                f"but its deadline is in {remaining_ms} ms."
            ),
            retry_after_s=retry_after_s,
        )
    )
