"""Time of the decoding steps of one stream, from the times of its events."""

import attrs

from waxwingbarrow.routing import DecodingTime

# Times are whole milliseconds, so a step is measured over this long.
MIN_SEGMENT_MS = 40
# A stream with fewer segments says little; later ones than the maximum are left out.
MIN_SEGMENTS = 4
MAX_SEGMENTS = 32


@attrs.define
class StreamMeter:
    """Measures the decoding steps of a stream in segments of about equal length.

    Engines stop decoding while they prefill, and events arrive in batches if a host is
    busy. The lower quartile of the segments contains neither in most cases.

    Examples
    --------
    >>> meter = StreamMeter(tokens_per_event=4)
    >>> for number in range(40):
    ...     meter.add(1, running=5, now_ms=20 * number)
    >>> meter.summarize()
    DecodingTime(step_ms=5.0, running=5.0)
    """

    tokens_per_event: int = 1
    _since_ms: int | None = None
    _events: int = 0
    _segments: list[float] = attrs.Factory(list)
    _running_sum: int = 0

    def is_due(self, now_ms: int) -> bool:
        """Return whether the next events end a segment, for which the load counts."""
        return self._since_ms is None or now_ms - self._since_ms >= MIN_SEGMENT_MS

    def add(self, events: int, running: int, now_ms: int) -> None:
        """Record events that arrived together.

        Parameters
        ----------
        running : int
            Requests that run at the engine; only used when a segment ends.
        """
        if self._since_ms is None:
            # The time of the first event includes the prompt.
            self._since_ms = now_ms
            return
        self._events += events
        if not self.is_due(now_ms) or not self._events:
            return
        if len(self._segments) < MAX_SEGMENTS:
            tokens = self._events * self.tokens_per_event
            self._segments.append((now_ms - self._since_ms) / tokens)
            self._running_sum += running
        self._since_ms, self._events = now_ms, 0

    def summarize(self) -> DecodingTime | None:
        """Return the time of a step; None if the stream was too short."""
        count = len(self._segments)
        if count < MIN_SEGMENTS:
            return None
        return DecodingTime(
            step_ms=sorted(self._segments)[count // 4],
            running=self._running_sum / count,
        )
