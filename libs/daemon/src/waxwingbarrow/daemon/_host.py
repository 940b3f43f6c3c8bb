"""One entry host: creates the parts of the daemon, runs them and shuts them down."""

import asyncio
import random
import signal

from result import Result

from waxwingbarrow.claims import ClaimPolicy
from waxwingbarrow.core import (
    Incarnation,
    Refusal,
    RequestId,
    ServiceName,
    SystemClock,
    UpstreamId,
)
from waxwingbarrow.daemon._admission import Admissions
from waxwingbarrow.daemon._caller_context import CallerContext
from waxwingbarrow.daemon._callers import CallerEndpoints
from waxwingbarrow.daemon._claim_executor import ClaimExecutor
from waxwingbarrow.daemon._control import Configuration, ControlPlane, RevisionConflict
from waxwingbarrow.daemon._coordination import Coordination, CoordinationContext
from waxwingbarrow.daemon._dispatch import Dispatcher
from waxwingbarrow.daemon._fleet import Fleet
from waxwingbarrow.daemon._generation import GenerationContext, GenerationPolicy
from waxwingbarrow.daemon._gossip import Gossip
from waxwingbarrow.daemon._keys import make_resume_keys, read_tls
from waxwingbarrow.daemon._lifecycle import Lifecycle
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.daemon._metrics import Metrics
from waxwingbarrow.daemon._observers import FleetObserver
from waxwingbarrow.daemon._operators import OperatorEndpoints
from waxwingbarrow.daemon._plain_sender import PlainServiceSender
from waxwingbarrow.daemon._rollouts import Rollouts
from waxwingbarrow.daemon._server import HttpServer, make_app
from waxwingbarrow.daemon._settings import Settings
from waxwingbarrow.daemon._status import HostStatus, make_status
from waxwingbarrow.daemon._trace import Trace, TraceEvent
from waxwingbarrow.document import ServiceKind
from waxwingbarrow.membership import (
    FailureDetector,
    GossipMap,
    Member,
    MemberStatus,
)
from waxwingbarrow.peers import ControlCallbacks, PeerNode, PeerSettings
from waxwingbarrow.platform import HttpLogClient, HttpSession
from waxwingbarrow.routing import HealthPolicy, RoutingPolicy
from waxwingbarrow.state import Writer
from waxwingbarrow.upstreams import EngineClient, ServiceClient, StreamTimeouts

READINESS_INTERVAL_S = 0.25  # a shorter interval raises the CPU use of an idle host

logger = get_logger("host")


class Host:
    """One entry host with all its parts, from start to shutdown.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = random.Random()
        self._started = self._clock.now()
        self._lifecycle = Lifecycle()
        self._metrics = Metrics()
        self._trace = Trace()
        self._stop_requested = asyncio.Event()
        self._handover_requested = asyncio.Event()
        self._incarnation = Incarnation(
            self._started.wall_ms, self._rng.getrandbits(32)
        )
        self._session = HttpSession(caller=settings.host_id)
        self._make_control()
        self._make_membership()
        self._make_fleet()
        self._make_coordination()
        self._make_serving()

    async def run(self) -> None:
        """Serve until a stop is requested, then stop without cutting off a request."""
        self._install_signal_handlers()
        async with asyncio.TaskGroup() as group:
            tasks = self._start_background(group)
            await self._server.start()
            logger.info("Listening on %s.", self._settings.caller_address)
            await self._stop_requested.wait()
            await self._fail_readiness()
            await self._drain_requests()
            await self._claim_executor.finish()
            await self._leave_peers()
            for task in tasks:
                task.cancel()
        await self._close_connections()
        self._lifecycle.stop()
        logger.info("Stopped.")

    # Creation of the parts. Lambdas refer to parts that are created in a later step.

    def _make_control(self) -> None:
        settings = self._settings
        writer = Writer(settings.host_id, self._incarnation)
        client = HttpLogClient(
            self._session,
            settings.platform.log_address,
            settings.log_append_timeout_ms,
        )
        self._control = ControlPlane(
            writer,
            client,
            self._clock,
            self._rng,
            settings.log_poll_ms,
            settings.log_append_timeout_ms,
            settings.log_retention_s * 1000,
        )
        self._claim_executor = ClaimExecutor(
            writer,
            client,
            self._clock,
            self._rng,
            ClaimPolicy(
                key_max_age_s=settings.key_max_age_s,
                log_retention_s=settings.log_retention_s,
                max_clock_skew_ms=settings.max_clock_skew_ms,
                outcome_max_bytes=settings.outcome_max_bytes,
            ),
            lambda *process: self._coordination.has_ended(*process),
            settings.log_poll_ms,
            settings.log_append_timeout_ms,
        )

    def _make_membership(self) -> None:
        settings = self._settings
        self._gossip_map = GossipMap(settings.host_id, self._incarnation)
        member = Member(
            settings.host_id,
            self._incarnation,
            settings.data_centre,
            settings.zone,
            settings.peer_address,
            settings.caller_address,
        )
        control = self._control
        self._peers = PeerNode(
            PeerSettings(
                listen_address=settings.peer_address,
                seeds=settings.peers,
                tls=read_tls(settings),
                peer_count=settings.gossip_fanout,
                gossip_interval_ms=settings.gossip_interval_ms,
            ),
            member,
            self._gossip_map,
            FailureDetector(settings.host_id, self._incarnation),
            self._clock,
            ControlCallbacks(
                next_offset=control.next_offset,
                read_entries=control.read_entries,
                on_entries=control.apply_peer_entries,
                on_snapshot=control.apply_peer_snapshot,
            ),
            self._rng,
        )
        control.add_listener(self._peers.broadcast_now)
        self._gossip = Gossip(self._gossip_map, self._peers.broadcast_now)

    def _make_fleet(self) -> None:
        settings = self._settings
        self._fleet = Fleet(HealthPolicy())
        self._rollouts = Rollouts(settings.host_id, self._incarnation)
        self._dispatcher = Dispatcher(
            self._fleet,
            self._control,
            self._rollouts,
            RoutingPolicy(
                data_centre=settings.data_centre,
                zone=settings.zone,
                subset_size=settings.subset_size,
            ),
            settings.prefix_block_chars,
            self._metrics,
            self._trace,
            self._rng,
            lambda: self._coordination.publish_crashes(),
            lambda: self._coordination.publish_leaving(),
        )
        self._services = ServiceClient(
            caller=settings.host_id,
            connect_timeout_ms=settings.connect_timeout_ms,
            max_connections=settings.max_concurrent_requests,
        )
        self._engine_session = HttpSession(
            caller=settings.host_id,
            connect_timeout_ms=settings.connect_timeout_ms,
            max_connections=settings.max_concurrent_requests,
        )
        self._engines = EngineClient(
            self._engine_session,
            StreamTimeouts(
                first_byte_ms=settings.first_event_timeout_ms,
                between_events_ms=settings.event_gap_timeout_ms,
            ),
        )
        self._observer = FleetObserver(
            settings,
            self._session,
            self._fleet,
            self._engines,
            self._clock,
            self._rng,
            lambda: self._coordination.publish_leaving(),
            self._is_model_service,
        )

    def _make_coordination(self) -> None:
        settings = self._settings
        self._admissions = Admissions(self._clock, settings.max_concurrent_requests)
        self._coordination = Coordination(
            CoordinationContext(
                settings=settings,
                clock=self._clock,
                started=self._started,
                incarnation=self._incarnation,
                control=self._control,
                peers=self._peers,
                gossip_map=self._gossip_map,
                gossip=self._gossip,
                fleet=self._fleet,
                rollouts=self._rollouts,
                crash_suspects=self._dispatcher.crash_suspects,
                admissions=self._admissions,
            )
        )
        self._control.add_listener(self._coordination.drop_outdated_revisions)
        self._control.add_listener(self._coordination.update_shares)

    def _make_serving(self) -> None:
        settings = self._settings
        generation = GenerationContext(
            dispatcher=self._dispatcher,
            engines=self._engines,
            probe_client=self._services,
            clock=self._clock,
            keys=make_resume_keys(settings),
            policy=GenerationPolicy(
                max_attempts=settings.max_attempts,
                token_lifetime_s=settings.resume_token_lifetime_s,
            ),
            handover_started=self._handover_requested,
        )
        plain_sender = PlainServiceSender(
            self._dispatcher,
            self._services,
            self._clock,
            settings.max_attempts,
            settings.call_timeout_ms,
        )
        callers = CallerEndpoints(
            CallerContext(
                control=self._control,
                lifecycle=self._lifecycle,
                admissions=self._admissions,
                generation=generation,
                plain_sender=plain_sender,
                claim_executor=self._claim_executor,
                metrics=self._metrics,
                trace=self._trace,
                clock=self._clock,
                is_clock_suspect=self._is_clock_suspect,
                max_body_bytes=settings.max_body_bytes,
            )
        )
        operators = OperatorEndpoints(
            self, settings.operator_key_hashes, settings.max_body_bytes
        )
        app = make_app(
            [*callers.list_routes(), *operators.list_routes()],
            self._metrics,
            lambda: self._lifecycle.reports_ready,
        )
        # A stream that is handed over ends only at its next event.
        self._server = HttpServer(
            app,
            settings.caller_address,
            settings.drain_timeout_ms + settings.event_gap_timeout_ms,
        )

    # Background tasks.

    def _start_background(self, group: asyncio.TaskGroup) -> list[asyncio.Task[None]]:
        coroutines = {
            "control-reader": self._control.reader.run(),
            "control-appender": self._control.appender.run(),
            "claims": self._claim_executor.run(),
            "peers": self._peers.run(),
            "observer": self._observer.run(),
            "admissions": self._admissions.run(),
            "readiness": self._run_readiness(),
            **self._coordination.list_coroutines(),
        }
        return [
            group.create_task(coroutine, name=name)
            for name, coroutine in coroutines.items()
        ]

    async def _run_readiness(self) -> None:
        while True:
            now = self._clock.now()
            self._lifecycle.update_readiness(self._can_serve())
            self._stop_if_superseded()
            self._metrics.ready.set(1 if self._lifecycle.reports_ready else 0)
            self._metrics.peers.set(len(self._peers.list_peers()))
            for stream, reader in (
                ("control", self._control.reader),
                ("claims", self._claim_executor.reader),
            ):
                last = reader.last_tail_read
                lag_ms = now.mono_ms - (last or self._started).mono_ms
                self._metrics.log_lag_s.labels(stream).set(lag_ms / 1000)
            await asyncio.sleep(READINESS_INTERVAL_S)

    def _stop_if_superseded(self) -> None:
        """Shut down if a newer process runs under this host's id.

        That process has a higher incarnation, so other hosts ignore the gossip of this
        one.
        """
        if self._gossip_map.superseded_by is not None and not self._is_stopping:
            logger.error(
                "A newer process runs under host id %s; shutting down.",
                self._settings.host_id,
            )
            self.drain()

    @property
    def _is_stopping(self) -> bool:
        return self._stop_requested.is_set()

    def _can_serve(self) -> bool:
        """Return whether the host has a configuration and the list of upstreams.

        The configuration may come from the log or from a peer.
        """
        return self._control.has_configuration and self._observer.has_host_list

    # Steps of a graceful shutdown.

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)

    async def _fail_readiness(self) -> None:
        """Announce the drain, and let the load balancer see that readiness fails."""
        logger.info("Draining: readiness fails while open requests complete.")
        self._peers.set_status(MemberStatus.DRAINING)
        await asyncio.sleep(self._settings.readiness_grace_ms / 1000)

    async def _drain_requests(self) -> None:
        """Close the listener and wait for open requests.

        Streams that are still open after the drain timeout are handed over, so that
        their callers resume them at another host.
        """
        self._admissions.refuse_waiting()
        closing = asyncio.create_task(self._server.close())
        timeout_s = self._settings.drain_timeout_ms / 1000
        await asyncio.wait([closing], timeout=timeout_s)
        self._handover_requested.set()
        await closing

    async def _leave_peers(self) -> None:
        self._peers.stop()
        await asyncio.sleep(0.2)  # lets the gossip about the departure reach the peers

    async def _close_connections(self) -> None:
        for connections in (self._session, self._services, self._engine_session):
            await connections.close()

    def _is_model_service(self, service: ServiceName) -> bool:
        found = self._control.find(service)
        return found is not None and found.document.kind is ServiceKind.MODEL

    def _is_clock_suspect(self) -> bool:
        divergence_ms = abs(self._clock.compute_divergence_ms())
        return divergence_ms > self._settings.max_clock_skew_ms

    # Operations for operators; see `OperatedHost`.

    def read_status(self) -> HostStatus:
        """Return the status of the host."""
        return make_status(
            self._settings,
            self._lifecycle,
            self._control,
            self._peers,
            self._rollouts,
            self._fleet,
            self._is_clock_suspect(),
            self._clock.now(),
        )

    def find_configuration(self, service: ServiceName) -> Configuration | None:
        """Return the document in force for a service."""
        return self._control.find(service)

    def find_trace(self, request_id: RequestId) -> tuple[TraceEvent, ...]:
        """Return the events of a request that this host served."""
        return self._trace.find(request_id)

    async def publish(
        self, service: ServiceName, text: str, base_revision: int | None, author: str
    ) -> Result[int, Refusal | RevisionConflict]:
        """Publish a service document."""
        return await self._control.publish(service, text, base_revision, author)

    def drain_upstream(self, upstream: UpstreamId) -> bool:
        """Send no new work to an upstream, on every host."""
        known = self._fleet.drain(upstream)
        if known:
            self._coordination.publish_leaving()
        return known

    def drain(self) -> None:
        """Begin a graceful shutdown."""
        self._lifecycle.drain()
        self._stop_requested.set()
