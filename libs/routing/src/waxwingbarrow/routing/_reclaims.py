"""What to do with a stream whose upstream is about to be reclaimed."""

import enum

import attrs

from waxwingbarrow.core import in_range


class ReclaimStep(enum.StrEnum):
    """What a stream does next."""

    STAY = "stay"
    MOVE = "move"
    RECOMPUTE = "recompute"


@attrs.frozen(kw_only=True)
class ReclaimPolicy:
    """Constants of `decide_reclaim`.

    Parameters
    ----------
    margin_ms : int
        Time before the announced end in which nothing is started there any more. It
        covers the difference between the clocks of the cloud and of the host.
    transfer_ms : float
        Fixed part of an export and import of a KV cache.
    transfer_tokens_per_s : float
        Tokens whose KV cache is exported and imported in a second.
    prefill_tokens_per_s : float
        Rate assumed for an upstream that has not reported its own.
    slack_percent : float
        Part by which estimates of time are raised.
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
        Time until the upstream is gone; None if it leaves when it is idle.
    remaining_tokens : int
        Most tokens that are still to be generated.
    token_ms : float or None
        Time per token as observed; None before the second token.
    context_tokens : int
        Prompt and generated tokens, all of which another upstream would recompute.
    prefill_tokens_per_s : float
        Rate at which it would recompute them; 0 if not reported.
    can_recompute : bool
        Whether the stream may be begun again elsewhere.
    """

    left_ms: int | None
    remaining_tokens: int
    token_ms: float | None
    context_tokens: int
    prefill_tokens_per_s: float
    can_recompute: bool = True


def decide_reclaim(state: StreamState, policy: ReclaimPolicy) -> ReclaimStep:
    """Return the step that loses the least work.

    Finishing in place loses nothing. A stream that cannot finish still stays as long
    as a move can be made afterwards, because every token until then is kept. Then it
    moves with its KV cache if that is faster than recomputing, and in time.

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
    raised = 1 + policy.slack_percent / 100
    left_ms = state.left_ms - policy.margin_ms
    if state.token_ms is not None:
        finish_ms = state.remaining_tokens * state.token_ms * raised
        if finish_ms <= left_ms:
            return ReclaimStep.STAY
    rate = state.prefill_tokens_per_s or policy.prefill_tokens_per_s
    recompute_ms = state.context_tokens / rate * 1000
    move_ms = policy.transfer_ms + (
        state.context_tokens / policy.transfer_tokens_per_s * 1000
    )
    if move_ms < recompute_ms or not state.can_recompute:
        # The last quarter of the margin is for clocks; an export may use the rest.
        if left_ms > move_ms * raised:
            return ReclaimStep.STAY
        if left_ms + policy.margin_ms * 0.75 >= move_ms:
            return ReclaimStep.MOVE
    if left_ms > 0 or not state.can_recompute:
        return ReclaimStep.STAY
    return ReclaimStep.RECOMPUTE
