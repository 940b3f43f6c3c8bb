"""Tracking of the orders that the capacity lease holder of a data centre sends."""

import attrs
from result import Err, Ok, Result

from waxwingbarrow.capacity._hosts import HostList, HostState, RunningHost
from waxwingbarrow.capacity._orders import (
    DrainHost,
    LeaseNotHeld,
    LoadVersion,
    Order,
    OrderContent,
    OrderDone,
    OrderEntry,
    OrderFailure,
    OrderNotSent,
    OrderPolicy,
    OrderRefused,
    OrderResult,
    OrderStale,
    OrderState,
    OrderUnsettled,
    ReturnHost,
    StartHost,
    TakeoverPending,
    TargetBusy,
)
from waxwingbarrow.core import DataCentre, HostId, Instant


@attrs.frozen
class _LeaseTerm:
    """Period in which this process holds the lease without interruption.

    Parameters
    ----------
    first_fencing : int
        Fencing number at the start of the period; part of the ids of its orders.
    fencing : int
        Current fencing number, higher after each renewal.
    valid_until_mono_ms : int
        End of the lease on this host's monotonic clock.
    began_at : Instant
        Start of the period.
    """

    first_fencing: int
    fencing: int
    valid_until_mono_ms: int
    began_at: Instant


class OrderTracker:
    """Orders that this process sends under the lease ``capacity/<data centre>``.

    An order whose outcome is unknown is retried with the same id until the outcome is
    known; until then no other order except `ReturnHost` is accepted for the same host.
    A new lease holder accepts no order as long as an order of the previous holder may
    still take effect or is not yet visible in the host list. Orders to an upstream that
    checks fencing numbers are accepted at once, because the first of them makes it
    refuse those of the previous holder.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of the lease.
    policy : OrderPolicy
        Timeouts and delays.

    Notes
    -----
    The orders are not persisted. After a restart the process needs a new lease record
    and therefore waits like any other new holder.
    """

    def __init__(self, data_centre: DataCentre, policy: OrderPolicy) -> None:
        self._data_centre = data_centre
        self._policy = policy
        self._lease_term: _LeaseTerm | None = None
        self._entries: dict[str, OrderEntry] = {}
        self._sequence = 0
        self._list_read_at: Instant | None = None

    @property
    def entries(self) -> tuple[OrderEntry, ...]:
        """Open orders and those that were settled recently, oldest first."""
        return tuple(self._entries.values())

    def note_lease(
        self, fencing: int, base_fencing: int, valid_until_mono_ms: int, now: Instant
    ) -> None:
        """Record that the control state accepted a lease record of this process.

        Parameters
        ----------
        fencing : int
            Fencing number of the record.
        base_fencing : int
            Fencing number that the record replaced. If it is this process's current
            number, no other process held the lease in between.
        valid_until_mono_ms : int
            End of the lease on this host's monotonic clock.
        now : Instant
            Current time.
        """
        lease_term = self._lease_term
        if lease_term is not None and fencing <= lease_term.fencing:
            return
        if lease_term is not None and base_fencing == lease_term.fencing:
            self._lease_term = attrs.evolve(
                lease_term, fencing=fencing, valid_until_mono_ms=valid_until_mono_ms
            )
            return
        self._lease_term = _LeaseTerm(fencing, fencing, valid_until_mono_ms, now)
        self._sequence = 0
        # Another holder may have sent orders since these were decided.
        for entry in list(self._entries.values()):
            if entry.is_open:
                self._settle(entry, OrderState.OBSOLETE, now)

    def note_lease_lost(self) -> None:
        """Record that another process holds the lease, or that it was released."""
        self._lease_term = None

    def holds_lease(self, now: Instant) -> bool:
        """Return whether this process holds the lease and so may send orders."""
        lease_term = self._lease_term
        return lease_term is not None and now.mono_ms < lease_term.valid_until_mono_ms

    def add(
        self, content: OrderContent, now: Instant
    ) -> Result[OrderEntry, OrderFailure]:
        """Add an order to be sent.

        Parameters
        ----------
        content : OrderContent
            What to do. If an open order has the same content, that order is returned,
            except that each `StartHost` is a new order.
        now : Instant
            Current time.

        Returns
        -------
        Result
            The entry, or `LeaseNotHeld`, `TakeoverPending` or `TargetBusy`. After a
            failure, the caller computes a new plan later, from newer data, instead of
            retrying the order.
        """
        lease_term = self._lease_term
        if lease_term is None or not self.holds_lease(now):
            return Err(LeaseNotHeld())
        if not self._is_takeover_complete(content, lease_term, now):
            return Err(TakeoverPending())
        if not isinstance(content, StartHost):
            for entry in list(self._entries.values()):
                if entry.target != content.host:
                    continue
                if entry.is_open and entry.content == content:
                    return Ok(entry)
                if isinstance(content, ReturnHost):
                    # Once the host is returned, no other order can affect it.
                    if entry.is_open:
                        self._settle(entry, OrderState.OBSOLETE, now)
                elif entry.is_open or entry.is_uncertain(now):
                    return Err(TargetBusy(content.host, entry.order_id))
        self._sequence += 1
        entry = OrderEntry(
            order_id=f"{self._data_centre}-{lease_term.first_fencing}-{self._sequence}",
            content=content,
            state=OrderState.WAITING,
            added_at=now,
            next_attempt_at=now,
        )
        self._entries[entry.order_id] = entry
        return Ok(entry)

    def cancel(self, order_id: str, now: Instant) -> bool:
        """Cancel an order that never reached its receiver.

        Returns whether the order was cancelled. One that may have reached its receiver
        is not, because it may have taken effect.
        """
        entry = self._entries.get(order_id)
        if entry is None or entry.state is not OrderState.WAITING:
            return False
        self._settle(entry, OrderState.OBSOLETE, now)
        return True

    def next_orders(self, now: Instant) -> tuple[Order, ...]:
        """Return the orders to send now, and mark them as in flight."""
        self._drop_settled(now)
        lease_term = self._lease_term
        if lease_term is None or not self.holds_lease(now):
            return ()
        orders = []
        for entry in list(self._entries.values()):
            if self._has_timed_out(entry, now):
                entry = self._mark_unsettled(entry, now)
            if entry.state not in (OrderState.WAITING, OrderState.UNSETTLED):
                continue
            if entry.next_attempt_at.mono_ms > now.mono_ms:
                continue
            entry = attrs.evolve(
                entry,
                state=OrderState.IN_FLIGHT,
                attempts=entry.attempts + 1,
                sent_at=now,
            )
            self._entries[entry.order_id] = entry
            orders.append(
                Order(
                    order_id=entry.order_id,
                    fencing=lease_term.fencing,
                    content=entry.content,
                    attempt=entry.attempts,
                    send_before_mono_ms=lease_term.valid_until_mono_ms,
                )
            )
        return tuple(orders)

    def note_result(
        self, order_id: str, result: OrderResult, now: Instant
    ) -> OrderEntry | None:
        """Record the result of an attempt; return the entry, or None if not found."""
        entry = self._entries.get(order_id)
        if entry is None or not entry.is_open:
            return entry
        match result:
            case OrderDone(host):
                answered = attrs.evolve(entry, sent_at=None, host=host)
                return self._settle(answered, OrderState.DONE, now)
            case OrderRefused() if entry.is_uncertain(now):
                # An earlier attempt may still take effect; only a refusal after that
                # time is final.
                return self._schedule_retry(entry, OrderState.UNSETTLED, now)
            case OrderRefused():
                answered = attrs.evolve(entry, sent_at=None)
                return self._settle(answered, OrderState.REFUSED, now)
            case OrderStale(known) if self._is_own_fencing(known):
                # A retry with the higher number of the renewed lease arrived before
                # this attempt.
                return self._mark_unsettled(entry, now)
            case OrderStale():
                self._lease_term = None
                return self._settle(entry, OrderState.OBSOLETE, now)
            case OrderNotSent():
                never_sent = entry.uncertain_until is None
                state = OrderState.WAITING if never_sent else OrderState.UNSETTLED
                return self._schedule_retry(entry, state, now)
            case OrderUnsettled():
                return self._mark_unsettled(entry, now)

    def note_host_list(self, host_list: HostList, now: Instant) -> None:
        """Process a new host list and settle the orders that it makes obsolete.

        An order to a host that is gone, or to an upstream that was restarted, is
        obsolete: a retry would act on a process for which it was not decided.
        """
        if host_list.read_at is None:
            return
        if self._list_read_at is not None and host_list.read_at < self._list_read_at:
            return
        self._list_read_at = host_list.read_at
        hosts = {host.host: host for host in host_list.hosts}
        for entry in list(self._entries.values()):
            if entry.target is None or not entry.is_open:
                continue
            if entry.added_at.mono_ms >= host_list.read_at.mono_ms:
                continue
            host = hosts.get(entry.target)
            if host is None:
                returned = isinstance(entry.content, ReturnHost) and entry.attempts > 0
                state = OrderState.DONE if returned else OrderState.OBSOLETE
                self._settle(entry, state, now)
            elif _targets_older_run(entry.content, host):
                self._settle(entry, OrderState.OBSOLETE, now)

    def apply_order_effects(self, host_list: HostList, now: Instant) -> HostList:
        """Return the host list with the effects of orders that it does not show yet.

        Without them, the next plan would start a second host while the first is still
        starting, or drain a second host instead of the first.
        """
        hosts = {host.host: host for host in host_list.hosts}
        for entry in self._entries.values():
            if isinstance(entry.content, StartHost):
                started = self._build_starting_host(entry, entry.content, now)
                if started is not None:
                    hosts.setdefault(started.host, started)
            elif entry.target in hosts and self._affects_host(entry):
                host = hosts[entry.target]
                hosts[host.host] = self._apply_to_host(entry, host, host_list)
        return attrs.evolve(host_list, hosts=tuple(hosts.values()))

    def _build_starting_host(
        self, entry: OrderEntry, content: StartHost, now: Instant
    ) -> RunningHost | None:
        if entry.settled_at is not None:
            visible_ms = entry.settled_at.mono_ms + self._policy.host_list_lag_ms
            if entry.state is not OrderState.DONE or now.mono_ms >= visible_ms:
                return None
        return RunningHost(
            host=entry.host or HostId(f"order {entry.order_id}"),
            offer=content.offer,
            service=content.service,
            version=content.version,
            state=HostState.STARTING,
        )

    def _affects_host(self, entry: OrderEntry) -> bool:
        return entry.is_open or entry.state is OrderState.DONE

    def _apply_to_host(
        self, entry: OrderEntry, host: RunningHost, host_list: HostList
    ) -> RunningHost:
        if _targets_older_run(entry.content, host):
            return host
        settled, read_at = entry.settled_at, host_list.read_at
        is_effect_listed = (
            settled is not None
            and read_at is not None
            and read_at.mono_ms > settled.mono_ms
        )
        match entry.content:
            case DrainHost():
                # The host may have accepted more requests after this count, until the
                # drain took effect.
                in_flight = host.in_flight if is_effect_listed else None
                return attrs.evolve(host, state=HostState.LEAVING, in_flight=in_flight)
            case ReturnHost():
                return attrs.evolve(host, state=HostState.LEAVING, in_flight=None)
            case LoadVersion(service=service, version=version) if not is_effect_listed:
                return attrs.evolve(
                    host, state=HostState.LOADING, service=service, version=version
                )
        return host

    def _is_takeover_complete(
        self, content: OrderContent, lease_term: _LeaseTerm, now: Instant
    ) -> bool:
        wait_ms = self._policy.order_timeout_ms
        match content:
            case DrainHost(checks_fencing=True) | LoadVersion(checks_fencing=True):
                return True
            case StartHost():
                # A host that the previous holder started may not be listed yet.
                wait_ms += self._policy.host_list_lag_ms
        settled_ms = lease_term.began_at.mono_ms + wait_ms
        read_at = self._list_read_at
        return read_at is not None and read_at.mono_ms >= settled_ms

    def _is_own_fencing(self, known: int | None) -> bool:
        lease_term = self._lease_term
        return (
            lease_term is not None and known is not None and known <= lease_term.fencing
        )

    def _has_timed_out(self, entry: OrderEntry, now: Instant) -> bool:
        if entry.state is not OrderState.IN_FLIGHT or entry.sent_at is None:
            return False
        return now.mono_ms >= entry.sent_at.mono_ms + self._policy.order_timeout_ms

    def _mark_unsettled(self, entry: OrderEntry, now: Instant) -> OrderEntry:
        """Record that the outcome of the last attempt is unknown."""
        return self._schedule_retry(
            self._note_uncertainty(entry), OrderState.UNSETTLED, now
        )

    def _schedule_retry(
        self, entry: OrderEntry, state: OrderState, now: Instant
    ) -> OrderEntry:
        pause_ms = min(
            self._policy.initial_retry_ms * 2 ** min(max(entry.attempts - 1, 0), 30),
            self._policy.max_retry_ms,
        )
        entry = attrs.evolve(entry, state=state, next_attempt_at=now.plus_ms(pause_ms))
        self._entries[entry.order_id] = entry
        return entry

    def _settle(self, entry: OrderEntry, state: OrderState, now: Instant) -> OrderEntry:
        if entry.state is OrderState.IN_FLIGHT:
            entry = self._note_uncertainty(entry)
        entry = attrs.evolve(entry, state=state, settled_at=now)
        self._entries[entry.order_id] = entry
        return entry

    def _note_uncertainty(self, entry: OrderEntry) -> OrderEntry:
        if entry.sent_at is None:
            return entry
        until = entry.sent_at.plus_ms(self._policy.order_timeout_ms)
        return attrs.evolve(entry, uncertain_until=until)

    def _drop_settled(self, now: Instant) -> None:
        """Delete settled orders whose effect the host list must show by now."""
        retention_ms = max(
            self._policy.settled_retention_ms, self._policy.host_list_lag_ms
        )
        for entry in list(self._entries.values()):
            settled = entry.settled_at
            if settled is not None and now.mono_ms >= settled.mono_ms + retention_ms:
                del self._entries[entry.order_id]


def _targets_older_run(content: OrderContent, host: RunningHost) -> bool:
    """Return whether the upstream was restarted since the order was decided."""
    match content:
        case DrainHost(incarnation=incarnation) | LoadVersion(incarnation=incarnation):
            return host.incarnation is not None and host.incarnation > incarnation
        case _:
            return False
