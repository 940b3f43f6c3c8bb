"""Fair queue between accounts."""

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
        Unique within the queue; the order of arrival among equal `start_by`.
    tokens : int
        Expected cost.
    start_by : Instant
        Latest start at which the request can meet its deadline.
    """

    item_id: int
    account: AccountId
    priority_class: PriorityClass
    tokens: int
    start_by: Instant


class _Line:
    """Waiting requests of one account in one class, most urgent first."""

    def __init__(self, deficit: int) -> None:
        self.items = SortedKeyList(
            key=lambda item: (item.start_by.mono_ms, item.item_id)
        )
        self.deficit = deficit
        self.tokens = 0


class _ClassQueue:
    """Deficit round robin between the accounts of one class.

    Notes
    -----
    M. Shreedhar and G. Varghese, Efficient Fair Queueing using Deficit Round Robin,
    SIGCOMM 1995.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self.lines: OrderedDict[AccountId, _Line] = OrderedDict()

    def push(self, item: QueueItem) -> None:
        line = self.lines.get(item.account)
        if line is None:
            line = self.lines[item.account] = _Line(self._quantum)
        line.items.add(item)
        line.tokens += item.tokens

    def find_next(self) -> QueueItem | None:
        while self.lines:
            account, line = next(iter(self.lines.items()))
            item: QueueItem = line.items[0]
            if line.deficit >= item.tokens:
                return item
            line.deficit += self._quantum
            self.lines.move_to_end(account)
        return None

    def serve(self, item: QueueItem) -> None:
        self.lines[item.account].deficit -= item.tokens
        self.remove(item)

    def remove(self, item: QueueItem) -> None:
        line = self.lines[item.account]
        line.items.remove(item)
        line.tokens -= item.tokens
        if not line.items:
            del self.lines[item.account]

    def collect_expired(self, now: Instant) -> list[QueueItem]:
        expired = []
        for line in self.lines.values():
            for item in line.items:
                if item.start_by.mono_ms >= now.mono_ms:
                    break
                expired.append(item)
        return expired


class FairQueue:
    """Queue that serves accounts by turns in tokens, urgent classes first.

    Between accounts of one class the turns follow deficit round robin by tokens;
    within an account the request that must start first is served first.

    Parameters
    ----------
    quantum_tokens : int
        Tokens of one turn.
    max_tokens : int
        Most waiting tokens; an account may hold at most half of them, so that a
        flooding account leaves room for others.
    lower_class_percent : int
        Part of the service that a less urgent class with waiting requests gets even
        when more urgent ones never run out.
    """

    def __init__(
        self,
        quantum_tokens: int = 1_024,
        max_tokens: int = 1_000_000,
        lower_class_percent: int = 10,
    ) -> None:
        self._max_tokens = max_tokens
        self._lower_class_percent = lower_class_percent
        self._classes = {kind: _ClassQueue(quantum_tokens) for kind in PriorityClass}
        self._owed = dict.fromkeys(PriorityClass, 0.0)
        self._items: dict[int, QueueItem] = {}
        self._expired: list[QueueItem] = []
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueueItem, now: Instant) -> Result[None, Overloaded]:
        """Add a request, or refuse it if the queue or the account's part is full."""
        self._expire(now)
        held = sum(
            queue.lines[item.account].tokens
            for queue in self._classes.values()
            if item.account in queue.lines
        )
        if held and held + item.tokens > self._max_tokens / 2:
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
        waiting = [kind for kind in PriorityClass if self._classes[kind].lines]
        if not waiting:
            return None
        chosen = waiting[0]
        for kind in waiting[1:]:
            head = self._classes[kind].find_next()
            if head is not None and self._owed[kind] >= head.tokens:
                chosen = kind
                break
        item = self._classes[chosen].find_next()
        assert item is not None
        for kind in PriorityClass:
            if kind not in waiting:
                self._owed[kind] = 0.0  # no credit is saved while nothing waits
            elif kind is not chosen:
                self._owed[kind] += item.tokens * self._lower_class_percent / 100
        self._owed[chosen] = max(self._owed[chosen] - item.tokens, 0.0)
        self._classes[chosen].serve(item)
        self._forget(item)
        return item

    def remove(self, item_id: int) -> bool:
        """Remove a request whose caller gave up; return whether it was waiting."""
        item = self._items.get(item_id)
        if item is None:
            return False
        self._classes[item.priority_class].remove(item)
        self._forget(item)
        return True

    def take_expired(self, now: Instant) -> tuple[QueueItem, ...]:
        """Return, once, the requests that can no longer meet their deadline."""
        self._expire(now)
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def count_tokens_ahead(
        self, account: AccountId, priority_class: PriorityClass, tokens: int
    ) -> int:
        """Estimate the tokens served before a new request of an account.

        The account's own waiting requests all count. Another account of the class
        counts up to the same amount, as turns alternate; more urgent classes count in
        full.
        """
        ahead = 0
        own = 0
        for kind in PriorityClass:
            lines = self._classes[kind].lines
            if kind is priority_class:
                own = lines[account].tokens if account in lines else 0
                ahead += own + sum(
                    min(line.tokens, own + tokens)
                    for other, line in lines.items()
                    if other != account
                )
                break
            ahead += sum(line.tokens for line in lines.values())
        return ahead

    def _expire(self, now: Instant) -> None:
        for queue in self._classes.values():
            for item in queue.collect_expired(now):
                queue.remove(item)
                self._forget(item)
                self._expired.append(item)

    def _forget(self, item: QueueItem) -> None:
        del self._items[item.item_id]
        self._tokens -= item.tokens
