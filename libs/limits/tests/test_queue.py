"""Guards against accounts or priority classes that starve, and missed deadlines."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import AccountId, Instant, PriorityClass
from waxwingbarrow.limits import FairQueue, QueueItem

INTERACTIVE, STANDARD, BATCH = PriorityClass
NOW = Instant(0, 0)
LARGE, SMALL = AccountId("large"), AccountId("small")


def make_item(item_id, account=LARGE, kind=STANDARD, tokens=100, start_by_ms=10**6):
    return QueueItem(
        item_id=item_id,
        account=account,
        priority_class=kind,
        tokens=tokens,
        start_by=Instant(0, start_by_ms),
    )


def drain(queue, now=NOW):
    items = []
    while (item := queue.pop(now)) is not None:
        items.append(item)
    return items


class ArrivalOrderQueue:
    """Baseline without fairness: first in, first out."""

    def __init__(self):
        self._items = []

    def push(self, item, now):
        self._items.append(item)

    def pop(self, now):
        return self._items.pop(0) if self._items else None


@pytest.mark.parametrize(
    ("queue_class", "isolates"), [(FairQueue, True), (ArrivalOrderQueue, False)]
)
def test_small_account_does_not_wait_behind_a_flooding_one(queue_class, isolates):
    queue = queue_class()
    for number in range(500):
        queue.push(make_item(number), NOW)
    queue.push(make_item(999, SMALL), NOW)
    position = [item.account for item in drain(queue)].index(SMALL)
    assert (position <= 11) is isolates  # one turn of 1,024 tokens


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.integers(1, 3_000), min_size=1, max_size=40), st.integers(1, 3_000))
def test_busy_accounts_get_equal_tokens_regardless_of_request_sizes(
    sizes, small_tokens
):
    queue = FairQueue(quantum_tokens=1_024, max_tokens=10**9)
    for number, tokens in enumerate(sizes):
        queue.push(make_item(number, LARGE, tokens=tokens), NOW)
    for number in range(len(sizes) * 3_000 // small_tokens + 2):
        queue.push(make_item(1_000 + number, SMALL, tokens=small_tokens), NOW)
    served = {LARGE: 0, SMALL: 0}
    left = len(sizes)
    while left:
        item = queue.pop(NOW)
        served[item.account] += item.tokens
        left -= item.account == LARGE
        if left:
            assert abs(served[LARGE] - served[SMALL]) <= 2 * 1_024 + 2 * 3_000


ORDER_CASES = {
    "class first": ([make_item(1, kind=BATCH), make_item(2, kind=INTERACTIVE)], [2, 1]),
    "deadline within an account": (
        [make_item(1, start_by_ms=900), make_item(2, start_by_ms=800)],
        [2, 1],
    ),
    "arrival among equal deadlines": ([make_item(2), make_item(1)], [1, 2]),
    "cost above the quantum": ([make_item(1, tokens=50_000)], [1]),
}


@pytest.mark.parametrize("name", ORDER_CASES)
def test_requests_are_served_by_class_deadline_and_arrival(name):
    items, expected = ORDER_CASES[name]
    queue = FairQueue()
    for item in items:
        assert queue.push(item, NOW).is_ok()
    assert [item.item_id for item in drain(queue)] == expected


def test_lower_class_is_not_starved_by_a_class_that_is_always_waiting():
    queue = FairQueue()
    for number in range(200):
        queue.push(make_item(number, kind=INTERACTIVE), NOW)
        queue.push(make_item(1_000 + number, SMALL, BATCH), NOW)
    first = [queue.pop(NOW) for _ in range(100)]
    assert 8 <= sum(item.priority_class is BATCH for item in first) <= 10


def test_expired_request_is_reported_once_and_never_served():
    queue = FairQueue()
    queue.push(make_item(1, start_by_ms=10), NOW)
    queue.push(make_item(2, start_by_ms=20), NOW)
    later = Instant(0, 11)
    assert [item.item_id for item in drain(queue, later)] == [2]
    assert [item.item_id for item in queue.take_expired(later)] == [1]
    assert queue.take_expired(later) == ()


def test_full_queue_refuses_a_flooding_account_before_others():
    queue = FairQueue(max_tokens=1_000)
    results = [queue.push(make_item(n), NOW).is_ok() for n in range(7)]
    assert results == [True] * 5 + [False] * 2
    assert queue.push(make_item(9, SMALL), NOW).is_ok()
    assert queue.push(make_item(10, AccountId("x"), tokens=500), NOW).is_err()


STEP = st.tuples(
    st.sampled_from(["push", "pop", "remove", "wait"]),
    st.sampled_from([LARGE, SMALL]),
    st.sampled_from(PriorityClass),
    st.integers(1, 3_000),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, max_size=60))
def test_every_request_leaves_the_queue_exactly_once_in_any_order_of_calls(steps):
    queue = FairQueue(max_tokens=10**9)
    mono_ms, pushed, left = 0, [], []
    for number, (action, account, kind, value) in enumerate(steps):
        now = Instant(0, mono_ms)
        match action:
            case "push":
                item = make_item(number, account, kind, value, mono_ms + value)
                assert queue.push(item, now).is_ok()
                pushed.append(number)
            case "pop":
                item = queue.pop(now)
                if item is not None:
                    assert item.start_by.mono_ms >= mono_ms
                    left.append(item.item_id)
            case "remove":
                if pushed and queue.remove(pushed[value % len(pushed)]):
                    left.append(pushed[value % len(pushed)])
            case "wait":
                mono_ms += value
    now = Instant(0, mono_ms)
    left += [item.item_id for item in drain(queue, now)]
    left += [item.item_id for item in queue.take_expired(now)]
    assert sorted(left) == pushed
    assert len(queue) == 0
    assert queue.count_tokens_ahead(SMALL, BATCH, 1) == 0
