"""What a placement query and its answer say about admission by urgency."""

import enum

import msgspec

from waxwingbarrow.gateway.base import BoundedFloat, BoundedInt, Unsigned64


class CapacityQuery(msgspec.Struct, array_like=True, frozen=True):
    """What the admission of a request depends on while engines are scarce.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    account : str
        Account of the request, also if it has no limit; empty if it has none.
    objective_ms : float
        Latency objective of its route.
    promise : int
        Number of the promise with which it waited; 0 if it did not wait.
    request_hash : int
        The same when a caller repeats the request.
    """

    priority: BoundedInt
    account: str
    objective_ms: BoundedFloat
    promise: BoundedInt = 0
    request_hash: Unsigned64 = 0


class CapacityDecision(enum.IntEnum):
    """What happens to a request.

    Attributes
    ----------
    SERVE
        It is sent to an engine now.
    WAIT
        It waits at its host and is asked about again.
    REFUSE
        It is refused, and nothing is charged for it.
    """

    SERVE = 1
    WAIT = 2
    REFUSE = 3


class CapacityAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a `CapacityQuery`.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    after_ms : float
        Time to wait, or after which a refused caller should come back.
    promise : int
        Number of the promise with which it waits; 0 if it does not.
    is_promised : bool
        Whether a promise was kept, or capacity is reserved for its return.
    """

    decision: CapacityDecision
    after_ms: BoundedFloat = 0.0
    promise: BoundedInt = 0
    is_promised: bool = False
