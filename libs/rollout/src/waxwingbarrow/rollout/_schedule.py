"""Division of a rollout's time into windows, and the share planned for each."""

import attrs

from waxwingbarrow.document import Rollout

WINDOWS = 24  # more windows find a late fault sooner but make evidence larger
RISE_WINDOW = 3  # leaves an eighth of the time to gather the first evidence
HOLD_WINDOW = 15
DONE_WINDOW = 20  # leaves a sixth of the time for late evidence and clock skew
LATE_RISE_WINDOWS = 6  # a version that is proven late rises over this many windows
LAST_HOLD_WINDOW = 21
# The old version keeps a fifth of the requests until the rollout is done, so that a
# disturbance of both versions can be told from a fault of the new one.
HOLD_PERCENT = 80.0


def find_window(rollout: Rollout, wall_ms: int) -> int:
    """Return the index of the window that holds a time, clipped to the rollout."""
    duration_ms = rollout.finish_by_ms - rollout.start_ms
    window = (wall_ms - rollout.start_ms) * WINDOWS // duration_ms
    return min(max(window, 0), WINDOWS - 1)


@attrs.frozen
class Plan:
    """Windows in which the share rises, given when the version was proven.

    Parameters
    ----------
    rise_from : int
        First window with more than the first share.
    hold_from : int
        First window with the highest share before the rollout is done.
    done_from : int
        First window in which the rollout may be done.
    """

    rise_from: int
    hold_from: int
    done_from: int


def make_plan(proven_window: int) -> Plan:
    """Return the plan for a version that was proven on every route in a window."""
    rise_from = max(RISE_WINDOW, proven_window + 1)
    hold_from = max(HOLD_WINDOW, min(rise_from + LATE_RISE_WINDOWS, LAST_HOLD_WINDOW))
    hold_from = max(hold_from, rise_from)
    return Plan(rise_from, hold_from, max(DONE_WINDOW, hold_from + 1))


def plan_share(rollout: Rollout, plan: Plan, window: int) -> float:
    """Return the share in percent that the plan allows in a window.

    The share is constant within a window, because the comparison of the versions
    assumes that both see the same mixture of times there.
    """
    part = (window - plan.rise_from + 1) / (plan.hold_from - plan.rise_from + 1)
    part = min(max(part, 0.0), 1.0)
    first = rollout.first_share_percent
    return first + (max(HOLD_PERCENT, first) - first) * part
