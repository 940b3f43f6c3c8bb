"""Orders to the cloud and to upstreams, and what became of them."""

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
    """Start a host at the cloud."""

    offer: HostOffer
    service: ServiceName
    version: VersionName


@attrs.frozen
class ReturnHost:
    """Return a drained host to the cloud."""

    host: HostId


@attrs.frozen
class DrainHost:
    """Stop accepting requests; the requests in flight end first.

    Parameters
    ----------
    incarnation : Incarnation
        Run of the upstream for which the order was decided.
    checks_fencing : bool
        Whether the upstream refuses an order with an old fencing number.
    """

    host: HostId
    incarnation: Incarnation
    checks_fencing: bool = False


@attrs.frozen
class LoadVersion:
    """Load a version's weights and serve it.

    Parameters
    ----------
    incarnation : Incarnation
        Run of the upstream for which the order was decided.
    checks_fencing : bool
        Whether the upstream refuses an order with an old fencing number.
    """

    host: HostId
    incarnation: Incarnation
    service: ServiceName
    version: VersionName
    checks_fencing: bool = False


OrderContent = StartHost | ReturnHost | DrainHost | LoadVersion


@attrs.frozen(kw_only=True)
class Order:
    """One order as it is sent.

    Parameters
    ----------
    order_id : str
        The same for every repetition; the receiver carries out one id once.
    fencing : int
        Present fencing number of the lease; a repetition may carry a higher one.
    attempt : int
        1 for the first time it is sent.
    send_before_mono_ms : int
        End of the lease on this host's monotonic clock. Whoever sends the order checks
        the time once more right before: a process that paused in between sends nothing.
    """

    order_id: str
    fencing: int
    content: OrderContent
    attempt: int
    send_before_mono_ms: int


@attrs.frozen
class OrderDone:
    """The order took effect, now or at an earlier attempt.

    Parameters
    ----------
    host : HostId or None
        The host that a `StartHost` order created.
    """

    host: HostId | None = None


@attrs.frozen
class OrderRefused:
    """The receiver refused the order; it had no effect."""

    reason: str = ""


@attrs.frozen
class OrderStale:
    """The receiver knows a higher fencing number; the order had no effect.

    Parameters
    ----------
    known_fencing : int or None
        The number that the receiver knows, if it says so.
    """

    known_fencing: int | None = None


@attrs.frozen
class OrderNotSent:
    """The order certainly did not reach the receiver."""


@attrs.frozen
class OrderUnsettled:
    """The order may have taken effect: no answer, or a broken one."""


OrderResult = OrderDone | OrderRefused | OrderStale | OrderNotSent | OrderUnsettled


class OrderState(enum.StrEnum):
    """Stage of an order."""

    WAITING = "waiting"
    IN_FLIGHT = "in flight"
    UNSETTLED = "unsettled"
    DONE = "done"
    REFUSED = "refused"
    OBSOLETE = "obsolete"


@attrs.frozen(kw_only=True)
class OrderEntry:
    """An order as the book keeps it.

    Parameters
    ----------
    state : OrderState
        Its stage.
    attempts : int
        How often it was sent.
    added_at : Instant
        When it was added.
    sent_at : Instant or None
        When it was last sent.
    next_attempt_at : Instant
        When it may be sent next.
    host : HostId or None
        The host that a `StartHost` order created, once known.
    settled_at : Instant or None
        When its outcome became known.
    uncertain_until : Instant or None
        Time until which an attempt without an answer may still take effect.
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
        """Whether the order may still take effect."""
        return self.state in (
            OrderState.WAITING,
            OrderState.IN_FLIGHT,
            OrderState.UNSETTLED,
        )

    def is_uncertain(self, now: Instant) -> bool:
        """Return whether an attempt without an answer may still take effect."""
        until = self.uncertain_until
        return until is not None and now.mono_ms < until.mono_ms

    @property
    def target(self) -> HostId | None:
        """The host that the order changes; None for one that is yet to be started."""
        match self.content:
            case StartHost():
                return None
            case ReturnHost(host=host) | DrainHost(host=host) | LoadVersion(host=host):
                return host


@attrs.frozen
class OrderFailure(Failure):
    """An order was not added; nothing was sent."""


@attrs.frozen
class LeaseNotHeld(OrderFailure):
    """The lease is not held by this process."""

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return "This host does not hold the capacity lease."


@attrs.frozen
class TakeoverPending(OrderFailure):
    """Orders of the previous holder may still take effect, or are not yet visible."""

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return "Orders of the previous lease holder may still take effect."


@attrs.frozen
class TargetBusy(OrderFailure):
    """Another order to the same host is open or may still arrive there."""

    host: HostId
    order_id: str

    @property
    def detail(self) -> str:
        """One sentence that tells a person what is wrong."""
        return f"Order {self.order_id} to host {self.host} is not settled."


@attrs.frozen(kw_only=True)
class OrderPolicy:
    """Constants of the order book.

    Parameters
    ----------
    order_timeout_ms : int
        Time after which an order that was sent has ended, answered or not. It must be
        the value that the lease rules use.
    initial_retry_ms, max_retry_ms : int
        First and longest pause before an order is repeated; each doubles the last.
    host_list_lag_ms : int
        Longest time until an effect appears in the host list.
    settled_retention_ms : int
        How long settled orders stay visible to operators.
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
