"""Result type that all proofs return."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class PromiseResult:
    """Counts over all cases of a proof.

    Parameters
    ----------
    cases : int
        Cases that were run with each design.
    violations : int
        Cases in which the system broke the promise.
    naive_violations : int
        Cases in which the naive design broke the promise.
    naive_false_refusals : int
        Cases in which the naive design answered "not run" although the request ran.
    events : Mapping
        How often each event occurred in the system, to show what the cases cover.
    """

    cases: int
    violations: int
    naive_violations: int = 0
    naive_false_refusals: int = 0
    events: Mapping[str, int] = attrs.field(factory=dict)
