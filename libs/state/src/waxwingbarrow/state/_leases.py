"""Rules for taking and renewing leases, and their validity for holder and others."""

from collections.abc import Mapping

import attrs

from waxwingbarrow.core import Instant
from waxwingbarrow.state._records import Writer
from waxwingbarrow.state._state import Lease


@attrs.frozen
class LeasePolicy:
    """Durations that the lease rules use, in milliseconds.

    Parameters
    ----------
    duration_ms : int
        Validity of a new or renewed lease.
    max_clock_skew_ms : int
        Margin for monotonic clocks that run at different rates.
    order_timeout_ms : int
        Time after which an order sent to an upstream can no longer take effect.
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
class LeaseObservation:
    """When this host read the record with a lease's current fencing number."""

    fencing: int
    read_at: Instant


@attrs.frozen
class LeaseObservations:
    """When this host read the last record of each lease."""

    by_name: Mapping[str, LeaseObservation] = attrs.field(factory=dict)

    def observe(self, leases: Mapping[str, Lease], now: Instant) -> "LeaseObservations":
        """Return the read times for `leases`, keeping those of unchanged leases.

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
                known = LeaseObservation(lease.fencing, now)
            by_name[name] = known
        return LeaseObservations(by_name)


@attrs.frozen
class TakeLease:
    """Decision to append a lease record with `base_fencing` now."""

    base_fencing: int


@attrs.frozen
class WaitForLease:
    """Decision to wait, as another process may hold the lease until `until_mono_ms`."""

    until_mono_ms: int


@attrs.frozen
class KeepLease:
    """Decision to keep the lease and to renew it at `renew_at_mono_ms`."""

    renew_at_mono_ms: int


LeaseDecision = TakeLease | WaitForLease | KeepLease


def confirm_lease(lease: Lease, asked_at: Instant) -> OwnLease:
    """Return the lease as its holder may use it, after the fold accepted the record.

    Parameters
    ----------
    lease : Lease
        The lease in the control state.
    asked_at : Instant
        Time taken *before* the append. Other hosts count the duration from the time
        at which they read the record, so the lease always ends for the holder first.
    """
    return OwnLease(
        name=lease.name,
        fencing=lease.fencing,
        valid_until_mono_ms=asked_at.mono_ms + lease.duration_ms,
    )


def decide_lease(
    name: str,
    leases: Mapping[str, Lease],
    observations: LeaseObservations,
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
        Name of the lease.
    leases : Mapping
        Leases of the complete control state.
    observations : LeaseObservations
        Result of `LeaseObservations.observe` for the same leases.
    own : OwnLease or None
        Last confirmed validity of the lease for this process.
    writer : Writer
        This process.
    upstreams_check_fencing : bool
        Whether all upstreams that get orders under this lease refuse an old fencing
        number. If not, a new holder also waits until orders in flight have ended.
    policy : LeasePolicy
        Durations to apply.
    now : Instant
        Present time.

    Returns
    -------
    LeaseDecision
        Whether to take or renew the lease now, keep it, or wait.

    Notes
    -----
    The fold accepts a record only if the lease still has the fencing number that its
    writer saw, so a renewal that precedes a takeover in the log defeats it.
    """
    lease = leases.get(name)
    if lease is None:
        return TakeLease(base_fencing=0)
    if lease.released:
        return TakeLease(lease.fencing)
    if Writer(lease.holder, lease.incarnation) == writer:
        return _decide_renewal(lease, own, now)
    observation = observations.by_name.get(name)
    if observation is None or observation.fencing != lease.fencing:
        # Not observed yet: the wait starts now, which is never too early.
        observation = LeaseObservation(lease.fencing, now)
    wait_ms = lease.duration_ms + policy.max_clock_skew_ms
    if not upstreams_check_fencing:
        wait_ms += policy.order_timeout_ms
    until_mono_ms = observation.read_at.mono_ms + wait_ms
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
