"""Counts that a proof returns."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class PromiseResult:
    """Counts over all cases of a proof.

    Parameters
    ----------
    cases : int
        Cases per design.
    violations : int
        Cases in which this design broke the promise.
    naive_violations : int
        Cases in which the naive design broke the promise.
    naive_false_refusals : int
        Cases in which the naive design told "not run" falsely.
    events : Mapping
        How often each event occurred with this design, to show what the cases cover.
    """

    cases: int
    violations: int
    naive_violations: int = 0
    naive_false_refusals: int = 0
    events: Mapping[str, int] = attrs.field(factory=dict)
