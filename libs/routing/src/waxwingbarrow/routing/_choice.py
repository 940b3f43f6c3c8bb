"""Choice of the upstream with the shortest estimated time to the first token.

The estimate relies on load reports, which may be old. `choose_worker` is for hosts that
know the requests in flight of all hosts.
"""

import heapq
import random
from collections.abc import Iterable, Sequence

import attrs
import xxhash
from result import Err, Ok, Result

from waxwingbarrow.core import Instant, NoUpstream
from waxwingbarrow.routing._prefixes import PrefixIndex
from waxwingbarrow.routing._views import (
    HealthState,
    RouteRequest,
    RoutingPolicy,
    UpstreamChoice,
    UpstreamView,
)

# Assumed for an upstream that has not reported its rates. A wrong value changes the
# estimates of all such upstreams equally.
UNKNOWN_PREFILL_TOKENS_PER_S = 8_000.0
UNKNOWN_DECODE_TOKENS_PER_S = 1_000.0


@attrs.frozen
class _Candidate:
    view: UpstreamView
    score_ms: float
    first_token_ms: float
    matched_tokens: int


def choose_upstream(
    request: RouteRequest,
    upstreams: Iterable[UpstreamView],
    prefix_index: PrefixIndex,
    policy: RoutingPolicy,
    now: Instant,
    rng: random.Random,
) -> Result[UpstreamChoice, NoUpstream]:
    """Choose the upstream for one request.

    Parameters
    ----------
    request : RouteRequest
        The request.
    upstreams : iterable of UpstreamView
        The upstreams that this host knows. In a large deployment these are the ones
        of its own data centre and a few others, because the time of a choice grows
        with their number.
    prefix_index : PrefixIndex
        Which upstream caches which prompt prefix.
    policy : RoutingPolicy
        Weights and limits.
    now : Instant
        Current time.
    rng : random.Random
        Chooses among equivalent candidates.

    Returns
    -------
    Result
        The choice, or `NoUpstream` if no upstream of the service and version accepts
        new requests. A leaving upstream is never chosen.

    Notes
    -----
    If every upstream is ejected, ejected ones are used: a fault in this host's own
    network connection is then more likely than a fault in every upstream.
    """
    eligible = _filter_eligible(upstreams, request)
    healthy = HealthState.HEALTHY
    usable = [
        view for view in eligible if view.health_state is healthy or _is_usable(view)
    ] or eligible
    if not usable:
        return Err(NoUpstream(reason=_describe_no_upstream(request)))
    subset = select_subset(request, usable, policy)
    lowest_price = min(view.price_per_hour for view in subset)
    scored = [
        _score(view, rank, lowest_price, request, prefix_index, policy, now)
        for rank, view in enumerate(subset)
    ]
    limit_ms = min(item.score_ms for item in scored) + policy.tie_margin_ms
    near_best = [item for item in scored if item.score_ms <= limit_ms]
    # Among nearly equal scores, the estimate that relies most on tokens known to be
    # cached is the most reliable.
    max_matched = max(item.matched_tokens for item in near_best)
    tied = [item for item in near_best if item.matched_tokens == max_matched]
    # Equivalent candidates take turns, which spreads short prompts more evenly than a
    # random choice. Load reports are too old to distinguish these candidates.
    oldest_order = min(item.view.own_sent_order for item in tied)
    best = rng.choice([one for one in tied if one.view.own_sent_order == oldest_order])
    return Ok(
        UpstreamChoice(
            view=best.view,
            first_token_ms=best.first_token_ms,
            matched_tokens=best.matched_tokens,
            candidates=len(scored),
        )
    )


def select_subset(
    request: RouteRequest, views: Sequence[UpstreamView], policy: RoutingPolicy
) -> list[UpstreamView]:
    """Return the upstreams to score, in the rendezvous hash order of the prefix.

    The order depends only on the prompt's prefix and the upstreams, so all hosts of a
    data centre concentrate a prefix on the same few upstreams. A quarter of a full
    subset is from other data centres, in case this host's data centre is overloaded.
    """
    blocks = request.prefix_blocks
    if blocks:
        key = blocks[min(policy.affinity_block, len(blocks) - 1)]
    else:
        key = xxhash.xxh3_64_intdigest(request.fingerprint.encode())
    size = policy.subset_size
    if len(views) <= size:
        return _rank(views, key, size)
    local = [view for view in views if view.data_centre == policy.data_centre]
    remote = [view for view in views if view.data_centre != policy.data_centre]
    local_count = max(size - len(remote), size - size // 4)
    local_subset = _rank(local, key, local_count)
    return local_subset + _rank(remote, key, size - len(local_subset))


def _rank(views: Sequence[UpstreamView], key: int, size: int) -> list[UpstreamView]:
    digest = xxhash.xxh3_64_intdigest

    def hash_upstream(view: UpstreamView) -> tuple[int, str]:
        return digest(view.upstream.encode(), seed=key), view.upstream

    return heapq.nlargest(size, views, key=hash_upstream)


def _filter_eligible(
    upstreams: Iterable[UpstreamView], request: RouteRequest
) -> list[UpstreamView]:
    # A single expression without calls, because with hundreds of upstreams this filter
    # and the ranking take most of the time of a choice.
    service, version, leaving = request.service, request.version, HealthState.LEAVING
    return [
        view
        for view in upstreams
        if view.service == service
        and (version is None or view.version == version)
        and not view.leaving
        and view.health_state is not leaving
    ]


def _is_usable(view: UpstreamView) -> bool:
    match view.health_state:
        case HealthState.EJECTED:
            return False
        case HealthState.PROBING:
            return view.in_flight == 0
        case _:
            return True


def _score(
    view: UpstreamView,
    rank: int,
    lowest_price: float,
    request: RouteRequest,
    prefix_index: PrefixIndex,
    policy: RoutingPolicy,
    now: Instant,
) -> _Candidate:
    matched = min(
        prefix_index.matched_tokens(view.upstream, request.prefix_blocks),
        request.prompt_tokens,
    )
    assumed_tokens = 0.0
    if len(request.prefix_blocks) > policy.affinity_block:
        prefix_tokens = len(request.prefix_blocks) * prefix_index.block_tokens
        prefix_tokens = min(prefix_tokens, request.prompt_tokens)
        assumed_tokens = prefix_tokens * policy.affinity_match_percent / 100 / 2**rank
    prefill_rate = view.prefill_tokens_per_s or UNKNOWN_PREFILL_TOKENS_PER_S
    prefill_ms = (
        1000
        * (request.prompt_tokens - max(float(matched), assumed_tokens))
        / prefill_rate
    )
    freshness = _compute_freshness(view, policy, now)
    wait_ms = freshness * _estimate_wait_ms(view, request, prefill_rate, policy)
    first_token_ms = wait_ms + prefill_ms
    penalty_ms = policy.in_flight_penalty_ms * view.in_flight * freshness
    if view.data_centre != policy.data_centre:
        penalty_ms += policy.other_data_centre_penalty_ms
    elif view.zone != policy.zone:
        penalty_ms += policy.other_zone_penalty_ms
    if lowest_price > 0:
        penalty_ms += policy.price_penalty_ms * (view.price_per_hour / lowest_price - 1)
    if view.health_state is HealthState.SUSPECT:
        penalty_ms += policy.suspect_penalty_ms
    return _Candidate(view, first_token_ms + penalty_ms, first_token_ms, matched)


def _estimate_wait_ms(
    view: UpstreamView,
    request: RouteRequest,
    prefill_rate: float,
    policy: RoutingPolicy,
) -> float:
    """Estimate the wait for queued prompts and, if the batch is full, for a slot."""
    reported_tokens = view.queued_tokens * policy.reported_queue_percent / 100
    wait_ms = 1000 * (reported_tokens + view.own_queued_tokens) / prefill_rate
    excess_requests = view.in_flight - view.batch_limit + 1
    if excess_requests > 0:
        decode_rate = view.decode_tokens_per_s or UNKNOWN_DECODE_TOKENS_PER_S
        wait_ms += (
            1000 * excess_requests * max(request.max_output_tokens, 1) / decode_rate
        )
    return wait_ms


def _compute_freshness(
    view: UpstreamView, policy: RoutingPolicy, now: Instant
) -> float:
    """Return the weight of a load report: 1 if fresh, 0 from twice the stale age."""
    if view.load_reported_at is None:
        return 1.0
    age_ms = now.mono_ms - view.load_reported_at.mono_ms
    return min(1.0, max(0.0, 2 - age_ms / policy.load_stale_ms))


def _describe_no_upstream(request: RouteRequest) -> str:
    version = f" in version {request.version}" if request.version else ""
    return f"No upstream of {request.service}{version} accepts new work."
