"""Durations of requests, and the refusal of those that a stop would cut."""

import attrs

from waxwingbarrow.core import Instant, RouteName
from waxwingbarrow.gateway.requests._plans import Plan, Refused

# Weight of the newest request in the moving averages; about the last 20 count.
DURATION_WEIGHT = 0.1
# A request is expected to take up to this many mean deviations longer than the mean;
# for a normal distribution about 2.4 standard deviations.
DEVIATIONS = 3.0
# With less time left before the process ends no request is sent to an upstream.
MIN_LEFT_MS = 500
# The load balancer sends a new connection to another host.
RETRY_AFTER_STOP_S = 0.05


@attrs.define
class _Duration:
    """Moving averages of the time in ms for one unit of the size of a request."""

    mean_ms: float
    deviation_ms: float


class DurationMeter:
    """Measures the durations of complete requests by route.

    A stream's duration grows with its output, so it is measured for each token of the
    largest output that the request allows.

    Examples
    --------
    >>> meter = DurationMeter()
    >>> meter.estimate_ms(RouteName("book"), 1)
    >>> meter.record(RouteName("book"), 1, 40.0)
    >>> meter.estimate_ms(RouteName("book"), 1)
    100.0
    """

    def __init__(self) -> None:
        self._durations: dict[RouteName, _Duration] = {}

    def record(self, route: RouteName, size: int, elapsed_ms: float) -> None:
        """Record a complete request.

        Parameters
        ----------
        size : int
            Output tokens that the request allows; 1 for requests without tokens.
        elapsed_ms : float
            Time from its arrival to the end of its response.
        """
        unit_ms = elapsed_ms / max(size, 1)
        known = self._durations.get(route)
        if known is None:
            # Half of the mean, until more than one request has ended.
            self._durations[route] = _Duration(unit_ms, unit_ms / 2)
            return
        error_ms = abs(unit_ms - known.mean_ms)
        known.mean_ms += DURATION_WEIGHT * (unit_ms - known.mean_ms)
        known.deviation_ms += DURATION_WEIGHT * (error_ms - known.deviation_ms)

    def estimate_ms(self, route: RouteName, size: int) -> float | None:
        """Return the time within which a request is expected to end.

        The result is None if no request of the route has ended.
        """
        known = self._durations.get(route)
        if known is None:
            return None
        unit_ms = known.mean_ms + DEVIATIONS * known.deviation_ms
        return unit_ms * max(size, 1)


class StopCheck:
    """Refuses the requests that would not end before the process does.

    Attributes
    ----------
    durations : DurationMeter
        How long the requests of each route take.
    stopped_at, ends_at : Instant or None
        Time of the stop signal, and when the process ends; None before the signal.
    """

    def __init__(self) -> None:
        self.durations = DurationMeter()
        self.stopped_at: Instant | None = None
        self.ends_at: Instant | None = None

    def check(self, plan: Plan, now: Instant) -> Refused | None:
        """Refuse a request, or let it end by its deadline before the process ends."""
        if self.ends_at is None:
            return None
        left_ms = self.ends_at.mono_ms - now.mono_ms
        expected_ms = self.durations.estimate_ms(plan.route.name, plan.output_size)
        if expected_ms is None:
            expected_ms = plan.deadline.mono_ms - now.mono_ms
        if max(expected_ms, MIN_LEFT_MS) < left_ms:
            if plan.deadline.mono_ms > self.ends_at.mono_ms:
                plan.deadline = self.ends_at
            return None
        inputs: dict[str, object] = {
            "expected_ms": round(expected_ms),
            "left_ms": left_ms,
        }
        return Refused(503, "shutting down", RETRY_AFTER_STOP_S, inputs)
