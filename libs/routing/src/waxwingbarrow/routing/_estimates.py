"""Speed of model engines, estimated from the times of their responses.

The time of a prompt is `fixed_ms + uncached tokens / prefill rate`, and the time of a
decoding step is `step_ms + step_ms_per_request * running requests`. Both are fitted by
service, since its engines are alike, and each engine has a slowdown relative to that.
"""

from collections import OrderedDict
from collections.abc import Container

import attrs

from waxwingbarrow.core import Instant, ServiceName, UpstreamId, in_range
from waxwingbarrow.routing._regression import FadingRegression, Fit


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed of the engines of a service; the defaults are those of the data sheets.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Prompt tokens that are not cached and that an engine reads in a millisecond.
    step_ms : float
        Time of a decoding step without other requests.
    step_ms_per_request : float
        Time that each running request adds to a decoding step.
    """

    prefill_tokens_per_ms: float = 55.0
    step_ms: float = 3.0
    step_ms_per_request: float = 0.101


@attrs.frozen(kw_only=True)
class EstimatePolicy:
    """Constants of `EngineEstimator`.

    Parameters
    ----------
    defaults : EngineSpeed
        Speed that applies until enough has been measured.
    min_first_events, min_streams : int
        First events before the prefill rate, and streams before the times of a
        decoding step, differ from `defaults`.
    error_factor : float
        Standard errors by which an estimate is moved towards the default. One that
        agrees with it changes nothing.
    max_prefill_factor : float
        Bound on the ratio of the prefill rate to the default, either way.
    min_step_factor, max_step_factor : float
        Bounds on the ratios of the step times to the defaults. The slopes of the
        deployments are between 0.14 and 1.2 of the default.
    half_life_ms : float
        Age at which an observation of a service counts half.
    max_time_factor : float
        Bound on the time of a prompt, as a multiple of what the estimate says.
    level_weight : float
        Weight of the newest prompt in the lasting slowdown of its engine, which an
        engine without first events loses with `half_life_ms`.
    phase_weight, phase_half_life_ms : float
        Weight of the newest prompt in the phase of its engine, and time in which the
        phase fades halfway. Slow phases last about 600 ms.
    full_weight_ms : float
        Expected time of a prompt from which on it has the full weight.
    change_factor : float
        Two prompts in a row that took this many times longer or shorter than the
        slowdown says replace it.
    max_slowdown : float
        Bound on a slowdown, either way.
    min_tokens : int
        Prompts with fewer uncached tokens say little about the speed.
    max_engines : int
        Engines whose slowdown is known; the one observed least recently is forgotten.
    """

    defaults: EngineSpeed = EngineSpeed()
    min_first_events: int = attrs.field(default=50, validator=in_range(2, 1e5))
    min_streams: int = attrs.field(default=50, validator=in_range(2, 1e5))
    error_factor: float = attrs.field(default=2.0, validator=in_range(0, 100))
    max_prefill_factor: float = attrs.field(default=4.0, validator=in_range(1, 100))
    min_step_factor: float = attrs.field(default=0.125, validator=in_range(0.01, 1))
    max_step_factor: float = attrs.field(default=3.0, validator=in_range(1, 100))
    half_life_ms: float = attrs.field(default=30_000.0, validator=in_range(100, 1e7))
    max_time_factor: float = attrs.field(default=3.0, validator=in_range(1, 100))
    level_weight: float = attrs.field(default=0.05, validator=in_range(0, 1))
    phase_weight: float = attrs.field(default=0.2, validator=in_range(0, 1))
    phase_half_life_ms: float = attrs.field(default=1_000.0, validator=in_range(1, 1e6))
    full_weight_ms: float = attrs.field(default=40.0, validator=in_range(1, 1e5))
    change_factor: float = attrs.field(default=1.7, validator=in_range(1, 100))
    max_slowdown: float = attrs.field(default=10.0, validator=in_range(1, 1e3))
    min_tokens: int = attrs.field(default=500, validator=in_range(1, 1e6))
    max_engines: int = attrs.field(default=2_000, validator=in_range(1, 1e6))


@attrs.frozen(kw_only=True)
class PrefillTime:
    """Time that an engine took for one prompt.

    Parameters
    ----------
    tokens : float
        Prompt tokens that were not cached.
    elapsed_ms : float
        Time from sending the request to an idle engine, or from the first event of the
        prompt before it, to the first event.
    from_idle : bool
        Whether the engine was idle, so that the time contains the latency.
    """

    tokens: float
    elapsed_ms: float
    from_idle: bool


@attrs.frozen(kw_only=True)
class DecodingTime:
    """Decoding steps of one stream.

    Parameters
    ----------
    step_ms : float
        Time of a step.
    running : float
        Mean number of requests that ran at the engine.
    """

    step_ms: float
    running: float


@attrs.define
class _ServiceState:
    prefill: FadingRegression
    decoding: FadingRegression
    first_events: int = 0
    streams: int = 0


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
    """

    level: float
    phase: float
    updated_ms: int
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
            expected_ms += min(max(fit.offset, 0.0), 1_000.0)
        max_factor = policy.max_time_factor if is_alone else policy.max_time_factor / 2
        elapsed_ms = min(time.elapsed_ms, max_factor * expected_ms)
        state.prefill.add(
            time.tokens,
            elapsed_ms,
            now_ms=now.mono_ms,
            has_offset=time.from_idle,
            # Speeds differ by a factor and latencies by a time, so the variance grows
            # with the prompt.
            weight=1 / time.tokens,
        )
        state.first_events += 1
        if state.first_events <= policy.min_first_events:
            # A slowdown relative to the defaults would be wrong after the change to the
            # estimate.
            return
        # Times are whole milliseconds, and latencies vary by some, so short prompts say
        # less about an engine.
        weight = min(time.tokens * fit.slope / policy.full_weight_ms, 1.0)
        self._update_slowdown(upstream, time.elapsed_ms / expected_ms, weight, now)

    def record_decoding(
        self, service: ServiceName, time: DecodingTime, now: Instant
    ) -> None:
        """Record the decoding steps of a stream."""
        defaults = self._policy.defaults
        max_step_ms = self._policy.max_slowdown * defaults.step_ms
        if not 0 < time.step_ms <= max_step_ms or not 0 <= time.running <= 1e5:
            return
        state = self._find_state(service)
        state.decoding.add(time.running, time.step_ms, now_ms=now.mono_ms)
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
            fit = state.prefill.solve()
            if fit is not None:
                factor = policy.max_prefill_factor
                slope = self._shrink(fit, 1 / rate)
                rate = 1 / min(max(slope, 1 / rate / factor), factor / rate)
        if state.streams >= policy.min_streams:
            fit = state.decoding.solve()
            if fit is not None:
                step_ms = self._bound_step(fit.offset, step_ms)
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
        self._engines.pop(upstream, None)

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
                FadingRegression(half_life_ms), FadingRegression(half_life_ms)
            )
        return state

    def _find_prefill(self, state: _ServiceState) -> Fit:
        """Return the fitted time of prompts; that of the defaults until it is known."""
        policy = self._policy
        slope = 1 / policy.defaults.prefill_tokens_per_ms
        fit = state.prefill.solve()
        if fit is None or state.first_events < policy.min_first_events:
            return Fit(offset=0.0, slope=slope, slope_error=0.0)
        factor = policy.max_prefill_factor
        bounded = min(max(fit.slope, slope / factor), slope * factor)
        return attrs.evolve(fit, slope=bounded)

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
        self, upstream: UpstreamId, observed: float, weight: float, now: Instant
    ) -> None:
        policy = self._policy
        observed = min(max(observed, 1 / policy.max_slowdown), policy.max_slowdown)
        state = self._engines.get(upstream)
        if state is None:
            if len(self._engines) >= policy.max_engines:
                self._engines.popitem(last=False)
            state = self._engines[upstream] = _EngineState(1.0, 1.0, now.mono_ms)
        level, phase = self._fade(state, now)
        ratio = observed / (level * phase)
        is_outlier = not 1 / policy.change_factor <= ratio <= policy.change_factor
        is_outlier = is_outlier and weight >= 0.5
        before = state.outlier
        state.outlier = ratio if is_outlier else None
        if is_outlier and before is not None and (before > 1) == (ratio > 1):
            phase = observed / level
            state.outlier = None
        else:
            phase += policy.phase_weight * weight * (observed / level - phase)
        state.level = level + policy.level_weight * weight * (observed - level)
        state.phase, state.updated_ms = phase, now.mono_ms
        self._engines.move_to_end(upstream)
