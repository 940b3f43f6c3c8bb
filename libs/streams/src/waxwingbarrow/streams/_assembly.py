"""Assembly of a streamed response from events that may be late or out of order."""

import attrs

from waxwingbarrow.core import Failure, Instant


@attrs.frozen
class Token:
    """A token of the response; `index` counts from 0."""

    index: int
    text: str


@attrs.frozen
class TokenEvent:
    """A token that an upstream sent for one attempt."""

    attempt_id: str
    index: int
    text: str


@attrs.frozen
class DoneEvent:
    """End of the response, which has `count` tokens.

    `count` includes the tokens before the first one of the attempt.
    """

    attempt_id: str
    count: int


StreamEvent = TokenEvent | DoneEvent


@attrs.frozen
class Accepted:
    """The event continued the response.

    Parameters
    ----------
    tokens : tuple of Token
        Tokens to deliver now, in order and without gaps; empty for `DoneEvent`.
    finished : bool
        Whether the response is now complete.
    """

    tokens: tuple[Token, ...]
    finished: bool


@attrs.frozen
class Duplicate:
    """The event was received before with the same content, and was ignored."""


@attrs.frozen
class Gap:
    """Tokens before the event are missing, so that nothing can be delivered.

    Parameters
    ----------
    missing_index : int
        Index of the first missing token, from which a resumption must continue.
    waiting_ms : int
        How long that token has been missing.
    dropped : bool
        Whether the event was discarded because the buffer is full; the upstream must
        then send it again.
    """

    missing_index: int
    waiting_ms: int
    dropped: bool = False


@attrs.frozen
class WrongAttempt:
    """The event belongs to another attempt and was ignored."""

    attempt_id: str


@attrs.frozen
class Mismatch(Failure):
    """The event contradicts an earlier event of this or an earlier attempt.

    The event is not delivered, and the attempt cannot be continued.

    Parameters
    ----------
    index : int
        Index of the token that differs, or the token count of a `DoneEvent`.
    expected, found : str
        Content known from earlier events, and content of this event.
    """

    index: int
    expected: str
    found: str

    @property
    def detail(self) -> str:
        """Error message, as one sentence."""
        # The texts are part of a caller's response and must not be logged.
        return f"The stream contradicts itself at token {self.index}."


EventResult = Accepted | Duplicate | Gap | WrongAttempt | Mismatch


class StreamAssembler:
    """Delivers each token of a response once and in order.

    Parameters
    ----------
    attempt_id : str
        Attempt whose events are accepted.
    first_index : int
        Index of the first token to deliver. Another host delivered the earlier ones,
        so that their text cannot be compared here.
    max_buffered : int
        Maximum number of tokens that are kept while an earlier one is missing.

    Examples
    --------
    >>> assembler = StreamAssembler("a")
    >>> assembler.accept(TokenEvent("a", 1, "B"), Instant(0, 0))
    Gap(missing_index=0, waiting_ms=0, dropped=False)
    >>> accepted = assembler.accept(TokenEvent("a", 0, "A"), Instant(0, 5))
    >>> [token.text for token in accepted.tokens]
    ['A', 'B']
    >>> assembler.accept(DoneEvent("a", 2), Instant(0, 6)).finished
    True
    """

    def __init__(
        self, attempt_id: str, first_index: int = 0, max_buffered: int = 1_024
    ) -> None:
        self._attempt_id = attempt_id
        self._first_index = first_index
        self._max_buffered = max_buffered
        self._delivered_texts: list[str] = []
        self._buffered_texts: dict[int, str] = {}
        self._token_count: int | None = None
        self._gap_start_mono_ms: int | None = None

    @property
    def next_index(self) -> int:
        """Index of the next token to deliver."""
        return self._first_index + len(self._delivered_texts)

    @property
    def finished(self) -> bool:
        """Whether the token count is known and all tokens were delivered."""
        return self._token_count == self.next_index

    @property
    def text(self) -> str:
        """Text delivered from `first_index` on, which another upstream can continue."""
        return "".join(self._delivered_texts)

    def begin_attempt(self, attempt_id: str) -> int:
        """Accept events of a new attempt instead of the current one.

        Undelivered tokens and the token count of the current attempt are discarded,
        because another upstream may continue the delivered text differently. No call
        is needed to resume the same attempt.

        Returns
        -------
        int
            Index from which the new attempt must continue.
        """
        self._attempt_id = attempt_id
        self._buffered_texts.clear()
        self._gap_start_mono_ms = None
        if not self.finished:
            self._token_count = None
        return self.next_index

    def accept(self, event: StreamEvent, now: Instant) -> EventResult:
        """Process an event; `now` is its time of arrival."""
        if event.attempt_id != self._attempt_id:
            return WrongAttempt(event.attempt_id)
        match event:
            case TokenEvent():
                return self._accept_token(event, now)
            case DoneEvent():
                return self._accept_done(event.count, now)

    def get_gap_duration_ms(self, now: Instant) -> int | None:
        """Return how long the next token has been missing; None without a gap."""
        if self._gap_start_mono_ms is None:
            return None
        return now.mono_ms - self._gap_start_mono_ms

    def _accept_token(self, event: TokenEvent, now: Instant) -> EventResult:
        if self._token_count is not None and event.index >= self._token_count:
            return Mismatch(
                event.index, f"{self._token_count} tokens in all", event.text
            )
        if event.index < self._first_index:
            return Duplicate()
        received_text = self._find_received_text(event.index)
        if received_text is not None:
            if received_text != event.text:
                return Mismatch(event.index, received_text, event.text)
            return Duplicate()
        if event.index > self.next_index:
            dropped = len(self._buffered_texts) >= self._max_buffered
            if not dropped:
                self._buffered_texts[event.index] = event.text
            return self._report_gap(now, dropped)
        return self._deliver(event.text, now)

    def _accept_done(self, count: int, now: Instant) -> EventResult:
        if self._token_count is not None:
            if self._token_count != count:
                return Mismatch(count, f"{self._token_count} tokens", f"{count} tokens")
            return Duplicate()
        highest_index = max(self._buffered_texts, default=self.next_index - 1)
        if count <= highest_index:
            return Mismatch(
                count, f"more than {highest_index} tokens", f"{count} tokens"
            )
        self._token_count = count
        if self.finished:
            return Accepted((), finished=True)
        return self._report_gap(now, dropped=False)

    def _find_received_text(self, index: int) -> str | None:
        if index < self.next_index:
            return self._delivered_texts[index - self._first_index]
        return self._buffered_texts.get(index)

    def _deliver(self, text: str, now: Instant) -> Accepted:
        first_delivered = self.next_index
        self._delivered_texts.append(text)
        if not self._buffered_texts and self._token_count is None:
            # Fast path: nearly all tokens arrive in order and before the token count.
            self._gap_start_mono_ms = None
            return Accepted((Token(first_delivered, text),), finished=False)
        while (
            next_text := self._buffered_texts.pop(self.next_index, None)
        ) is not None:
            self._delivered_texts.append(next_text)
        tokens = tuple(
            Token(index, self._delivered_texts[index - self._first_index])
            for index in range(first_delivered, self.next_index)
        )
        self._gap_start_mono_ms = None
        if self._buffered_texts or (
            self._token_count is not None and not self.finished
        ):
            self._gap_start_mono_ms = now.mono_ms
        return Accepted(tokens, self.finished)

    def _report_gap(self, now: Instant, dropped: bool) -> Gap:
        if self._gap_start_mono_ms is None:
            self._gap_start_mono_ms = now.mono_ms
        return Gap(self.next_index, now.mono_ms - self._gap_start_mono_ms, dropped)
