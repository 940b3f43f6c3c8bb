"""Speed of model engines, what is observed of it, and constants of its estimate."""

import attrs

from waxwingbarrow.core import in_range


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
    max_latency_ms : float
        Bound on the part of the time to a first event that does not depend on the
        prompt.
    max_share_weight : float
        Bound on the weight, either way, with which prompts of engines that get few
        count more, so that the estimate is that of an engine and not of a prompt.
    max_step_ratio : float
        Bound on the ratio of a step to the fitted one, either way.
    min_running_spread : float
        Standard deviation of the running requests from which on they tell how much
        each adds to a step.
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
    max_latency_ms: float = attrs.field(default=60.0, validator=in_range(0, 1e4))
    max_share_weight: float = attrs.field(default=5.0, validator=in_range(1, 1e3))
    max_step_ratio: float = attrs.field(default=1.5, validator=in_range(1, 100))
    min_running_spread: float = attrs.field(default=2.0, validator=in_range(0, 1e3))
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
