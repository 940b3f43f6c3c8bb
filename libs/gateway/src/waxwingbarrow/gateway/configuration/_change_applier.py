"""Applies changes of the store's topics to the components of a gateway."""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
from result import Err

from waxwingbarrow.core import Clock, DataCentre, HostId, Instant, UpstreamId
from waxwingbarrow.gateway.admission import Quotas
from waxwingbarrow.gateway.base import (
    Codec,
    EvacuationKey,
    KeyedPage,
    KeyedRecord,
    RolloutKey,
    Topic,
    number_in_era,
)
from waxwingbarrow.gateway.configuration._evacuation_orders import EvacuationOrders
from waxwingbarrow.gateway.configuration._held_records import HeldRecords
from waxwingbarrow.gateway.configuration._registrations import read_host
from waxwingbarrow.gateway.peers import Members
from waxwingbarrow.gateway.replication import Change, Replica, StoreHealth
from waxwingbarrow.gateway.requests import Planner, Rollouts, RouteTable
from waxwingbarrow.gateway.upstreams import Fleet

logger = logging.getLogger("waxwingbarrow.gateway.knowledge")

# An upstream whose registration lapsed in an outage of the store has this long after
# the outage to register again. A registration that lapses within this time after a
# failed call counts as lapsed in the outage.
REREGISTRATION_GRACE_MS = 2_000
# This host's copy of the upstreams is too old to rely on if the store has not confirmed
# it for this long.
UPSTREAMS_STALE_MS = 1_600


class ChangeApplier:
    """Applies changes of the store's topics to the components that depend on them.

    Parameters
    ----------
    count_hosts : callable
        Returns the number of hosts that share the accounts' limits.
    """

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        replicas: dict[str, Replica],
        store_health: StoreHealth,
        planner: Planner,
        fleet: Fleet,
        quotas: Quotas,
        rollouts: Rollouts,
        members: Members,
        count_hosts: Callable[[Instant], int],
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._replicas = replicas
        self._store_health = store_health
        self._planner = planner
        self._fleet = fleet
        self._quotas = quotas
        self._rollouts = rollouts
        self._members = members
        self._count_hosts = count_hosts
        self._evacuation_orders = EvacuationOrders(fleet, planner)
        self._held = HeldRecords()
        # Record of the configuration in force, with its version as offset.
        self._in_force: KeyedRecord | None = None

    def apply_listings(self, pages: dict[str, KeyedPage]) -> None:
        """Apply a peer's listings of those topics in which it is ahead."""
        for topic, page in pages.items():
            replica = self._replicas.get(topic)
            if replica is not None and (
                page.position > replica.position or not replica.is_loaded
            ):
                self._store_health.note_era(page.era)
                self.apply_change(topic, replica.apply_listing(page))

    def should_fetch(self, topic: str, now: Instant) -> bool:
        """Whether a topic is to be fetched from a peer that is ahead in it.

        The upstreams are fetched only if the store has not confirmed this host's copy
        for `UPSTREAMS_STALE_MS`. Any other topic is always fetched.
        """
        if topic != Topic.UPSTREAMS:
            return True
        confirmed_ms = self._replicas[topic].confirmed_ms
        return confirmed_ms is None or now.mono_ms - confirmed_ms > UPSTREAMS_STALE_MS

    def apply_change(self, topic: str, change: Change) -> None:
        """Apply a change of a topic to the components that depend on it.

        If the store came back from an older copy, what it lacks or may have from before
        is held; see `HeldRecords`.
        """
        now = self._clock.now()
        if change.is_restored:
            change = self._hold_outdated(topic, change, now)
        else:
            for key in (*(record.key for record in change.changed), *change.removed):
                self._held.release(topic, key)
        self._apply(topic, change, now)

    def _hold_outdated(self, topic: str, change: Change, now: Instant) -> Change:
        """Hold the records that may be outdated; return the rest of a change."""
        # A record that is held was never applied, so one that did not change since is
        # as outdated as before.
        held = self._held.list_held(topic)
        held.update(
            record.key
            for record in change.changed
            if self._may_be_outdated(topic, record.key)
        )
        if topic == Topic.UPSTREAMS:
            held.update(
                record.key
                for record in change.moved
                if self._may_be_outdated(topic, record.key)
            )
        kept_removals: tuple[str, ...] = ()
        if topic == Topic.UPSTREAMS:
            # Their registrations have lapsed, as in an outage of the store.
            kept_removals = change.removed
        else:
            held.update(change.removed)
        for key in held:
            self._held.hold(topic, key, now)
        if topic == Topic.STATUS:
            self._rollouts.forget_recorded()
        logger.warning(
            "records of a restored store compared with the known ones",
            extra={
                "topic": topic,
                "changed": len(change.changed),
                "removed": len(change.removed),
                "held": len(held),
            },
        )
        applied = [
            record
            for record in (*change.changed, *change.moved)
            if record.key not in held
        ]
        return Change(tuple(applied), kept_removals, True)

    def _may_be_outdated(self, topic: str, key: str) -> bool:
        """Whether a record of a restored store may be older than what is known.

        Configurations and the registrations of known upstreams tell their own order.
        """
        match topic:
            case Topic.OPERATOR:
                return self._codec.read_operator_key(key) is not None
            case Topic.UPSTREAMS:
                return UpstreamId(key) not in self._fleet.upstreams
            case _:
                return False

    def settle_held(self, now: Instant) -> None:
        """Apply the held records that were not written again; called each tick."""
        for topic, key in self._held.take_due(now):
            record = self._replicas[topic].records.get(key)
            logger.warning(
                "record not written again after the store was restored",
                extra={"topic": topic, "key": key, "is_missing": record is None},
            )
            if topic == Topic.UPSTREAMS:
                # A running upstream would have written again.
                continue
            changed = () if record is None else (record,)
            removed = (key,) if record is None else ()
            self._apply(topic, Change(changed, removed), now)

    def _apply(self, topic: str, change: Change, now: Instant) -> None:
        match topic:
            case Topic.OPERATOR:
                self._apply_operator_change(change, now)
                self._share_in_force()
            case Topic.CONFIGURATION:
                for record in change.changed:
                    self._apply_configuration(record, now)
            case Topic.UPSTREAMS:
                self._apply_upstream_change(change, now)
            case Topic.STATUS:
                self._apply_status_change(change)
            case Topic.HOSTS:
                self._apply_host_change(change, now)

    def _apply_operator_change(self, change: Change, now: Instant) -> None:
        for record in change.changed:
            with self._log_failure(record.key):
                match self._codec.read_operator_key(record.key):
                    case RolloutKey():
                        self._apply_rollout(record, now)
                    case EvacuationKey(data_centre):
                        self._evacuation_orders.apply(data_centre, record.offset, now)
                    case None:
                        self._apply_configuration(record, now)
        for key in change.removed:
            with self._log_failure(key):
                match self._codec.read_operator_key(key):
                    case EvacuationKey(data_centre):
                        self._evacuation_orders.revoke(data_centre, now)
                    case _:
                        pass

    def _share_in_force(self) -> None:
        """Let other hosts fetch the configuration in force.

        A host that starts after the store came back from an older copy may find an
        earlier version there. Without eras the store's topic always has the newest one.
        """
        era = self._replicas[Topic.OPERATOR].position.era
        shared = self._replicas.get(Topic.CONFIGURATION)
        if era and shared is not None and self._in_force is not None:
            page = KeyedPage((self._in_force,), self._in_force.offset, era)
            shared.apply_listing(page)

    def _apply_rollout(self, record: KeyedRecord, now: Instant) -> None:
        era = self._replicas[Topic.OPERATOR].position.era
        order = self._codec.read_rollout(
            record.value, number_in_era(era, record.offset)
        )
        if isinstance(order, Err):
            self._log_unreadable(record.key, order.err_value.reason)
        else:
            self._rollouts.apply_order(order.ok_value, now)

    def _apply_configuration(self, record: KeyedRecord, now: Instant) -> None:
        read = self._codec.read_configuration(record.value)
        if isinstance(read, Err):
            self._log_unreadable(record.key, read.err_value.reason)
            return
        configuration = read.ok_value
        table = self._planner.table
        if table and table.configuration.version >= configuration.version:
            return
        self._planner.table = RouteTable(configuration)
        self._in_force = attrs.evolve(record, offset=configuration.version)
        self._fleet.notices.cold.set_services(configuration.services)
        hosts = self._count_hosts(now)
        self._quotas.set_accounts(configuration.accounts, hosts, now)
        self._quotas.update_shares(hosts, now)
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "offset": record.offset,
                "routes": len(configuration.routes),
                "accounts": len(configuration.accounts),
            },
        )

    def _apply_upstream_change(self, change: Change, now: Instant) -> None:
        for record in change.changed:
            with self._log_failure(record.key):
                self._apply_upstream(record, now)
        for key in change.removed:
            self._handle_lapse(UpstreamId(key), change.is_restored, now)

    def _apply_upstream(self, record: KeyedRecord, now: Instant) -> None:
        read = self._codec.read_upstream(record.key, record.value)
        if isinstance(read, Err):
            self._log_unreadable(record.key, read.err_value.reason)
            self._fleet.remove(UpstreamId(record.key), now)
        else:
            self._fleet.put(read.ok_value, now)

    def _handle_lapse(
        self, upstream_id: UpstreamId, is_restored: bool, now: Instant
    ) -> None:
        """Remove an upstream whose registration lapsed.

        If it may have lapsed because of an outage of the store, or is missing from its
        older copy, the upstream is only marked, and can register again until
        `remove_lapsed` removes it.
        """
        last_failed_at = self._store_health.failed_at
        upstream = self._fleet.upstreams.get(upstream_id)
        if upstream is None:
            return
        if not is_restored and (
            last_failed_at is None
            or now.mono_ms - last_failed_at.mono_ms >= REREGISTRATION_GRACE_MS
        ):
            # No call has failed recently, so the upstream itself has ended.
            self._fleet.remove(upstream_id, now)
            return
        upstream.has_lapsed = True
        logger.info(
            "registration lapsed while the store was away",
            extra={"upstream": upstream_id},
        )

    def remove_lapsed(self, now: Instant) -> None:
        """Remove upstreams that did not register again after the store's return."""
        last_recovered_at = self._store_health.recovered_at
        if self._store_health.is_unreachable or last_recovered_at is None:
            return
        if now.mono_ms - last_recovered_at.mono_ms >= REREGISTRATION_GRACE_MS:
            for upstream_id in self._fleet.list_lapsed():
                self._fleet.remove(upstream_id, now)

    def _apply_status_change(self, change: Change) -> None:
        for record in change.changed:
            with self._log_failure(record.key):
                self._apply_status(record, change.is_restored)

    def _apply_status(self, record: KeyedRecord, is_restored: bool) -> None:
        status = self._codec.read_status(record.value)
        if isinstance(status, Err):
            self._log_unreadable(record.key, status.err_value.reason)
        else:
            self._rollouts.apply_status(status.ok_value, is_restored)

    def _apply_host_change(self, change: Change, now: Instant) -> None:
        for record in change.changed:
            with self._log_failure(record.key):
                self._apply_host(record, now)
        for key in change.removed:
            self._members.forget_absent(HostId(key), now)

    def _apply_host(self, record: KeyedRecord, now: Instant) -> None:
        read = read_host(record.value)
        if isinstance(read, Err):
            self._log_unreadable(record.key, read.err_value.reason)
            return
        host = read.ok_value
        self._members.add_registered(
            HostId(record.key),
            (host.ip, host.port),
            DataCentre(host.data_centre),
            host.started_ms,
            host.relay_mbps,
            now,
        )

    @contextmanager
    def _log_failure(self, key: str) -> Iterator[None]:
        """Go on with the other records of a change if one cannot be applied.

        The replica has the change already, so it would not be applied later.
        """
        try:
            yield
        except Exception:
            logger.exception("record not applied", extra={"key": key})

    def _log_unreadable(self, key: str, reason: str) -> None:
        logger.warning("unreadable record", extra={"key": key, "reason": reason})

    def measure_upstreams_age_ms(self, now: Instant) -> int | None:
        """Return the time since the store last confirmed the upstreams, if it has."""
        confirmed_ms = self._replicas[Topic.UPSTREAMS].confirmed_ms
        return None if confirmed_ms is None else now.mono_ms - confirmed_ms
