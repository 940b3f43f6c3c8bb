"""Validity of leases as seen by their holder and by other hosts."""

from collections.abc import Mapping

import attrs

from waxwingbarrow.core import Instant
from waxwingbarrow.state._records import Writer
from waxwingbarrow.state._state import Lease


@attrs.frozen
class LeasePolicy:
    """Times that the lease rules use, in milliseconds.

    Parameters
    ----------
    duration_ms : int
        Validity of a new or renewed lease.
    max_clock_skew_ms : int
        Allowance for clocks that run at different rates.
    order_timeout_ms : int
        Time after which an order to an upstream has ended.
    """

    duration_ms: int = 10_000
    max_clock_skew_ms: int = 2_000
    order_timeout_ms: int = 5_000


@attrs.frozen
class OwnLease:
    """A lease that this process holds.

    Parameters
    ----------
    name : str
        Name of the lease.
    fencing : int
        Fencing number to send with orders.
    valid_until_mono_ms : int
        End of the validity on this host's monotonic clock.
    """

    name: str
    fencing: int
    valid_until_mono_ms: int

    def is_valid(self, now: Instant) -> bool:
        """Return whether this process may still act under the lease."""
        return now.mono_ms < self.valid_until_mono_ms


@attrs.frozen
class LeaseReading:
    """When this host read the record with a lease's present fencing number."""

    fencing: int
    read_at: Instant


@attrs.frozen
class LeaseReadings:
    """When this host read the last record of each lease."""

    by_name: Mapping[str, LeaseReading] = attrs.field(factory=dict)

    def observe(self, leases: Mapping[str, Lease], now: Instant) -> "LeaseReadings":
        """Return the readings after the fold has produced `leases`.

        Parameters
        ----------
        leases : Mapping
            Leases of the control state.
        now : Instant
            Present time, taken after the entries were read.
        """
        by_name = {}
        for name, lease in leases.items():
            known = self.by_name.get(name)
            if known is None or known.fencing != lease.fencing:
                known = LeaseReading(lease.fencing, now)
            by_name[name] = known
        return LeaseReadings(by_name)


@attrs.frozen
class TakeLease:
    """A lease record with this `base_fencing` may be appended now."""

    base_fencing: int


@attrs.frozen
class WaitForLease:
    """The lease may still be held; ask again at `until_mono_ms`."""

    until_mono_ms: int


@attrs.frozen
class KeepLease:
    """The process holds the lease; it renews it at `renew_at_mono_ms`."""

    renew_at_mono_ms: int


LeaseDecision = TakeLease | WaitForLease | KeepLease


def confirm_lease(lease: Lease, asked_at: Instant) -> OwnLease:
    """Return the holder's view of a lease record that the fold has accepted.

    Parameters
    ----------
    lease : Lease
        The lease as the fold holds it.
    asked_at : Instant
        Time taken *before* the append. Other hosts count from after they read the
        record, so the holder's view always ends first.
    """
    return OwnLease(
        name=lease.name,
        fencing=lease.fencing,
        valid_until_mono_ms=asked_at.mono_ms + lease.duration_ms,
    )


def decide_lease(
    name: str,
    leases: Mapping[str, Lease],
    readings: LeaseReadings,
    own: OwnLease | None,
    writer: Writer,
    upstreams_check_fencing: bool,
    policy: LeasePolicy,
    now: Instant,
) -> LeaseDecision:
    """Decide whether this process may append a lease record.

    Parameters
    ----------
    name : str
        Name of the wanted lease.
    leases : Mapping
        Leases of the complete control state.
    readings : LeaseReadings
        Result of `LeaseReadings.observe` for the same leases.
    own : OwnLease or None
        The lease as this process holds it.
    writer : Writer
        This process.
    upstreams_check_fencing : bool
        Whether all upstreams concerned refuse orders with an old fencing number.
    policy : LeasePolicy
        Times to use.
    now : Instant
        Present time.

    Returns
    -------
    LeaseDecision
        Take or renew it now, keep it, or wait.

    Notes
    -----
    The fold accepts a record only on top of the fencing number that its writer saw, so
    a renewal that arrives in the meantime defeats the takeover.
    """
    lease = leases.get(name)
    if lease is None:
        return TakeLease(base_fencing=0)
    if lease.released:
        return TakeLease(lease.fencing)
    if Writer(lease.holder, lease.incarnation) == writer:
        return _decide_renewal(lease, own, now)
    reading = readings.by_name.get(name)
    if reading is None or reading.fencing != lease.fencing:
        # The record was read at the earliest now.
        reading = LeaseReading(lease.fencing, now)
    wait_ms = lease.duration_ms + policy.max_clock_skew_ms
    if not upstreams_check_fencing:
        wait_ms += policy.order_timeout_ms
    until_mono_ms = reading.read_at.mono_ms + wait_ms
    if now.mono_ms < until_mono_ms:
        return WaitForLease(until_mono_ms)
    return TakeLease(lease.fencing)


def _decide_renewal(lease: Lease, own: OwnLease | None, now: Instant) -> LeaseDecision:
    if own is None or own.fencing != lease.fencing:
        return TakeLease(lease.fencing)
    renew_at_mono_ms = own.valid_until_mono_ms - lease.duration_ms // 2
    if now.mono_ms >= renew_at_mono_ms:
        return TakeLease(lease.fencing)
    return KeepLease(renew_at_mono_ms)
