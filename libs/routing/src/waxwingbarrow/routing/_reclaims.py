"""Decision on a stream whose upstream is about to be reclaimed."""

import enum

import attrs

from waxwingbarrow.core import in_range


class ReclaimStep(enum.StrEnum):
    """Next step of a stream on a leaving upstream.

    It stays, moves with its KV cache, or is recomputed from its tokens on another
    upstream.
    """

    STAY = "stay"
    MOVE = "move"
    RECOMPUTE = "recompute"


@attrs.frozen(kw_only=True)
class ReclaimPolicy:
    """Constants of `decide_reclaim`.

    Parameters
    ----------
    margin_ms : int
        Time before the announced end in which nothing but a KV cache transfer is begun
        on the upstream. It covers the difference between the clocks of the cloud and
        of the host.
    transfer_ms : float
        Fixed part of the time to export and import a KV cache.
    transfer_tokens_per_s : float
        Tokens whose KV cache is exported and imported per second.
    prefill_tokens_per_s : float
        Prefill rate assumed for an upstream that has not reported its own.
    slack_percent : float
        Percentage by which time estimates are increased.
    """

    margin_ms: int = attrs.field(default=1_000, validator=in_range(0, 60_000))
    transfer_ms: float = attrs.field(default=50.0, validator=in_range(0, 60_000))
    transfer_tokens_per_s: float = attrs.field(
        default=200_000.0, validator=in_range(1, 1e9)
    )
    prefill_tokens_per_s: float = attrs.field(
        default=5_000.0, validator=in_range(1, 1e9)
    )
    slack_percent: float = attrs.field(default=50.0, validator=in_range(0, 1_000))


@attrs.frozen(kw_only=True)
class StreamState:
    """One stream on a leaving upstream.

    Parameters
    ----------
    left_ms : int or None
        Time until the announced end of the upstream; None if it ends only once it is
        idle.
    remaining_tokens : int
        Maximum number of tokens that are still to be generated.
    token_ms : float or None
        Observed time per generated token; None before the second token.
    context_tokens : int
        Prompt and generated tokens, which another upstream would have to recompute.
    prefill_tokens_per_s : float
        Rate at which the other upstream would recompute them; 0 if not reported.
    can_recompute : bool
        Whether the stream may be restarted on another upstream.
    """

    left_ms: int | None
    remaining_tokens: int
    token_ms: float | None
    context_tokens: int
    prefill_tokens_per_s: float
    can_recompute: bool = True


def decide_reclaim(state: StreamState, policy: ReclaimPolicy) -> ReclaimStep:
    """Return the step that loses the least work.

    A stream that can finish in time stays. Any other stream stays as long as it can
    still be moved later, because tokens generated until then are kept. It then moves
    with its KV cache if that is faster than recomputing and can complete in time.

    Examples
    --------
    >>> state = StreamState(
    ...     left_ms=1_100, remaining_tokens=1_000, token_ms=20.0,
    ...     context_tokens=8_000, prefill_tokens_per_s=10_000.0,
    ... )
    >>> decide_reclaim(state, ReclaimPolicy()).value
    'move'
    """
    if state.left_ms is None:
        return ReclaimStep.STAY
    slack_factor = 1 + policy.slack_percent / 100
    left_ms = state.left_ms - policy.margin_ms
    if state.token_ms is not None:
        finish_ms = state.remaining_tokens * state.token_ms * slack_factor
        if finish_ms <= left_ms:
            return ReclaimStep.STAY
    prefill_rate_per_s = state.prefill_tokens_per_s or policy.prefill_tokens_per_s
    recompute_ms = state.context_tokens / prefill_rate_per_s * 1000
    move_ms = policy.transfer_ms + (
        state.context_tokens / policy.transfer_tokens_per_s * 1000
    )
    if move_ms < recompute_ms or not state.can_recompute:
        # A transfer may use three quarters of the margin; the last quarter remains for
        # the difference between the clocks.
        if left_ms > move_ms * slack_factor:
            return ReclaimStep.STAY
        if left_ms + policy.margin_ms * 0.75 >= move_ms:
            return ReclaimStep.MOVE
    if left_ms > 0 or not state.can_recompute:
        return ReclaimStep.STAY
    return ReclaimStep.RECOMPUTE
