"""Assembly of one streamed answer from events that may be late or out of order."""

import attrs

from waxwingbarrow.core import Failure, Instant


@attrs.frozen
class Token:
    """One piece of the answer at its position."""

    index: int
    text: str


@attrs.frozen
class TokenEvent:
    """A token as an upstream sent it for one attempt."""

    attempt_id: str
    index: int
    text: str


@attrs.frozen
class DoneEvent:
    """An upstream's announcement that the answer has `count` tokens in all.

    Tokens before the attempt's first index are included in `count`.
    """

    attempt_id: str
    count: int


StreamEvent = TokenEvent | DoneEvent


@attrs.frozen
class Accepted:
    """The event continued the answer.

    Parameters
    ----------
    tokens : tuple of Token
        Tokens to deliver now, in order and without holes; empty for `DoneEvent`.
    finished : bool
        Whether the answer is now complete.
    """

    tokens: tuple[Token, ...]
    finished: bool


@attrs.frozen
class Duplicate:
    """The event repeated what was known, with the same content."""


@attrs.frozen
class Gap:
    """The event is ahead of the answer; tokens from `missing_index` are missing.

    Parameters
    ----------
    missing_index : int
        Index from which a resumption must continue.
    waiting_ms : int
        How long that token has been missing.
    dropped : bool
        Whether the event was not kept because the buffer is full; it is then needed
        again.
    """

    missing_index: int
    waiting_ms: int
    dropped: bool = False


@attrs.frozen
class WrongAttempt:
    """The event belongs to another attempt and was dropped."""

    attempt_id: str


@attrs.frozen
class Mismatch(Failure):
    """The upstream contradicts what it or an earlier attempt sent before.

    Nothing of the event is delivered; the attempt cannot be continued.

    Parameters
    ----------
    index : int
        Position of the contradiction.
    expected, found : str
        What was known and what the event says.
    """

    index: int
    expected: str
    found: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        # The texts are part of a caller's answer and must not reach a log.
        return f"The stream contradicts itself at token {self.index}."


EventResult = Accepted | Duplicate | Gap | WrongAttempt | Mismatch


class StreamAssembler:
    """Delivers each token of one answer once and in order.

    Parameters
    ----------
    attempt_id : str
        The attempt whose events are accepted.
    first_index : int
        First token wanted; earlier ones were delivered by another host and cannot be
        compared here.
    max_buffered : int
        Most tokens held while an earlier one is missing.

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
        self._texts: list[str] = []
        self._buffer: dict[int, str] = {}
        self._count: int | None = None
        self._gap_since_ms: int | None = None

    @property
    def next_index(self) -> int:
        """Index of the first token that was not delivered."""
        return self._first_index + len(self._texts)

    @property
    def finished(self) -> bool:
        """Whether every announced token was delivered."""
        return self._count == self.next_index

    @property
    def text(self) -> str:
        """Text delivered since `first_index`, for continuing on another upstream."""
        return "".join(self._texts)

    def begin_attempt(self, attempt_id: str) -> int:
        """Accept a new attempt instead of the present one.

        Undelivered tokens and the announced count of the earlier attempt are dropped:
        another upstream may continue the delivered text differently. Resuming the
        same attempt needs no call.

        Returns
        -------
        int
            Index from which the new attempt must continue.
        """
        self._attempt_id = attempt_id
        self._buffer.clear()
        self._gap_since_ms = None
        if not self.finished:
            self._count = None
        return self.next_index

    def accept(self, event: StreamEvent, now: Instant) -> EventResult:
        """Take the next event in the order of arrival."""
        if event.attempt_id != self._attempt_id:
            return WrongAttempt(event.attempt_id)
        match event:
            case TokenEvent():
                return self._accept_token(event, now)
            case DoneEvent():
                return self._accept_done(event.count, now)

    def measure_gap_ms(self, now: Instant) -> int | None:
        """Return how long a needed token has been missing; None without a gap."""
        if self._gap_since_ms is None:
            return None
        return now.mono_ms - self._gap_since_ms

    def _accept_token(self, event: TokenEvent, now: Instant) -> EventResult:
        if self._count is not None and event.index >= self._count:
            return Mismatch(event.index, f"{self._count} tokens in all", event.text)
        if event.index < self._first_index:
            return Duplicate()
        known = self._find_known(event.index)
        if known is not None:
            if known != event.text:
                return Mismatch(event.index, known, event.text)
            return Duplicate()
        if event.index > self.next_index:
            dropped = len(self._buffer) >= self._max_buffered
            if not dropped:
                self._buffer[event.index] = event.text
            return self._report_gap(now, dropped)
        return self._deliver(event.text, now)

    def _accept_done(self, count: int, now: Instant) -> EventResult:
        if self._count is not None:
            if self._count != count:
                return Mismatch(count, f"{self._count} tokens", f"{count} tokens")
            return Duplicate()
        highest = max(self._buffer, default=self.next_index - 1)
        if count <= highest:
            return Mismatch(count, f"more than {highest} tokens", f"{count} tokens")
        self._count = count
        if self.finished:
            return Accepted((), finished=True)
        return self._report_gap(now, dropped=False)

    def _find_known(self, index: int) -> str | None:
        if index < self.next_index:
            return self._texts[index - self._first_index]
        return self._buffer.get(index)

    def _deliver(self, text: str, now: Instant) -> Accepted:
        start = self.next_index
        self._texts.append(text)
        if not self._buffer and self._count is None:
            # Nearly every token arrives in order and before the count.
            self._gap_since_ms = None
            return Accepted((Token(start, text),), finished=False)
        while (following := self._buffer.pop(self.next_index, None)) is not None:
            self._texts.append(following)
        tokens = tuple(
            Token(index, self._texts[index - self._first_index])
            for index in range(start, self.next_index)
        )
        self._gap_since_ms = None
        if self._buffer or (self._count is not None and not self.finished):
            self._gap_since_ms = now.mono_ms
        return Accepted(tokens, self.finished)

    def _report_gap(self, now: Instant, dropped: bool) -> Gap:
        if self._gap_since_ms is None:
            self._gap_since_ms = now.mono_ms
        return Gap(self.next_index, now.mono_ms - self._gap_since_ms, dropped)
