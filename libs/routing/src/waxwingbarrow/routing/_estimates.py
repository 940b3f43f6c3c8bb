"""Speed of model engines, estimated from the times of their responses.

The time of a prompt is `fixed_ms + uncached tokens / prefill rate`, and the time of a
decoding step is `step_ms + step_ms_per_request * running requests`. Both are fitted by
service, since its engines are alike, and each engine has a slowdown relative to that.
"""

from collections import OrderedDict
from collections.abc import Container

import attrs

from waxwingbarrow.core import Instant, ServiceName, UpstreamId
from waxwingbarrow.routing._engine_speeds import (
    DecodingTime,
    EngineSpeed,
    EstimatePolicy,
    PrefillTime,
)
from waxwingbarrow.routing._regression import FadingRegression, Fit


@attrs.define
class _ServiceState:
    """Observations of one service.

    Parameters
    ----------
    prefill : FadingRegression
        Times of prompts.
    latency : FadingRegression
        The same without the lasting slowdowns of the engines. Long prompts are placed
        at fast engines, which would be taken for a latency of the short ones.
    decoding : FadingRegression
        Times of decoding steps, also without the slowdowns.
    first_events, streams : int
        Numbers of observations.
    engines : set of UpstreamId
        Engines with a known state.
    """

    prefill: FadingRegression
    latency: FadingRegression
    decoding: FadingRegression
    first_events: int = 0
    streams: int = 0
    engines: set[UpstreamId] = attrs.Factory(set)


@attrs.define
class _EngineState:
    """Slowdown of one engine at `updated_ms`.

    Parameters
    ----------
    level : float
        Lasting slowdown, as of an engine of another kind.
    phase : float
        Factor on `level` while the engine is in a slow or fast phase.
    outlier : float or None
        Ratio of the last prompt's time to the expected one, if it was far off.
    count : float
        Prompts that were recorded; older ones count less.
    """

    service: ServiceName
    updated_ms: int
    level: float = 1.0
    phase: float = 1.0
    count: float = 0.0
    outlier: float | None = None


class EngineEstimator:
    """Estimates the speed of engines by service, and the slowdown of each engine.

    Examples
    --------
    >>> estimator = EngineEstimator(EstimatePolicy(min_first_events=10))
    >>> service, engine = ServiceName("pool"), UpstreamId("u")
    >>> for tokens in range(1_000, 21_000, 1_000):
    ...     time = PrefillTime(
    ...         tokens=tokens, elapsed_ms=20 + tokens / 85.2, from_idle=True
    ...     )
    ...     estimator.record_prefill(service, engine, time, Instant(0, 0))
    >>> round(estimator.estimate(service).prefill_tokens_per_ms, 1)
    85.2
    """

    def __init__(self, policy: EstimatePolicy) -> None:
        self._policy = policy
        self._services: dict[ServiceName, _ServiceState] = {}
        self._engines: OrderedDict[UpstreamId, _EngineState] = OrderedDict()

    def record_prefill(
        self,
        service: ServiceName,
        upstream: UpstreamId,
        time: PrefillTime,
        now: Instant,
        *,
        is_alone: bool = True,
    ) -> None:
        """Record the time of a prompt.

        Parameters
        ----------
        is_alone : bool
            Whether prompts of hosts that are not observed cannot have been ahead of it.
            Otherwise a long time says less.
        """
        policy = self._policy
        if not time.elapsed_ms >= 0 or not policy.min_tokens <= time.tokens <= 1e7:
            return
        state = self._find_state(service)
        fit = self._find_prefill(state)
        expected_ms = time.tokens * fit.slope
        if time.from_idle:
            expected_ms += fit.offset
        max_factor = policy.max_time_factor if is_alone else policy.max_time_factor / 2
        elapsed_ms = min(time.elapsed_ms, max_factor * expected_ms)
        engine = self._find_engine(service, upstream, now)
        level, phase = self._fade(engine, now)
        # Speeds differ by a factor and latencies by a time, so the variance grows with
        # the prompt.
        weight = self._find_share_weight(state, engine, now) / time.tokens
        offset_ms = fit.offset if time.from_idle else 0.0
        usual_ms = offset_ms + (elapsed_ms - offset_ms) / level
        for regression, value in (
            (state.prefill, elapsed_ms),
            (state.latency, usual_ms),
        ):
            regression.add(
                time.tokens,
                value,
                now_ms=now.mono_ms,
                has_offset=time.from_idle,
                weight=weight,
            )
        state.first_events += 1
        if state.first_events <= policy.min_first_events:
            # A slowdown relative to the defaults would be wrong after the change to the
            # estimate.
            engine.updated_ms = now.mono_ms
            return
        # Times are whole milliseconds, and latencies vary by some, so short prompts say
        # less about an engine.
        weight = min(time.tokens * fit.slope / policy.full_weight_ms, 1.0)
        observed = time.elapsed_ms / expected_ms
        self._update_slowdown(engine, level, phase, observed, weight, now)

    def record_decoding(
        self,
        service: ServiceName,
        upstream: UpstreamId,
        time: DecodingTime,
        now: Instant,
    ) -> None:
        """Record the decoding steps of a stream."""
        policy = self._policy
        max_step_ms = policy.max_slowdown * policy.defaults.step_ms
        if not 0 < time.step_ms <= max_step_ms or not 0 <= time.running <= 1e5:
            return
        state = self._find_state(service)
        step_ms = time.step_ms
        engine = self._engines.get(upstream)
        if engine is not None:
            step_ms /= self._fade(engine, now)[0]
        fit = state.decoding.solve() if state.streams >= policy.min_streams else None
        if fit is not None:
            # Streams in slow phases, in which fewer requests are running, would make
            # the slope small.
            usual_ms = max(fit.offset + fit.slope * time.running, 0.1)
            ratio = policy.max_step_ratio
            step_ms = min(max(step_ms, usual_ms / ratio), usual_ms * ratio)
        state.decoding.add(time.running, step_ms, now_ms=now.mono_ms)
        state.streams += 1

    def is_measured(self, service: ServiceName) -> bool:
        """Return whether enough first events of a service have been recorded."""
        state = self._services.get(service)
        return state is not None and state.first_events >= self._policy.min_first_events

    def count_first_events(self, service: ServiceName) -> int:
        """Return the number of first events of a service that were recorded."""
        state = self._services.get(service)
        return state.first_events if state is not None else 0

    def estimate(self, service: ServiceName) -> EngineSpeed:
        """Return the speed of a service's engines, by what has been measured so far."""
        policy, defaults = self._policy, self._policy.defaults
        state = self._services.get(service)
        if state is None:
            return defaults
        rate, step_ms = defaults.prefill_tokens_per_ms, defaults.step_ms
        step_ms_per_request = defaults.step_ms_per_request
        if state.first_events >= policy.min_first_events:
            fit = self._solve_prefill(state)
            if fit is not None:
                factor = policy.max_prefill_factor
                slope = self._shrink(fit, 1 / rate)
                rate = 1 / min(max(slope, 1 / rate / factor), factor / rate)
        if state.streams >= policy.min_streams:
            fit = state.decoding.solve()
            if fit is not None:
                step_ms = self._bound_step(fit.offset, step_ms)
                # Without enough variation of the load, or with a slope that an engine
                # cannot have, something else made the difference.
                if fit.slope > 0 and fit.x_spread >= policy.min_running_spread:
                    slope = self._shrink(fit, step_ms_per_request)
                    step_ms_per_request = self._bound_step(slope, step_ms_per_request)
        return EngineSpeed(
            prefill_tokens_per_ms=rate,
            step_ms=step_ms,
            step_ms_per_request=step_ms_per_request,
        )

    def measure_slowdown(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the time of a prompt as a multiple of the service's usual one."""
        state = self._engines.get(upstream)
        if state is None:
            return 1.0
        policy = self._policy
        level, phase = self._fade(state, now)
        return min(max(level * phase, 1 / policy.max_slowdown), policy.max_slowdown)

    def _fade(self, state: _EngineState, now: Instant) -> tuple[float, float]:
        """Return the level and the phase of an engine, faded since the last prompt."""
        policy = self._policy
        age_ms = max(now.mono_ms - state.updated_ms, 0)
        level = 1.0 + (state.level - 1.0) * 0.5 ** (age_ms / policy.half_life_ms)
        weight = 0.5 ** (age_ms / policy.phase_half_life_ms)
        return level, 1.0 + (state.phase - 1.0) * weight

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an engine, because it ended or was restarted."""
        engine = self._engines.pop(upstream, None)
        state = self._services.get(engine.service) if engine is not None else None
        if state is not None:
            state.engines.discard(upstream)

    def retain_services(self, services: Container[ServiceName]) -> None:
        """Forget all services but these."""
        self._services = {
            name: state for name, state in self._services.items() if name in services
        }

    def _find_state(self, service: ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            half_life_ms = self._policy.half_life_ms
            state = self._services[service] = _ServiceState(
                FadingRegression(half_life_ms),
                FadingRegression(half_life_ms),
                FadingRegression(half_life_ms),
            )
        return state

    def _find_prefill(self, state: _ServiceState) -> Fit:
        """Return the fitted time of prompts; that of the defaults until it is known."""
        policy = self._policy
        slope = 1 / policy.defaults.prefill_tokens_per_ms
        fit = self._solve_prefill(state)
        if fit is None or state.first_events < policy.min_first_events:
            return Fit(offset=0.0, slope=slope, slope_error=0.0)
        factor = policy.max_prefill_factor
        bounded = min(max(fit.slope, slope / factor), slope * factor)
        return attrs.evolve(fit, slope=bounded)

    def _solve_prefill(self, state: _ServiceState) -> Fit | None:
        fit = state.latency.solve()
        if fit is None:
            return None
        offset = min(max(fit.offset, 0.0), self._policy.max_latency_ms)
        return state.prefill.solve_with_offset(offset)

    def _find_engine(
        self, service: ServiceName, upstream: UpstreamId, now: Instant
    ) -> _EngineState:
        engine = self._engines.get(upstream)
        if engine is None:
            if len(self._engines) >= self._policy.max_engines:
                self.forget(next(iter(self._engines)))
            engine = self._engines[upstream] = _EngineState(service, now.mono_ms)
            self._find_state(service).engines.add(upstream)
        self._engines.move_to_end(upstream)
        return engine

    def _find_share_weight(
        self, state: _ServiceState, engine: _EngineState, now: Instant
    ) -> float:
        """Count a prompt, and return its weight; see `max_share_weight`."""
        policy = self._policy
        age_ms = max(now.mono_ms - engine.updated_ms, 0)
        engine.count = engine.count * 0.5 ** (age_ms / policy.half_life_ms) + 1
        usual_count = (state.prefill.count + 1) / len(state.engines)
        ratio = usual_count / engine.count
        return min(max(ratio, 1 / policy.max_share_weight), policy.max_share_weight)

    def _shrink(self, fit: Fit, default: float) -> float:
        margin = self._policy.error_factor * fit.slope_error
        if fit.slope > default:
            return max(fit.slope - margin, default)
        return min(fit.slope + margin, default)

    def _bound_step(self, value: float, default: float) -> float:
        policy = self._policy
        least = default * policy.min_step_factor
        return min(max(value, least), default * policy.max_step_factor)

    def _update_slowdown(
        self,
        engine: _EngineState,
        level: float,
        phase: float,
        observed: float,
        weight: float,
        now: Instant,
    ) -> None:
        policy = self._policy
        observed = min(max(observed, 1 / policy.max_slowdown), policy.max_slowdown)
        ratio = observed / (level * phase)
        is_outlier = not 1 / policy.change_factor <= ratio <= policy.change_factor
        is_outlier = is_outlier and weight >= 0.5
        before = engine.outlier
        engine.outlier = ratio if is_outlier else None
        if is_outlier and before is not None and (before > 1) == (ratio > 1):
            phase = observed / level
            engine.outlier = None
        else:
            phase += policy.phase_weight * weight * (observed / level - phase)
        # The first prompts of an engine say most about its kind.
        level_weight = weight * max(
            policy.level_weight, min(policy.phase_weight, 1 / engine.count)
        )
        engine.level = level + level_weight * (observed - level)
        engine.phase, engine.updated_ms = phase, now.mono_ms
