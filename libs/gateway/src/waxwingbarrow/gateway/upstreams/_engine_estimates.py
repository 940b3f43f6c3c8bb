"""Estimated speed of the engines of each service, of this host or from the keeper."""

import logging
import math

import attrs

from waxwingbarrow.core import Instant, ServiceName, UpstreamId
from waxwingbarrow.gateway.base import BoundedFloat, BoundedInt
from waxwingbarrow.routing import (
    DecodingTime,
    EngineEstimator,
    EngineSpeed,
    EstimatePolicy,
    PrefillTime,
)

logger = logging.getLogger("waxwingbarrow.gateway.estimates")

# Service; fencing token of the keeper and its wall time in ms; prefill rate in tokens
# per ms; time of a decoding step in ms, and what each running request adds to it.
SpeedReport = tuple[
    str, BoundedInt, BoundedInt, BoundedFloat, BoundedFloat, BoundedFloat
]

# Largest change of the speed that capacity is planned with, per second. Capacity is
# given back slowly (by half in about 23 s), since a worker takes seconds to boot, and
# added faster.
MAX_GAIN_PER_S = 0.03
MAX_LOSS_PER_S = 0.1
# Time without observations after which the estimate of this host is that of the keeper.
OWN_STALE_MS = 60_000
# A newer report of the same or a later keeper replaces one; after this time any does.
REPORT_STALE_MS = 60_000
# Relative change of a figure after which the speed in use is logged again.
LOG_CHANGE = 0.1
# Bounds the messages.
MAX_REPORTED_SERVICES = 16


@attrs.define
class _Planned:
    """Speed that capacity is planned with, and when it was last moved."""

    speed: EngineSpeed
    moved_ms: int


@attrs.frozen
class _Adopted:
    """Speed that the keeper reported."""

    speed: EngineSpeed
    fencing_token: int
    sent_ms: int
    received_ms: int


class EngineEstimates:
    """Chooses the speed of a service's engines for all decisions of this host.

    It is the own estimate if enough was observed recently, which is the case for the
    keeper and for hosts that have none. Otherwise it is the newest of a keeper, or the
    speed of the data sheets.

    Attributes
    ----------
    is_enabled : bool
        Whether estimates are made and used.
    fencing_token : int
        Fencing token under which this host is the keeper; 0 if it is not.
    """

    def __init__(self, policy: EstimatePolicy | None = None) -> None:
        self._policy = policy or EstimatePolicy()
        self._estimator = EngineEstimator(self._policy)
        self._observed_ms: dict[ServiceName, int] = {}
        self._adopted: dict[ServiceName, _Adopted] = {}
        self._planned: dict[ServiceName, _Planned] = {}
        self._logged: dict[ServiceName, EngineSpeed] = {}
        self.is_enabled = False
        self.fencing_token = 0

    def record(
        self,
        service: ServiceName,
        upstream: UpstreamId,
        time: PrefillTime | DecodingTime,
        now: Instant,
        *,
        is_alone: bool,
    ) -> None:
        """Record what this host, or a host that reported to it, observed.

        Parameters
        ----------
        is_alone : bool
            Whether this host knows of all requests; see `EngineEstimator`.
        """
        if not self.is_enabled:
            return
        self._observed_ms[service] = now.mono_ms
        match time:
            case PrefillTime():
                self._estimator.record_prefill(
                    service, upstream, time, now, is_alone=is_alone
                )
            case DecodingTime():
                self._estimator.record_decoding(service, upstream, time, now)

    def find_speed(self, service: ServiceName, now: Instant) -> EngineSpeed:
        """Return the estimated speed of a service's engines."""
        if not self.is_enabled:
            return self._policy.defaults
        if self._is_own_known(service, now):
            return self._estimator.estimate(service)
        adopted = self._adopted.get(service)
        return adopted.speed if adopted is not None else self._policy.defaults

    def find_planned_speed(self, service: ServiceName, now: Instant) -> EngineSpeed:
        """Return the speed to plan capacity with, which changes gradually."""
        if not self.is_enabled:
            return self._policy.defaults
        target = self.find_speed(service, now)
        planned = self._planned.get(service)
        if planned is None:
            planned = _Planned(self._policy.defaults, now.mono_ms)
            self._planned[service] = planned
        seconds = min(max(now.mono_ms - planned.moved_ms, 0) / 1000, 60.0)
        planned.speed = _move_speed(planned.speed, target, seconds)
        planned.moved_ms = now.mono_ms
        self._log_change(service, planned.speed)
        return planned.speed

    def find_usual_slowdown(self, service: ServiceName, now: Instant) -> float | None:
        """Return the prefill time relative to the data sheets; None if not measured."""
        if not self.is_enabled:
            return None
        if not self._is_own_known(service, now) and service not in self._adopted:
            return None
        rate = self.find_speed(service, now).prefill_tokens_per_ms
        return self._policy.defaults.prefill_tokens_per_ms / rate

    def find_slowdown(
        self, service: ServiceName, upstream: UpstreamId, now: Instant
    ) -> float:
        """Return the prefill time of one engine relative to the data sheets."""
        usual = self.find_usual_slowdown(service, now)
        if usual is None:
            return 1.0
        return usual * self._estimator.measure_slowdown(upstream, now)

    def list_reports(self, now: Instant) -> list[SpeedReport]:
        """Return the speeds of the keeper, for the other hosts."""
        reports = self._list_own(now) if self.fencing_token else []
        own = {report[0] for report in reports}
        for service, adopted in self._adopted.items():
            is_recent = now.mono_ms - adopted.received_ms < REPORT_STALE_MS
            if service not in own and is_recent:
                token, sent_ms = adopted.fencing_token, adopted.sent_ms
                reports.append(_make_report(service, token, sent_ms, adopted.speed))
        return reports[:MAX_REPORTED_SERVICES]

    def list_keeper_reports(self, now: Instant) -> list[SpeedReport]:
        """Return the reports if this host is the keeper, for its relay."""
        return self.list_reports(now) if self.fencing_token else []

    def _list_own(self, now: Instant) -> list[SpeedReport]:
        return [
            _make_report(
                service, self.fencing_token, now.wall_ms, self.find_speed(service, now)
            )
            for service in self._observed_ms
            if self._is_own_known(service, now)
        ]

    def update_from_peer(self, reports: list[SpeedReport], now: Instant) -> None:
        """Adopt the speeds that a keeper reported, if they are newer."""
        if not self.is_enabled:
            return
        for name, token, sent_ms, *figures in reports[:MAX_REPORTED_SERVICES]:
            service = ServiceName(name)
            if not self._accepts(service, token, sent_ms, now):
                continue
            speed = self._bound(EngineSpeed(**dict(zip(FIGURES, figures, strict=True))))
            if speed is not None:
                self._adopted[service] = _Adopted(speed, token, sent_ms, now.mono_ms)

    def _accepts(
        self, service: ServiceName, token: int, sent_ms: int, now: Instant
    ) -> bool:
        known = self._adopted.get(service)
        if known is None:
            return len(self._adopted) < MAX_REPORTED_SERVICES
        is_newer = (token, sent_ms) > (known.fencing_token, known.sent_ms)
        return is_newer or now.mono_ms - known.received_ms >= REPORT_STALE_MS

    def set_keeper(self, fencing_token: int) -> None:
        """Record whether this host is the keeper.

        A former keeper observes nothing more, and follows the next one at once.
        """
        if self.fencing_token and not fencing_token:
            self._observed_ms.clear()
        self.fencing_token = fencing_token

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an engine that ended or was restarted under the same identifier."""
        self._estimator.forget(upstream)

    def count_first_events(self, service: ServiceName) -> int:
        """Return the number of first events that this host's estimate is made from."""
        return self._estimator.count_first_events(service)

    def _is_own_known(self, service: ServiceName, now: Instant) -> bool:
        observed_ms = self._observed_ms.get(service)
        if observed_ms is None or now.mono_ms - observed_ms >= OWN_STALE_MS:
            return False
        return self._estimator.is_measured(service)

    def _bound(self, speed: EngineSpeed) -> EngineSpeed | None:
        policy, bounded = self._policy, {}
        for name in FIGURES:
            value, default = getattr(speed, name), getattr(policy.defaults, name)
            if not math.isfinite(value) or value <= 0:
                return None
            least, most = policy.min_step_factor, policy.max_step_factor
            if name == "prefill_tokens_per_ms":
                least, most = 1 / policy.max_prefill_factor, policy.max_prefill_factor
            bounded[name] = min(max(value, default * least), default * most)
        return EngineSpeed(**bounded)

    def _log_change(self, service: ServiceName, speed: EngineSpeed) -> None:
        logged = self._logged.get(service, self._policy.defaults)
        ratios = [getattr(speed, name) / getattr(logged, name) for name in FIGURES]
        if all(abs(ratio - 1) < LOG_CHANGE for ratio in ratios):
            return
        self._logged[service] = speed
        logger.info(
            "engine estimate in effect",
            extra={
                "service": service,
                "is_own": service in self._observed_ms,
                **{name: round(getattr(speed, name), 4) for name in FIGURES},
            },
        )


FIGURES = tuple(field.name for field in attrs.fields(EngineSpeed))


def _make_report(
    service: ServiceName, token: int, sent_ms: int, speed: EngineSpeed
) -> SpeedReport:
    return (
        str(service),
        token,
        sent_ms,
        round(speed.prefill_tokens_per_ms, 2),
        round(speed.step_ms, 3),
        round(speed.step_ms_per_request, 4),
    )


def _move_speed(speed: EngineSpeed, target: EngineSpeed, seconds: float) -> EngineSpeed:
    """Return a speed that is at most some seconds closer to the target."""
    gain = math.exp(MAX_GAIN_PER_S * seconds)
    loss = math.exp(MAX_LOSS_PER_S * seconds)

    def move_time(value: float, goal: float) -> float:
        return min(max(goal, value / gain), value * loss)

    prefill_ms = move_time(
        1 / speed.prefill_tokens_per_ms, 1 / target.prefill_tokens_per_ms
    )
    return EngineSpeed(
        prefill_tokens_per_ms=1 / prefill_ms,
        step_ms=move_time(speed.step_ms, target.step_ms),
        step_ms_per_request=move_time(
            speed.step_ms_per_request, target.step_ms_per_request
        ),
    )
