"""Early refusal of requests that cannot meet their deadline."""

from typing import Protocol

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import DeadlineTooShort, Instant


@attrs.frozen
class Estimate:
    """Expected course of a request, in milliseconds from now."""

    wait_ms: float
    run_ms: float


class HasDeadline(Protocol):
    """A request that must be complete at some time."""

    @property
    def deadline(self) -> Instant:
        """Time at which the answer is no longer of use."""
        ...


def check_deadline(
    estimate: Estimate, request: HasDeadline, now: Instant
) -> Result[None, DeadlineTooShort]:
    """Refuse a request whose expected end lies after its deadline.

    Returns
    -------
    Result
        `DeadlineTooShort` means "not run": call this only for a request that was not
        sent. `retry_after_s` is set where a shorter queue would help.
    """
    left_ms = request.deadline.mono_ms - now.mono_ms
    needed_ms = estimate.wait_ms + estimate.run_ms
    if needed_ms <= left_ms:
        return Ok(None)
    retry_after_s = None
    if estimate.run_ms <= left_ms:
        retry_after_s = max((needed_ms - left_ms) / 1000, 0.001)
    return Err(
        DeadlineTooShort(
            reason=(
                f"The request needs about {needed_ms:.0f} ms, "
                f"but its deadline is in {left_ms} ms."
            ),
            retry_after_s=retry_after_s,
        )
    )
