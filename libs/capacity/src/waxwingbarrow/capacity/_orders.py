"""Orders to the cloud and to upstreams, their results and their states."""

import enum

import attrs

from waxwingbarrow.capacity._hosts import HostOffer
from waxwingbarrow.core import (
    Failure,
    HostId,
    Incarnation,
    Instant,
    ServiceName,
    VersionName,
    in_range,
)


@attrs.frozen
class StartHost:
    """Order to the cloud to start a host that runs a version of a service."""

    offer: HostOffer
    service: ServiceName
    version: VersionName


@attrs.frozen
class ReturnHost:
    """Order to the cloud to take back a drained host."""

    host: HostId


@attrs.frozen
class DrainHost:
    """Order to an upstream to accept no new requests and finish those in flight.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the upstream process for which the order was decided.
    checks_fencing : bool
        Whether the upstream refuses an order with an outdated fencing token.
    """

    host: HostId
    incarnation: Incarnation
    checks_fencing: bool = False


@attrs.frozen
class LoadVersion:
    """Order to an upstream to load the weights of a version and serve it.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the upstream process for which the order was decided.
    checks_fencing : bool
        Whether the upstream refuses an order with an outdated fencing token.
    """

    host: HostId
    incarnation: Incarnation
    service: ServiceName
    version: VersionName
    checks_fencing: bool = False


OrderContent = StartHost | ReturnHost | DrainHost | LoadVersion


@attrs.frozen(kw_only=True)
class Order:
    """One attempt to send an order.

    Parameters
    ----------
    order_id : str
        Idempotency key, the same for all attempts; the receiver carries out an order
        with the same key only once.
    fencing : int
        Fencing token of the lease at this attempt; a later attempt may carry a higher
        one.
    attempt : int
        Number of the attempt, starting at 1.
    send_before_mono_ms : int
        End of the lease on this host's monotonic clock. The sender has to check the
        clock again right before sending, so that a process that was paused in between
        sends nothing.
    """

    order_id: str
    fencing: int
    content: OrderContent
    attempt: int
    send_before_mono_ms: int


@attrs.frozen
class OrderDone:
    """The order took effect, in this attempt or an earlier one.

    Parameters
    ----------
    host : HostId or None
        Host that a `StartHost` order created.
    """

    host: HostId | None = None


@attrs.frozen
class OrderRefused:
    """The receiver refused the order; it had no effect."""

    reason: str = ""


@attrs.frozen
class OrderStale:
    """The receiver knows a higher fencing token; the order had no effect.

    Parameters
    ----------
    known_fencing : int or None
        Highest fencing token that the receiver knows; None if it does not report it.
    """

    known_fencing: int | None = None


@attrs.frozen
class OrderNotSent:
    """The order certainly did not reach the receiver."""


@attrs.frozen
class OrderUnsettled:
    """The outcome is unknown: no valid response arrived; it may have taken effect."""


OrderResult = OrderDone | OrderRefused | OrderStale | OrderNotSent | OrderUnsettled


class OrderState(enum.StrEnum):
    """State of an order; it is `UNSETTLED` while its outcome is unknown."""

    WAITING = "waiting"
    IN_FLIGHT = "in flight"
    UNSETTLED = "unsettled"
    DONE = "done"
    REFUSED = "refused"
    OBSOLETE = "obsolete"


@attrs.frozen(kw_only=True)
class OrderEntry:
    """An order and its state in the order tracker.

    Parameters
    ----------
    state : OrderState
        Current state.
    attempts : int
        Number of attempts so far.
    added_at : Instant
        When the order was added.
    sent_at : Instant or None
        When the last attempt was sent; None before the first one and once the outcome
        of the order is known.
    next_attempt_at : Instant
        Earliest time of the next attempt.
    host : HostId or None
        Host that a `StartHost` order created, once known.
    settled_at : Instant or None
        When the order reached its final state.
    uncertain_until : Instant or None
        Time until which an attempt without a response may still take effect.
    """

    order_id: str
    content: OrderContent
    state: OrderState
    attempts: int = 0
    added_at: Instant
    sent_at: Instant | None = None
    next_attempt_at: Instant
    host: HostId | None = None
    settled_at: Instant | None = None
    uncertain_until: Instant | None = None

    @property
    def is_open(self) -> bool:
        """Whether the order has not reached a final state yet."""
        return self.state in (
            OrderState.WAITING,
            OrderState.IN_FLIGHT,
            OrderState.UNSETTLED,
        )

    def is_uncertain(self, now: Instant) -> bool:
        """Return whether an attempt without a response may still take effect."""
        until = self.uncertain_until
        return until is not None and now.mono_ms < until.mono_ms

    @property
    def target(self) -> HostId | None:
        """Host that the order changes; None for an order to start a new host."""
        match self.content:
            case StartHost():
                return None
            case ReturnHost(host=host) | DrainHost(host=host) | LoadVersion(host=host):
                return host


@attrs.frozen
class OrderFailure(Failure):
    """An order was not added to the tracker; nothing was sent."""


@attrs.frozen
class LeaseNotHeld(OrderFailure):
    """The lease is not held by this process."""

    @property
    def detail(self) -> str:
        """Explanation of the failure in one sentence."""
        return "This host does not hold the capacity lease."


@attrs.frozen
class TakeoverPending(OrderFailure):
    """Orders of the previous holder may still take effect, or are not visible yet."""

    @property
    def detail(self) -> str:
        """Explanation of the failure in one sentence."""
        return "Orders of the previous lease holder may still take effect."


@attrs.frozen
class TargetBusy(OrderFailure):
    """Another order to the same host is open or may still take effect there."""

    host: HostId
    order_id: str

    @property
    def detail(self) -> str:
        """Explanation of the failure in one sentence."""
        return f"Order {self.order_id} to host {self.host} may still take effect."


@attrs.frozen(kw_only=True)
class OrderPolicy:
    """Settings of the order tracker.

    Parameters
    ----------
    order_timeout_ms : int
        Time after sending an attempt at which it can no longer take effect, even if no
        response arrived. It must equal `LeasePolicy.order_timeout_ms` of the state
        package, by which a takeover of the lease is delayed if an upstream does not
        check fencing tokens.
    initial_retry_ms, max_retry_ms : int
        First and maximum delay before an order is retried; the delay doubles with each
        attempt.
    host_list_lag_ms : int
        Maximum time until the effect of an order appears in the host list.
    settled_retention_ms : int
        Time for which orders in a final state remain visible to operators.
    """

    order_timeout_ms: int = attrs.field(default=5_000, validator=in_range(1, 600_000))
    initial_retry_ms: int = attrs.field(default=1_000, validator=in_range(1, 600_000))
    max_retry_ms: int = attrs.field(default=30_000, validator=in_range(1, 3_600_000))
    host_list_lag_ms: int = attrs.field(
        default=60_000, validator=in_range(1, 3_600_000)
    )
    settled_retention_ms: int = attrs.field(
        default=600_000, validator=in_range(1, 86_400_000)
    )
