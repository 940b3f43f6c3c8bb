"""Fair queue that divides service between accounts."""

from collections import OrderedDict

import attrs
from result import Err, Ok, Result
from sortedcontainers import SortedKeyList

from waxwingbarrow.core import AccountId, Instant, Overloaded, PriorityClass


@attrs.frozen(kw_only=True)
class QueueItem:
    """A waiting request.

    Parameters
    ----------
    item_id : int
        Unique within the queue; requests with equal `start_by` are served in the order
        of their `item_id`.
    tokens : int
        Expected cost in tokens.
    start_by : Instant
        Latest start time at which the request can meet its deadline.
    """

    item_id: int
    account: AccountId
    priority_class: PriorityClass
    tokens: int
    start_by: Instant


class _AccountQueue:
    """Waiting requests of one account in one priority class, by latest start time."""

    def __init__(self, deficit_tokens: int) -> None:
        self.items = SortedKeyList(
            key=lambda item: (item.start_by.mono_ms, item.item_id)
        )
        self.deficit_tokens = deficit_tokens
        self.tokens = 0


class _ClassQueue:
    """Deficit round robin between the accounts of one priority class.

    Notes
    -----
    M. Shreedhar and G. Varghese, Efficient Fair Queueing using Deficit Round Robin,
    SIGCOMM 1995.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum_tokens = quantum
        self.queues: OrderedDict[AccountId, _AccountQueue] = OrderedDict()

    def push(self, item: QueueItem) -> None:
        queue = self.queues.get(item.account)
        if queue is None:
            queue = self.queues[item.account] = _AccountQueue(self._quantum_tokens)
        queue.items.add(item)
        queue.tokens += item.tokens

    def find_next(self) -> QueueItem | None:
        while self.queues:
            account, queue = next(iter(self.queues.items()))
            item: QueueItem = queue.items[0]
            if queue.deficit_tokens >= item.tokens:
                return item
            queue.deficit_tokens += self._quantum_tokens
            self.queues.move_to_end(account)
        return None

    def serve(self, item: QueueItem) -> None:
        self.queues[item.account].deficit_tokens -= item.tokens
        self.remove(item)

    def remove(self, item: QueueItem) -> None:
        queue = self.queues[item.account]
        queue.items.remove(item)
        queue.tokens -= item.tokens
        if not queue.items:
            del self.queues[item.account]

    def collect_expired(self, now: Instant) -> list[QueueItem]:
        expired = []
        for queue in self.queues.values():
            for item in queue.items:
                if item.start_by.mono_ms >= now.mono_ms:
                    break
                expired.append(item)
        return expired


class FairQueue:
    """Queue that serves urgent priority classes first and accounts in turn.

    Accounts of one class take turns by deficit round robin in tokens. Within an
    account, the request with the earliest `start_by` is served first.

    Parameters
    ----------
    quantum_tokens : int
        Tokens that an account may use per turn.
    max_tokens : int
        Maximum number of waiting tokens. An account may use at most half of them, so
        that one that floods the queue leaves room for others.
    lower_class_percent : int
        Tokens that a less urgent class with waiting requests is served, as a percentage
        of the tokens served to other classes, even if more urgent classes always have
        waiting requests.
    """

    def __init__(
        self,
        quantum_tokens: int = 1_024,
        max_tokens: int = 1_000_000,
        lower_class_percent: int = 10,
    ) -> None:
        self._max_tokens = max_tokens
        self._lower_class_percent = lower_class_percent
        self._classes = {level: _ClassQueue(quantum_tokens) for level in PriorityClass}
        self._credit_tokens = dict.fromkeys(PriorityClass, 0.0)
        self._items: dict[int, QueueItem] = {}
        self._expired: list[QueueItem] = []
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueueItem, now: Instant) -> Result[None, Overloaded]:
        """Add a request, or refuse it if the queue or the account's half is full."""
        self._expire(now)
        account_tokens = sum(
            class_queue.queues[item.account].tokens
            for class_queue in self._classes.values()
            if item.account in class_queue.queues
        )
        if account_tokens and account_tokens + item.tokens > self._max_tokens / 2:
            return Err(Overloaded(reason="The account has too many waiting requests."))
        if self._tokens and self._tokens + item.tokens > self._max_tokens:
            return Err(Overloaded(reason="Too many requests are waiting."))
        self._items[item.item_id] = item
        self._tokens += item.tokens
        self._classes[item.priority_class].push(item)
        return Ok(None)

    def pop(self, now: Instant) -> QueueItem | None:
        """Remove and return the next request that can still meet its deadline."""
        self._expire(now)
        waiting = [level for level in PriorityClass if self._classes[level].queues]
        if not waiting:
            return None
        chosen = waiting[0]
        for level in waiting[1:]:
            head = self._classes[level].find_next()
            if head is not None and self._credit_tokens[level] >= head.tokens:
                chosen = level
                break
        item = self._classes[chosen].find_next()
        assert item is not None
        for level in PriorityClass:
            if level not in waiting:
                self._credit_tokens[level] = 0.0  # an empty class accumulates no credit
            elif level is not chosen:
                self._credit_tokens[level] += (
                    item.tokens * self._lower_class_percent / 100
                )
        self._credit_tokens[chosen] = max(
            self._credit_tokens[chosen] - item.tokens, 0.0
        )
        self._classes[chosen].serve(item)
        self._drop(item)
        return item

    def remove(self, item_id: int) -> bool:
        """Remove a request that its caller abandoned; return whether it was waiting."""
        item = self._items.get(item_id)
        if item is None:
            return False
        self._classes[item.priority_class].remove(item)
        self._drop(item)
        return True

    def take_expired(self, now: Instant) -> tuple[QueueItem, ...]:
        """Return requests that can no longer meet their deadline, each only once."""
        self._expire(now)
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def count_tokens_ahead(
        self, account: AccountId, priority_class: PriorityClass, tokens: int
    ) -> int:
        """Estimate the tokens served before a new request of an account.

        All waiting requests of the account itself count. Every other account of the
        class counts up to the account's own tokens including the new request, because
        accounts take turns. More urgent classes count in full.
        """
        tokens_ahead = 0
        own_tokens = 0
        for level in PriorityClass:
            queues = self._classes[level].queues
            if level is priority_class:
                own_tokens = queues[account].tokens if account in queues else 0
                tokens_ahead += own_tokens + sum(
                    min(queue.tokens, own_tokens + tokens)
                    for other_account, queue in queues.items()
                    if other_account != account
                )
                break
            tokens_ahead += sum(queue.tokens for queue in queues.values())
        return tokens_ahead

    def _expire(self, now: Instant) -> None:
        for class_queue in self._classes.values():
            for item in class_queue.collect_expired(now):
                class_queue.remove(item)
                self._drop(item)
                self._expired.append(item)

    def _drop(self, item: QueueItem) -> None:
        del self._items[item.item_id]
        self._tokens -= item.tokens
