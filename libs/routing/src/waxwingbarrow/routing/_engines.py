"""Choice of the worker for a request, from the requests in flight of all hosts.

A worker is an upstream that runs a model engine or a plain service. `choose_upstream`
is for hosts that know the load of the upstreams only from reports.
"""

import random
from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import DataCentre, NoUpstream, UpstreamId, in_range


@attrs.frozen(kw_only=True)
class WorkerView:
    """What this host knows about one worker when it places a request.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run concurrently.
    running : int
        Requests from any host that run or wait at the worker.
    pending_prefill_tokens : float
        Prompt tokens of these requests that have not been prefilled yet.
    used_tokens : float
        KV cache memory that these requests occupy, in tokens.
    memory_tokens : int
        KV cache memory for running requests and cached prompt parts, in tokens; 0 for
        a worker of a plain service.
    cached_tokens : int
        Prompt tokens of the request to place that the worker has cached.
    failure_rate : float
        Fraction of the recent requests that failed, 0 to 1.
    is_suspect : bool
        Whether the worker may have ended or may be unreachable.
    slowdown : float
        Time that the worker takes for a prompt, as a multiple of what the policy says.
    """

    upstream: UpstreamId
    data_centre: DataCentre
    slots: int
    running: int = 0
    pending_prefill_tokens: float = 0.0
    used_tokens: float = 0.0
    memory_tokens: int = 0
    cached_tokens: int = 0
    failure_rate: float = 0.0
    is_suspect: bool = False
    slowdown: float = 1.0


@attrs.frozen(kw_only=True)
class RequestSize:
    """Size of a request in tokens; both counts are 0 for a plain service."""

    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen(kw_only=True)
class PlacementPolicy:
    """Constants of `choose_worker`.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    prefill_tokens_per_ms : float
        Prefill rate of a worker, from the specification of the deployment.
    running_penalty_ms : float
        Penalty per running request, because each one slows down the generation of
        every token.
    slot_wait_ms : float
        Expected wait per request in excess of the slots.
    other_data_centre_penalty_ms : float
        Penalty for the latency and the transfer price between data centres.
    memory_penalty_ms : float
        Penalty if the request does not fit into the free memory, so that running
        requests would be preempted.
    failure_penalty_ms : float
        Penalty for a worker at which all recent requests failed; proportional to the
        failure rate.
    tie_margin_ms : float
        Workers whose scores are within this distance of the best are equivalent. The
        choice among them is random, so that hosts with the same information do not all
        choose the same worker.
    """

    data_centre: DataCentre
    prefill_tokens_per_ms: float = attrs.field(
        default=55.0, validator=in_range(0.1, 1e5)
    )
    running_penalty_ms: float = attrs.field(default=3.0, validator=in_range(0, 1e4))
    slot_wait_ms: float = attrs.field(default=20.0, validator=in_range(0, 1e5))
    other_data_centre_penalty_ms: float = attrs.field(
        default=8.0, validator=in_range(0, 1e4)
    )
    memory_penalty_ms: float = attrs.field(default=1_000.0, validator=in_range(0, 1e6))
    failure_penalty_ms: float = attrs.field(default=3_000.0, validator=in_range(0, 1e6))
    tie_margin_ms: float = attrs.field(default=2.0, validator=in_range(0, 1e4))


@attrs.frozen(kw_only=True)
class Placement:
    """The chosen worker.

    Parameters
    ----------
    view : WorkerView
        The worker.
    start_ms : float
        Result of `estimate_start_ms` for it.
    candidates : int
        Number of workers that were scored.
    """

    view: WorkerView
    start_ms: float
    candidates: int


def estimate_start_ms(
    view: WorkerView, request_size: RequestSize, policy: PlacementPolicy
) -> float:
    """Return the estimated time until a slot is free and the prompt is prefilled."""
    prefill_tokens = max(request_size.prompt_tokens - view.cached_tokens, 0)
    tokens = view.pending_prefill_tokens + prefill_tokens
    start_ms = view.slowdown * tokens / policy.prefill_tokens_per_ms
    excess_requests = view.running - view.slots + 1
    if excess_requests > 0:
        start_ms += excess_requests * policy.slot_wait_ms
    return start_ms


def choose_worker(
    request_size: RequestSize,
    views: Sequence[WorkerView],
    policy: PlacementPolicy,
    rng: random.Random,
) -> Result[Placement, NoUpstream]:
    """Choose the worker with the lowest sum of estimated start time and penalties.

    Suspect workers are used only if there are no others.

    Examples
    --------
    >>> policy = PlacementPolicy(data_centre=DataCentre("a"))
    >>> def view(name, **known):
    ...     return WorkerView(
    ...         upstream=UpstreamId(name), data_centre=DataCentre("a"), slots=8, **known
    ...     )
    >>> cached = view("u1", cached_tokens=5_000, running=3)
    >>> request_size = RequestSize(prompt_tokens=6_000)
    >>> chosen = choose_worker(
    ...     request_size, [cached, view("u2")], policy, random.Random(1)
    ... )
    >>> chosen.ok().view.upstream
    'u1'
    """
    usable = [view for view in views if not view.is_suspect] or list(views)
    if not usable:
        return Err(NoUpstream(reason="No worker accepts new work."))
    scored = [(_score(view, request_size, policy), view) for view in usable]
    max_score = min(score for score, _ in scored) + policy.tie_margin_ms
    tied = [view for score, view in scored if score <= max_score]
    best = tied[0] if len(tied) == 1 else rng.choice(tied)
    return Ok(
        Placement(
            view=best,
            start_ms=estimate_start_ms(best, request_size, policy),
            candidates=len(usable),
        )
    )


def _score(
    view: WorkerView, request_size: RequestSize, policy: PlacementPolicy
) -> float:
    score = estimate_start_ms(view, request_size, policy)
    score += policy.running_penalty_ms * view.running
    score += policy.failure_penalty_ms * view.failure_rate
    if view.data_centre != policy.data_centre:
        score += policy.other_data_centre_penalty_ms
    if view.memory_tokens:
        needed = (
            request_size.prompt_tokens - view.cached_tokens + request_size.output_tokens
        )
        if view.used_tokens + needed > view.memory_tokens:
            score += policy.memory_penalty_ms
    return score
