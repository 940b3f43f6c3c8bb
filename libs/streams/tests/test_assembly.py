"""Guards against responses with lost, repeated or reordered tokens.

Tokens of another attempt must not be delivered either.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import Instant
from waxwingbarrow.streams import (
    Accepted,
    DoneEvent,
    Duplicate,
    Gap,
    Mismatch,
    StreamAssembler,
    Token,
    TokenEvent,
    WrongAttempt,
)

NOW = Instant(0, 1_000)
TEXTS = ["Take", " two", " tablets", "", " ähnlich", "\n", " a", " day", "."]
TOKENS = [TokenEvent("a", n, text) for n, text in enumerate(TEXTS)]
DONE = DoneEvent("a", len(TEXTS))
RESPONSE = "".join(TEXTS).encode()


def assemble(events, assembler=None):
    """Return the delivered bytes and whether the end was reported exactly once."""
    assembler = assembler or StreamAssembler("a")
    delivered, end_count = b"", 0
    for event in events:
        event_result = assembler.accept(event, NOW)
        if isinstance(event_result, Accepted):
            delivered += "".join(token.text for token in event_result.tokens).encode()
            end_count += event_result.finished
    return delivered, end_count == 1 and assembler.finished


def concatenate_in_arrival_order(events):
    """Deliver the events as they arrive, without an assembler."""
    delivered = b""
    for event in events:
        if isinstance(event, DoneEvent):
            return delivered, True
        delivered += event.text.encode()
    return delivered, False


def reorder_and_repeat(events, rng):
    """Move events by up to three places and repeat some of them."""
    repeated = [event for event in events for _ in range(rng.choice((1, 1, 2)))]
    positioned = [(n + rng.uniform(0, 3), event) for n, event in enumerate(repeated)]
    return [event for _, event in sorted(positioned, key=lambda item: item[0])]


def make_resumed_events(cut, overlap, rng):
    """Return the events of a stream that is cut and resumed with an overlap."""
    events = [*TOKENS, DONE]
    return reorder_and_repeat(events[:cut], rng) + reorder_and_repeat(
        events[max(0, cut - overlap) :], rng
    )


@pytest.mark.parametrize("overlap", [0, 1, 3])
@pytest.mark.parametrize("cut", range(len(TEXTS) + 2))
def test_stream_that_is_cut_and_resumed_equals_the_complete_response(cut, overlap):
    for seed in range(20):
        events = make_resumed_events(cut, overlap, random.Random(seed))
        assert assemble(events) == (RESPONSE, True)


def test_resumed_streams_are_wrong_without_an_assembler():
    failures = 0
    for cut in range(len(TEXTS) + 2):
        events = make_resumed_events(cut, 1, random.Random(cut))
        failures += concatenate_in_arrival_order(events) != (RESPONSE, True)
    assert failures == len(TEXTS) + 2


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.integers(0, len(TEXTS)), max_size=40), st.integers(1, 4))
def test_any_order_delivers_a_prefix_and_ends_only_when_complete(order, buffered):
    events = [*TOKENS, DONE]
    assembler = StreamAssembler("a", max_buffered=buffered)
    delivered, finished = assemble([events[n] for n in order], assembler)
    assert RESPONSE.startswith(delivered)
    assert finished == (len(TEXTS) in order and assembler.next_index == len(TEXTS))
    assert len(assembler._buffered_texts) <= buffered
    # A resumption from the reported index completes the response.
    rest, _ = assemble([*events[assembler.next_index :], DONE], assembler)
    assert delivered + rest == RESPONSE
    assert assembler.finished


A0, A1, A2 = (TokenEvent("a", n, text) for n, text in enumerate("xyz"))
CASES = {
    "late event of a cut attempt": ([A0], TokenEvent("b", 1, "y"), WrongAttempt("b")),
    "done of another attempt": ([A0], DoneEvent("b", 1), WrongAttempt("b")),
    "repeated token": ([A0], A0, Duplicate()),
    "repeated buffered token": ([A1], A1, Duplicate()),
    "other text in the overlap": (
        [A0],
        TokenEvent("a", 0, "w"),
        Mismatch(0, "x", "w"),
    ),
    "other text in the buffer": (
        [A1],
        TokenEvent("a", 1, "w"),
        Mismatch(1, "y", "w"),
    ),
    "token ahead": ([A0], A2, Gap(1, 0)),
    "gap filled": ([A0, A2], A1, Accepted((Token(1, "y"), Token(2, "z")), False)),
    "buffer full": ([A1, A2], TokenEvent("a", 3, "!"), Gap(0, 0, dropped=True)),
    "done before the last token": ([A0], DoneEvent("a", 2), Gap(1, 0)),
    "last token after done": (
        [A0, DoneEvent("a", 2)],
        A1,
        Accepted((Token(1, "y"),), True),
    ),
    "done in order": ([A0], DoneEvent("a", 1), Accepted((), True)),
    "empty answer": ([], DoneEvent("a", 0), Accepted((), True)),
    "done repeated": ([A0, DoneEvent("a", 1)], DoneEvent("a", 1), Duplicate()),
    "done contradicts done": (
        [A0, DoneEvent("a", 1)],
        DoneEvent("a", 2),
        Mismatch(2, "1 tokens", "2 tokens"),
    ),
    "done below what was delivered": (
        [A0, A1],
        DoneEvent("a", 1),
        Mismatch(1, "more than 1 tokens", "1 tokens"),
    ),
    "token beyond the token count": (
        [A0, DoneEvent("a", 1)],
        A1,
        Mismatch(1, "1 tokens in all", "y"),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_event_after_earlier_events_has_the_expected_result(name):
    earlier, event, expected = CASES[name]
    assembler = StreamAssembler("a", max_buffered=2)
    for item in earlier:
        assembler.accept(item, NOW)
    assert assembler.accept(event, NOW) == expected


def test_token_dropped_by_a_full_buffer_is_accepted_when_sent_again():
    assembler = StreamAssembler("a", max_buffered=1)
    assemble([A1, A2, A0], assembler)
    assert (assembler.text, assembler.next_index) == ("xy", 2)
    assert assemble([A2, DoneEvent("a", 3)], assembler) == (b"z", True)


def test_new_attempt_continues_the_delivered_text_and_discards_the_buffer():
    assembler = StreamAssembler("a")
    assemble([A0, A2, DoneEvent("a", 3)], assembler)
    assert assembler.begin_attempt("b") == 1
    assert isinstance(assembler.accept(A1, NOW), WrongAttempt)
    events = [TokenEvent("b", 1, "q"), DoneEvent("b", 2)]
    assert assemble(events, assembler) == (b"q", True)
    assert assembler.text == "xq"


def test_assembler_with_a_first_index_does_not_deliver_earlier_tokens():
    assembler = StreamAssembler("a", first_index=4)
    assert assemble([*TOKENS, DONE], assembler) == ("".join(TEXTS[4:]).encode(), True)


def test_gap_duration_counts_from_its_start_until_it_is_filled():
    assembler = StreamAssembler("a")
    assembler.accept(A1, Instant(0, 100))
    assert assembler.accept(A2, Instant(0, 350)) == Gap(0, 250)
    assert assembler.get_gap_duration_ms(Instant(0, 400)) == 300
    assembler.accept(A0, Instant(0, 400))
    assert assembler.get_gap_duration_ms(Instant(0, 500)) is None


def test_message_of_a_mismatch_does_not_contain_the_response():
    assert "secret" not in Mismatch(3, "secret", "other").detail
