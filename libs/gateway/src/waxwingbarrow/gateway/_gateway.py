"""The gateway process of an entry host: its components, background tasks and shutdown.

An entry host is a machine that accepts callers' requests and forwards them to
upstreams.
"""

import asyncio
import functools
import hashlib
import logging
import random
import resource
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
from result import Err

from waxwingbarrow.capacity import ScalingPolicy
from waxwingbarrow.core import DataCentre, HostId, Instant
from waxwingbarrow.gateway.admission import (
    AttemptReporter,
    ColdHosts,
    Permits,
    PlacementAdviser,
    QuotaAdmission,
    QuotaKeeper,
    Quotas,
    ServiceAdmissions,
)
from waxwingbarrow.gateway.base import (
    BootClock,
    BoundedHandler,
    CallerLimits,
    Cloud,
    Codec,
    GatewaySettings,
    Metrics,
    Service,
    Store,
    Supervisor,
    TaskStart,
    Topic,
    compute_size_limits,
    read_settings,
    split_address,
)
from waxwingbarrow.gateway.callers import CallerMemory, CallerServer
from waxwingbarrow.gateway.configuration import ChangeApplier, Registrations
from waxwingbarrow.gateway.duties import (
    MEMBER_TTL_MS,
    DutyRunner,
    DutyTask,
    Lease,
    LeasedCloud,
    RolloutTask,
    ScalingTask,
    UsageTask,
)
from waxwingbarrow.gateway.peers import (
    InternalEndpoints,
    Member,
    Members,
    PeerProtocol,
    PeerSync,
    compute_relay_mbps,
)
from waxwingbarrow.gateway.replication import (
    Follower,
    Replica,
    ReplicaFetcher,
    StoreHealth,
)
from waxwingbarrow.gateway.requests import (
    CapacityGate,
    Dispatcher,
    Planner,
    RetryBudgets,
    Rollouts,
    StreamMover,
    UsageCounter,
    WorkMeter,
)
from waxwingbarrow.gateway.upstreams import CrashRecorder, CrashTracker, Fleet
from waxwingbarrow.rollout import CanaryPolicy
from waxwingbarrow.routing import PlacementPolicy

logger = logging.getLogger("waxwingbarrow.gateway")

TICK_INTERVAL_S = 0.25
# Fraction of `quota_slack` that the hosts use. The rest covers the delay with which
# they learn what the others admitted.
QUOTA_SLACK_SHARE = 0.6
# The load balancer removes a host after two failed probes one second apart; until then
# callers still open connections.
LISTEN_AFTER_STOP_S = 2.5
# Requests that are accepted by their deadline during a planned stop end at least this
# long before the process exits, so that their callers get an answer.
ANSWER_MARGIN_MS = 200
# The process exits this long before the end of `grace_s`, when it would be killed.
STOP_MARGIN_S = 0.6
RETRY_INTERVAL_S = 0.5
SETTINGS_CHECK_INTERVAL_S = 2.0


class Gateway:
    """Builds the components of the gateway and runs them until a stop signal.

    Parameters
    ----------
    settings_path : Path
        File of the settings, read again on SIGHUP and when its content changes. The log
        level, the seeds and `grace_s` then take effect; the rest needs a restart.
    codec, store, cloud : Codec, Store, Cloud or None
        Access to the platform; without a cloud, usage is not reported and no workers
        are ordered.
    log_handler : BoundedHandler or None
        Handler whose queued lines are written at each tick.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        settings_path: Path,
        codec: Codec,
        store: Store,
        cloud: Cloud | None,
        clock: BootClock,
        metrics: Metrics,
        log_handler: BoundedHandler | None = None,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._codec = codec
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._log_handler = log_handler
        self._rng = random.Random(f"{settings.host_id}/{clock.now().wall_ms}")
        self._started_at = clock.now()
        self._stopping: asyncio.Event = asyncio.Event()
        self._supervisor = Supervisor(metrics.unexpected_failures)
        self._settings_digest = b""
        host = HostId(settings.host_id)
        data_centre = DataCentre(settings.data_centre)
        bounds = settings.bounds
        size = settings.size
        self._relay_mbps = compute_relay_mbps(
            size.link_mbps, size.core_share * size.core_speed
        )
        self._replicas = {
            topic: Replica()
            for topic in (
                Topic.OPERATOR,
                Topic.UPSTREAMS,
                Topic.STATUS,
                Topic.HOSTS,
                Topic.CONFIGURATION,
            )
        }
        self._members = Members(host)
        self._fleet = Fleet(bounds.drain_ms, bounds.evacuation_ms)
        self._fleet.estimates.is_enabled = settings.engine_estimates
        self._fleet.notices.cold.start_host(
            self._started_at,
            settings.is_first_start,
            lambda: self._members.count_known() > 1,
        )
        self._quotas = Quotas(
            bounds.quota_slack * QUOTA_SLACK_SHARE,
            self._started_at.wall_ms,
            settings.is_first_start,
        )
        self._usage = UsageCounter(bounds.usage_window_s)
        self._rollouts = Rollouts(
            CanaryPolicy(
                max_exposure_share=bounds.max_exposure_share,
                exposure_slack=bounds.exposure_slack,
            )
        )
        self._crash_tracker = CrashTracker()
        self._crash_recorder = CrashRecorder(store, self._crash_tracker, clock)
        self._retry_budgets = RetryBudgets(bounds)
        self._work_meter = WorkMeter()
        self._store_health = StoreHealth(clock)
        self._keeper = QuotaKeeper(self._quotas)
        self._quota_admission = QuotaAdmission(
            self._quotas,
            self._keeper,
            clock,
            lambda now: self._peer_protocol.list_keepers(now),
            lambda request, address: self._peer_protocol.send_message(request, address),
            lambda query, key, now: self._placement_adviser.advise(query, key, now),
        )
        self._permits = Permits(
            self._fleet.notices,
            clock,
            lambda now: self._peer_protocol.list_permit_keepers(now),
            lambda request, address: self._peer_protocol.send_message(request, address),
            lambda now: self._peer_protocol.measure_permit_share(now),
            lambda now: self._peer_protocol.count_hosts(now),
            ColdHosts(
                bounds,
                self._list_cold_keepers,
                self._count_possible_hosts,
                metrics.count_cold_permit,
            ),
        )
        policy = PlacementPolicy(data_centre=data_centre)
        # What this host decides as the keeper, for all hosts, and alone, for itself.
        keeper_admissions: ServiceAdmissions | None = None
        capacity_gate: CapacityGate | None = None
        if settings.admission.by_urgency:
            keeper_admissions = ServiceAdmissions(settings.admission, self._rng)
            capacity_gate = CapacityGate(
                ServiceAdmissions(settings.admission, self._rng),
                self._quota_admission,
                self._work_meter,
                metrics,
                clock,
                lambda now: self._peer_protocol.count_hosts(now),
                policy,
                self._fleet.estimates.find_planned_speed,
            )
        self._placement_adviser = PlacementAdviser(
            self._fleet,
            policy,
            self._rng,
            lambda service: self._planner.find_engine(service),
            self._permits.keeper,
            keeper_admissions,
        )
        self._planner = Planner(
            codec,
            self._fleet,
            self._quotas,
            self._quota_admission,
            self._rollouts,
            self._crash_tracker,
            self._work_meter,
            policy,
            self._rng,
            lambda now: self._change_applier.measure_upstreams_age_ms(now),
            self._permits,
            capacity_gate,
        )
        self._change_applier = ChangeApplier(
            codec,
            clock,
            self._replicas,
            self._store_health,
            self._planner,
            self._fleet,
            self._quotas,
            self._rollouts,
            self._members,
            lambda now: self._peer_protocol.count_hosts(now),
        )
        self._dispatcher = Dispatcher(
            self._planner,
            codec,
            clock,
            self._fleet,
            self._quota_admission,
            self._rollouts,
            self._usage,
            self._crash_tracker,
            metrics,
            self._retry_budgets,
            AttemptReporter(
                self._placement_adviser,
                lambda now: self._peer_protocol.list_keepers(now),
                lambda report, address: self._peer_protocol.send_message(
                    report, address
                ),
                self._fleet.estimates,
            ),
            settings.hedging,
        )
        self._mover = StreamMover(
            self._planner, self._fleet, codec, clock, self._retry_budgets
        )
        max_open_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = compute_size_limits(size, max_open_files)
        self._fleet.limit_body_memory(limits.upstream_body_bytes)
        self._callers = CallerServer(
            self._dispatcher.handle,
            self._find_limits,
            clock.now_ms,
            CallerMemory(limits.caller_memory_bytes),
            limits.caller_connections,
            functools.partial(metrics.count_caller_limit, "callers"),
        )
        internal_endpoints = InternalEndpoints(
            self._is_ready, metrics.registry, self._replicas
        )
        internal_memory = CallerMemory(limits.internal_memory_bytes)
        self._internal_servers = [
            (
                CallerServer(
                    internal_endpoints.handle,
                    CallerLimits,
                    clock.now_ms,
                    internal_memory,
                    limits.internal_connections,
                    functools.partial(metrics.count_caller_limit, "internal"),
                ),
                address,
            )
            for address in self._list_internal_addresses()
        ]
        self._peer_sync = PeerSync(
            host,
            data_centre,
            self._started_at.wall_ms,
            self._members,
            self._fleet,
            self._quotas,
            self._usage,
            self._rollouts,
            self._crash_tracker,
            self._work_meter,
            self._replicas,
            self._relay_mbps,
        )
        own = Member(
            host,
            (settings.ip, settings.peer_port),
            data_centre,
            self._started_at.wall_ms,
            None,
            self._started_at.mono_ms,
            self._relay_mbps,
        )
        self._fetcher = ReplicaFetcher(
            self._replicas,
            clock,
            self._change_applier.apply_listings,
            self._change_applier.should_fetch,
        )
        self._peer_protocol = PeerProtocol(
            own,
            self._peer_sync,
            self._members,
            self._fleet,
            self._fetcher,
            self._quota_admission,
            self._permits,
            split_address(settings.control_address)[1],
            clock,
            self._rng,
            lambda delay_s, call: asyncio.get_running_loop().call_later(delay_s, call),
            self._placement_adviser.note_attempt,
            self._supervisor,
        )
        self._follower = Follower(
            store,
            self._replicas,
            self._store_health,
            clock,
            self._change_applier.apply_change,
            self._reads_upstreams,
            lambda: self._peer_protocol.find_operator_wait_ms(clock.now()),
        )
        self._registrations = Registrations(
            own,
            store,
            self._replicas[Topic.HOSTS],
            self._members,
            self._peer_protocol.list_removable,
            self._follower.follow_hosts,
            clock,
        )
        ttl_ms = max(MEMBER_TTL_MS, settings.store.min_ttl_ms)
        lease = self._lease = Lease(bounds.lease_ms, ttl_ms)
        tasks: list[DutyTask] = [
            RolloutTask(
                self._rollouts,
                store,
                codec,
                lease,
                lambda: self._follower.read(Topic.STATUS, 0),
                lambda service, version: len(self._fleet.list_usable(service, version)),
            )
        ]
        if cloud is not None:
            cloud = LeasedCloud(cloud, lease, clock)
        cloud_duties = settings.cloud.duties if settings.cloud is not None else ()
        if cloud is not None and "usage" in cloud_duties:
            tasks.append(
                UsageTask(
                    self._usage,
                    store,
                    cloud,
                    lease,
                    self._started_at,
                    bounds.usage_late_s,
                    lambda now: self._peer_protocol.find_counts_delay_ms(now),
                )
            )
        self._scaling: ScalingTask | None = None
        if cloud is not None and "scale" in cloud_duties:
            self._scaling = ScalingTask(
                self._fleet,
                self._work_meter,
                cloud,
                lease,
                self._list_services,
                ScalingPolicy(),
                lambda now: self._peer_protocol.is_full_mesh(now),
                lambda now: self._peer_protocol.measure_coverage(now),
                self._rollouts.is_running,
                self._rollouts.find_stopping_versions,
            )
            tasks.append(self._scaling)
        # A restarted process joins as another member, so it never uses the fencing
        # token of the previous process.
        member = f"{host}/{self._started_at.wall_ms}"
        self._duty_runner = DutyRunner(
            member,
            store,
            lease,
            tasks,
            clock,
            self._is_candidate,
            self._apply_token,
            self._supervisor,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then let running requests finish."""
        self._watch_signals()
        await self._listen()
        self._start_background_tasks()
        logger.info(
            "gateway started",
            extra={
                "data_centre": self._settings.data_centre,
                "caller_address": self._settings.caller_address,
                "started_ms": self._started_at.wall_ms,
            },
        )
        await self._stopping.wait()
        await self._drain()
        await self._close()

    # Startup

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        loop.set_exception_handler(self._supervisor.handle_loop_failure)

    def _list_internal_addresses(self) -> list[tuple[str, int]]:
        settings = self._settings
        addresses = [
            split_address(settings.ready_address),
            split_address(settings.control_address),
        ]
        if settings.metrics_port:
            addresses.append((settings.ip, settings.metrics_port))
        return addresses

    async def _listen(self) -> None:
        """Listen on all addresses, and wait for those that are still in use.

        The process before may hold a port for a moment after it was replaced.
        """
        starts: list[Callable[[], Awaitable[object]]] = [
            functools.partial(server.start, *address)
            for server, address in self._internal_servers
        ]
        caller_address = split_address(self._settings.caller_address)
        starts.append(functools.partial(self._callers.start, *caller_address))
        loop = asyncio.get_running_loop()
        peer_address = (self._settings.ip, self._settings.peer_port)
        starts.append(
            lambda: loop.create_datagram_endpoint(
                lambda: self._peer_protocol, peer_address
            )
        )
        for start in starts:
            while not self._stopping.is_set():
                try:
                    await start()
                    break
                except OSError as error:
                    logger.warning("address not free", extra={"error": repr(error)})
                    await asyncio.sleep(RETRY_INTERVAL_S)

    def _start_background_tasks(self) -> None:
        tasks: dict[str, TaskStart] = {
            "hosts": self._registrations.register,
            "registrations": self._registrations.maintain,
            "operator": self._follower.follow_operator,
            "upstreams": self._follower.follow_upstreams,
            "status": self._follow_status,
            "crashes": self._crash_recorder.run,
            "heartbeats": self._peer_protocol.send_heartbeats,
            "ticks": self._tick_loop,
            "seeds": self._fetch_from_seeds,
            "duties": self._duty_runner.run,
            "timeouts": self._callers.enforce_timeouts,
            "internal timeouts": self._enforce_internal_timeouts,
            "settings": self._watch_settings_file,
            "restores": self._follow_restores,
        }
        for name, start in tasks.items():
            self._supervisor.spawn(name, start)

    # Background tasks

    async def _enforce_internal_timeouts(self) -> None:
        await asyncio.gather(
            *(server.enforce_timeouts() for server, _ in self._internal_servers)
        )

    async def _follow_status(self) -> None:
        """Read the states of rollouts until the store has answered once.

        Later changes come in messages from the holder of the duties.
        """
        while not await self._follower.read(Topic.STATUS, 0):
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _follow_restores(self) -> None:
        """Write again what a store that came back from an older copy may lack."""
        era = 0
        while True:
            era = await self._store_health.wait_until_restored(era)
            while not (
                await self._follower.read(Topic.HOSTS, 0)
                and await self._registrations.check(self._clock.now())
                and await self._crash_recorder.record_again()
            ):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _tick_loop(self) -> None:
        while True:
            self._tick(self._clock.now())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self, now: Instant) -> None:
        steps: dict[str, Callable[[Instant], None]] = {
            "shares": self._update_shares,
            "rollouts": self._rollouts.decide,
            "lapsed upstreams": self._change_applier.remove_lapsed,
            "held records": self._change_applier.settle_held,
            "eligibility": self._update_eligibility,
            "moves": self._mover.start_moves,
            "scaling": self._note_workers,
            "estimates": self._note_speeds,
            "evacuations": self._update_evacuations,
            "idle connections": lambda now: self._fleet.close_expired(
                now.mono_ms / 1000
            ),
            "logs": self._flush_logs,
        }
        for name, step in steps.items():
            with self._supervisor.contain(name):
                step(now)

    def _update_shares(self, now: Instant) -> None:
        hosts = self._peer_protocol.count_hosts(now)
        self._quotas.update_shares(hosts, now)
        self._retry_budgets.set_host_count(hosts)

    def _update_eligibility(self, now: Instant) -> None:
        self._peer_sync.can_hold_duties = not (
            self._stopping.is_set() or self._store_health.is_unreachable
        )

    def _note_workers(self, now: Instant) -> None:
        if self._scaling is not None:
            self._scaling.note_initial_workers(now)

    def _note_speeds(self, now: Instant) -> None:
        estimates = self._fleet.estimates
        if not estimates.is_enabled:
            return
        for service in self._list_services():
            if service.engine is not None:
                speed = estimates.find_planned_speed(service.name, now)
                first_events = estimates.count_first_events(service.name)
                self._metrics.engine_speeds.set(
                    service.name, attrs.asdict(speed), first_events
                )

    def _update_evacuations(self, now: Instant) -> None:
        evacuations = self._fleet.evacuations
        if self._store_health.is_unreachable:
            evacuations.note_out_of_contact(now)
        self._fleet.notices.return_limits.remove_expired(now)
        self._metrics.evacuated_data_centres.set(evacuations.count)

    def _flush_logs(self, now: Instant) -> None:
        if self._log_handler is not None:
            self._log_handler.flush_lines()

    async def _fetch_from_seeds(self) -> None:
        """Fetch the configuration from other hosts while the store is unreachable."""
        position = 0
        while self._planner.table is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
            if self._store_health.is_unreachable and self._planner.table is None:
                addresses = [split_address(seed) for seed in self._settings.seeds]
                own = split_address(self._settings.control_address)
                others = [address for address in addresses if address != own]
                if others:
                    self._fetcher.fetch(others[position % len(others)])
                    position += 1

    async def _watch_settings_file(self) -> None:
        self._settings_digest = self._hash_settings()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._hash_settings() != self._settings_digest:
                self._reload("file changed")

    def _hash_settings(self) -> bytes:
        try:
            return hashlib.sha256(self._settings_path.read_bytes()).digest()
        except OSError as error:
            logger.warning("settings file not readable", extra={"error": repr(error)})
            return self._settings_digest

    def _reload(self, cause: str) -> None:
        self._settings_digest = self._hash_settings()
        read = read_settings(self._settings_path)
        if isinstance(read, Err):
            logger.error(
                "settings not reloaded",
                extra={"cause": cause, "reason": read.err_value.detail},
            )
            return
        self._settings = read.ok_value
        logging.getLogger("waxwingbarrow").setLevel(self._settings.log_level.upper())
        logger.info("settings reloaded", extra={"cause": cause})

    # Callbacks of other components

    def _reads_upstreams(self) -> bool:
        return self._peer_protocol.needs_registrations(self._clock.now())

    def _is_candidate(self) -> bool:
        return self._peer_protocol.is_candidate(self._clock.now())

    def _apply_token(self, token: int) -> None:
        """Set the fencing token of the duties; 0 while this host does not hold them."""
        self._peer_sync.held_fencing_token = token
        self._fleet.estimates.set_keeper(token)
        if not token:
            self._keeper.reset()
            self._placement_adviser.reset()
            self._permits.keeper.reset_cold()

    def _list_cold_keepers(self, now: Instant) -> list[str]:
        keepers = self._peer_protocol.list_cold_keepers(now)
        # After a freeze this host may still have the token of an ended lease.
        if keepers == [""] and self._lease.find_token(now) is None:
            return []
        return keepers

    def _count_possible_hosts(self, now: Instant) -> int | None:
        if not self._replicas[Topic.HOSTS].is_loaded:
            return None
        return self._peer_protocol.count_possible_hosts(now)

    def _list_services(self) -> list[Service]:
        table = self._planner.table
        return list(table.services.values()) if table else []

    def _find_limits(self) -> CallerLimits:
        table = self._planner.table
        return table.configuration.limits if table else CallerLimits()

    def _is_ready(self) -> bool:
        return (
            self._planner.table is not None
            and bool(self._fleet.upstreams)
            and not self._stopping.is_set()
        )

    # Shutdown

    async def _drain(self) -> None:
        """Stop serving in steps, and wait for running requests within `grace_s`."""
        logger.info(
            "gateway stops", extra={"busy_connections": self._callers.count_busy()}
        )
        self._callers.is_closing = True
        stop_ms = self._clock.now_ms()
        self._planner.stop_check.stopped_at = self._clock.now()
        end_ms = stop_ms + int((self._settings.bounds.grace_s - STOP_MARGIN_S) * 1000)
        ends_at = self._clock.now().plus_ms(end_ms - stop_ms - ANSWER_MARGIN_MS)
        self._planner.stop_check.ends_at = ends_at
        self._supervisor.spawn("leave", self._duty_runner.stop)
        while self._clock.now_ms() < end_ms:
            await asyncio.sleep(0.1)
            if self._clock.now_ms() - stop_ms > LISTEN_AFTER_STOP_S * 1000:
                self._callers.stop_listening()
                self._callers.close_idle()
                # What callers have not read yet is lost when the process ends.
                if not (
                    self._callers.count_busy() or self._callers.count_unread_bytes()
                ):
                    break
        logger.info(
            "requests end",
            extra={
                "cut_responses": self._callers.count_begun(),
                "left_requests": self._callers.count_busy(),
                "unread_bytes": self._callers.count_unread_bytes(),
            },
        )
        self._callers.end_requests()
        # Lets the event loop write the last responses.
        await asyncio.sleep(0)

    async def _close(self) -> None:
        self._peer_protocol.send_last_counts(self._clock.now())
        self._supervisor.cancel_all()
        for server, _ in self._internal_servers:
            server.stop_listening()
        self._peer_protocol.close()
        logger.info("gateway stopped")
        self._flush_logs(self._clock.now())
