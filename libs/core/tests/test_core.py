"""Guards against wrong time arithmetic and wrong outcomes in problem responses.

A caller that is told "not run" sends its request again, which may run it twice.
"""

import pytest

from waxwingbarrow import core
from waxwingbarrow.core import Incarnation, ManualClock, Outcome, Refusal, to_problem

SLUGS_THAT_MAY_HAVE_RUN = {
    "in-progress",
    "outcome-unknown",
    "upstream-failed",
}


def list_refusal_classes():
    exported = [getattr(core, name) for name in core.__all__]
    return [
        item
        for item in exported
        if isinstance(item, type) and issubclass(item, Refusal) and item is not Refusal
    ]


@pytest.mark.parametrize("kind", list_refusal_classes(), ids=lambda kind: kind.__name__)
def test_only_listed_refusals_state_that_the_request_may_have_run(kind):
    problem = to_problem(kind(reason="Because."), "/x")
    assert problem["detail"] == "Because."
    assert (problem["outcome"] != Outcome.NOT_RUN) == (
        kind.slug in SLUGS_THAT_MAY_HAVE_RUN
    )
    assert 400 <= problem["status"] < 600


def test_refusal_slugs_are_unique():
    slugs = [kind.slug for kind in list_refusal_classes()]
    assert len(slugs) == len(set(slugs))


def test_stepped_wall_clock_does_not_change_durations():
    clock = ManualClock()
    before = clock.now()
    clock.step_wall_ms(60_000)
    clock.advance_ms(10)
    assert clock.now().mono_ms - before.mono_ms == 10


def test_incarnation_equals_its_parsed_text_and_is_ordered_by_start():
    older, newer = Incarnation(9, 5), Incarnation(10, 1)
    assert older < newer
    assert Incarnation.parse(str(newer)) == newer


@pytest.mark.parametrize("kind", list_refusal_classes(), ids=lambda kind: kind.__name__)
def test_refusal_after_an_unknown_attempt_does_not_state_not_run(kind):
    refusal = kind(earlier_attempts_unknown=True)
    assert to_problem(refusal, "/x")["outcome"] != Outcome.NOT_RUN
