"""Observes at the requests of this host how fast the engines are."""

from waxwingbarrow.core import Instant
from waxwingbarrow.gateway.base import Engine
from waxwingbarrow.gateway.upstreams import Job, StreamMeter, Upstream
from waxwingbarrow.routing import PrefillTime


def prepare_job(job: Job, upstream: Upstream, engine: Engine, now: Instant) -> None:
    """Prepare the measurement of a request that is about to be sent to an engine."""
    load = upstream.measure(now)
    job.is_first = not load.pending_prefill_tokens and load.running < engine.slots
    job.meter = StreamMeter(engine.tokens_per_event)


def measure_prefill(job: Job, now: Instant) -> PrefillTime | None:
    """Return the time of the prompt of a request that got its first event."""
    if not job.is_first:
        return None
    return PrefillTime(
        tokens=job.pending_prefill_tokens,
        elapsed_ms=now.mono_ms - job.started_ms,
        from_idle=True,
    )


def note_events(
    meter: StreamMeter, upstream: Upstream, events: int, now: Instant
) -> None:
    """Record events of a stream, and the load when a segment of it ends."""
    running = upstream.measure(now).running if meter.is_due(now.mono_ms) else 0
    meter.add(events, running, now.mono_ms)
