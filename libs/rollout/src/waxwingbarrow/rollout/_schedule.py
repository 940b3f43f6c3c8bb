"""Division of a rollout's time into windows, and the share planned for each."""

import attrs

from waxwingbarrow.document import Rollout

WINDOW_COUNT = 24  # more windows detect late faults sooner but enlarge the gossip
FIRST_RISE_WINDOW = 3  # leaves an eighth of the time to collect initial counts
FIRST_HOLD_WINDOW = 15
FIRST_DONE_WINDOW = 20  # leaves a sixth of the time for late counts and clock skew
LATE_RISE_WINDOW_COUNT = 6  # length of the ramp if the version is proven late
LAST_HOLD_WINDOW = 21  # leaves two windows in which the rollout may complete
# The old version keeps a fifth of the requests until the rollout is done, as a baseline
# that separates an outage of both versions from a fault of the new one.
HOLD_PERCENT = 80.0


def find_window(rollout: Rollout, wall_ms: int) -> int:
    """Return the index of the window that contains a time.

    Times before the start or after the deadline map to the first or last window.
    """
    duration_ms = rollout.finish_by_ms - rollout.start_ms
    window = (wall_ms - rollout.start_ms) * WINDOW_COUNT // duration_ms
    return min(max(window, 0), WINDOW_COUNT - 1)


@attrs.frozen
class SharePlan:
    """Windows in which the new version's share rises, is held and may reach 100 %.

    Parameters
    ----------
    rise_from : int
        First window with a share above the initial one.
    hold_from : int
        First window with `HOLD_PERCENT`, the highest share before completion.
    done_from : int
        First window in which the rollout may complete.
    """

    rise_from: int
    hold_from: int
    done_from: int


def make_plan(proven_window: int) -> SharePlan:
    """Return the plan for a version that had enough requests on every route.

    Parameters
    ----------
    proven_window : int
        Window in which the last route reached the required number of requests.
    """
    rise_from = max(FIRST_RISE_WINDOW, proven_window + 1)
    hold_from = max(
        FIRST_HOLD_WINDOW, min(rise_from + LATE_RISE_WINDOW_COUNT, LAST_HOLD_WINDOW)
    )
    hold_from = max(hold_from, rise_from)
    return SharePlan(rise_from, hold_from, max(FIRST_DONE_WINDOW, hold_from + 1))


def compute_planned_percent(rollout: Rollout, plan: SharePlan, window: int) -> float:
    """Return the share in percent that the plan allows in a window.

    The share is constant within a window, because the comparison of the versions
    assumes that the requests of both are spread over the window in the same way.
    """
    fraction = (window - plan.rise_from + 1) / (plan.hold_from - plan.rise_from + 1)
    fraction = min(max(fraction, 0.0), 1.0)
    first = rollout.first_share_percent
    return first + (max(HOLD_PERCENT, first) - first) * fraction
