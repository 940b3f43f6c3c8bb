"""Rate of engine time that the requests of each service need."""

import attrs

from waxwingbarrow.core import HostId, Instant, ServiceName
from waxwingbarrow.gateway.base import CallMetadata
from waxwingbarrow.limits import DemandMeter
from waxwingbarrow.routing import EngineSpeed, WorkerView

# Time constant of the measured work: short enough to follow a burst, longer than the
# time between two large prompts.
WORK_WINDOW_S = 4.0
# A rate reported by a peer is ignored if it is this old or older.
PEER_RATE_STALE_MS = 3_000
# Speed of an engine from the data sheets of the deployments: its prefill rate, and the
# time that each running request adds to a decoding step.
SHEET_SPEED = EngineSpeed(prefill_tokens_per_ms=55.0, step_ms_per_request=0.101)
# Requests state a maximum of output tokens; answers use about this fraction of it.
EXPECTED_OUTPUT_FRACTION = 0.6
# With fewer requests per second than this, their average work is not known.
MIN_REQUESTS_PER_S = 0.01


@attrs.define
class _PeerRate:
    work_ms_per_s: float
    received_ms: int


def estimate_work_ms(
    metadata: CallMetadata,
    cached_tokens: int,
    speed: EngineSpeed = SHEET_SPEED,
    slots: int = 0,
) -> float:
    """Return the engine time in ms that a request takes from other requests.

    Parameters
    ----------
    speed : EngineSpeed
        Speed of the engines that serve it.
    slots : int
        Largest number of requests in one batch; 0 if it is not known.
    """
    output_tokens = (
        metadata.expected_output_tokens
        or metadata.max_output_tokens * EXPECTED_OUTPUT_FRACTION
    )
    uncached_tokens = max(metadata.prompt_tokens - cached_tokens, 0)

    def compute(speed: EngineSpeed) -> float:
        prefill_ms = uncached_tokens / speed.prefill_tokens_per_ms
        return prefill_ms + output_tokens * speed.step_ms_per_request

    work_ms = compute(speed)
    if not slots or speed == SHEET_SPEED:
        return work_ms
    # Engines whose steps hardly grow with the batch run out of slots first. The sheet's
    # figures have been enough for that too.
    slot_ms = output_tokens * (speed.step_ms / slots + speed.step_ms_per_request)
    return max(work_ms, min(slot_ms, compute(SHEET_SPEED)))


class WorkMeter:
    """Measures the rate of work by service, at this host and at the others.

    Work is engine time, as from `estimate_work_ms`.

    Attributes
    ----------
    first_at : Instant or None
        Time of the first request at this host.
    """

    def __init__(self) -> None:
        self._own_meters: dict[ServiceName, DemandMeter] = {}
        self._own_requests: dict[ServiceName, DemandMeter] = {}
        self._peer_rates: dict[ServiceName, dict[HostId, _PeerRate]] = {}
        self.first_at: Instant | None = None

    def add(self, service: ServiceName, work_ms: float, now: Instant) -> None:
        """Count the work of a request of this host, whether it is served or refused."""
        meter = self._own_meters.get(service)
        if meter is None:
            meter = self._own_meters[service] = DemandMeter(WORK_WINDOW_S)
            self._own_requests[service] = DemandMeter(WORK_WINDOW_S)
        meter.add(work_ms, now)
        self._own_requests[service].add(1.0, now)
        if self.first_at is None:
            self.first_at = now

    def add_request(
        self,
        service: ServiceName,
        metadata: CallMetadata,
        view: WorkerView,
        speed: EngineSpeed,
        now: Instant,
    ) -> None:
        """Count a request that is about to be placed at a worker."""
        work_ms = estimate_work_ms(metadata, view.cached_tokens, speed, view.slots)
        self.add(service, work_ms, now)

    def measure_mean_ms(self, service: ServiceName, now: Instant) -> float | None:
        """Return the average work of this host's requests; None without requests."""
        meter = self._own_meters.get(service)
        if meter is None:
            return None
        requests_per_s = self._own_requests[service].measure_per_s(now)
        if requests_per_s < MIN_REQUESTS_PER_S:
            return None
        return meter.measure_per_s(now) / requests_per_s

    def list_own(self, now: Instant) -> list[tuple[str, float]]:
        """Return the rates of this host in ms per second, for its peers."""
        return [
            (service, round(meter.measure_per_s(now), 1))
            for service, meter in self._own_meters.items()
        ]

    def update_from_peer(
        self, host: HostId, service: ServiceName, work_ms_per_s: float, now: Instant
    ) -> None:
        """Record a rate that another host reported."""
        peer_rate = self._peer_rates.setdefault(service, {})
        peer_rate[host] = _PeerRate(work_ms_per_s, now.mono_ms)

    def measure(self, service: ServiceName, now: Instant) -> float:
        """Return the rate of work of all hosts in ms per second."""
        meter = self._own_meters.get(service)
        total = meter.measure_per_s(now) if meter is not None else 0.0
        for peer_rate in self._peer_rates.get(service, {}).values():
            if now.mono_ms - peer_rate.received_ms < PEER_RATE_STALE_MS:
                total += peer_rate.work_ms_per_s
        return total
