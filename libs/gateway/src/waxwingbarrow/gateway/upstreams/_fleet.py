"""The registered upstreams, their load and their health."""

import logging
from collections.abc import Container, Iterable

import xxhash

from waxwingbarrow.core import (
    Instant,
    ServiceName,
    UpstreamId,
    VersionName,
)
from waxwingbarrow.gateway.base import Engine, MemoryBudget, UpstreamEntry
from waxwingbarrow.gateway.upstreams._channel_pools import ChannelPool
from waxwingbarrow.gateway.upstreams._engine_estimates import EngineEstimates
from waxwingbarrow.gateway.upstreams._evacuations import Evacuations
from waxwingbarrow.gateway.upstreams._notices import UpstreamNotices
from waxwingbarrow.gateway.upstreams._response_bounds import MAX_UPSTREAM_BODY_BYTES
from waxwingbarrow.gateway.upstreams._upstreams import Upstream
from waxwingbarrow.routing import (
    BacklogTracker,
    HealthPolicy,
    HealthRegistry,
    HealthState,
    PartIndex,
    PromptPart,
    WorkerView,
)

logger = logging.getLogger("waxwingbarrow.gateway.fleet")

# A single failure may be caused by the request, so only a second one in a row ejects
# the upstream. Within the ejection time a crashed worker of these deployments has
# either restarted or turned out to be gone.
HEALTH_POLICY = HealthPolicy(
    suspect_failures=1,
    eject_failures=2,
    eject_ms=800,
    max_eject_ms=4_000,
    probe_successes=1,
)
# Fraction of an engine's memory that is assumed to hold cached prompt parts.
CACHE_MEMORY_SHARE = 0.6
# Memory that is assumed for each engine when cached prompt parts are tracked.
DEFAULT_MEMORY_TOKENS = 400_000


class Fleet:
    """The registered upstreams of all services.

    Attributes
    ----------
    upstreams : dict
        Registered upstreams by identifier.
    parts : PartIndex
        Prompt parts that the upstreams are expected to have cached.
    health : HealthRegistry
        Upstreams that are ejected after failures.
    notices : UpstreamNotices
        What upstreams ask of the hosts in their responses.
    estimates : EngineEstimates
        Estimated speed of the engines.
    sent_parts : list
        Upstream and prompt parts of the requests that this host sent, not yet shared
        with its peers.

    body_memory : MemoryBudget
        Memory for the responses of all upstreams that are read as a whole.
    evacuations : Evacuations
        Data centres whose upstreams get nothing.

    Parameters
    ----------
    drain_ms : int
        Time for which a leaving upstream goes on serving if its registration does not
        say when it ends.
    evacuation_ms : int
        See `Evacuations`.
    """

    def __init__(self, drain_ms: int = 2_000, evacuation_ms: int = 5_000) -> None:
        self._drain_ms = drain_ms
        self._leaving: list[Upstream] = []
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.parts = PartIndex(int(DEFAULT_MEMORY_TOKENS * CACHE_MEMORY_SHARE))
        self.health = HealthRegistry(HEALTH_POLICY)
        self.notices = UpstreamNotices()
        self.estimates = EngineEstimates()
        self.sent_parts: list[tuple[UpstreamId, tuple[PromptPart, ...]]] = []
        self.body_memory = MemoryBudget(MAX_UPSTREAM_BODY_BYTES)
        self.evacuations = Evacuations(evacuation_ms)
        self._registrations_hash: int | None = None
        self._upstreams_by_service: dict[ServiceName, list[Upstream]] = {}

    def limit_body_memory(self, limit_bytes: int) -> None:
        """Lower the memory for responses that are read as a whole."""
        self.body_memory.limit_bytes = min(limit_bytes, MAX_UPSTREAM_BODY_BYTES)

    def put(self, entry: UpstreamEntry, now: Instant) -> None:
        """Add an upstream, or update it from a newer registration.

        A registration with another start time or address replaces the upstream: it was
        restarted under the same identifier.
        """
        self._registrations_hash = None
        known = self.upstreams.get(entry.upstream)
        if known is not None and _is_older(entry, known.entry):
            logger.info("late registration ignored", extra={"upstream": entry.upstream})
            return
        if known is not None and not known.gone:
            is_same_incarnation = (
                known.entry.process_started_ms == entry.process_started_ms
                and known.entry.address == entry.address
            )
            if is_same_incarnation:
                if entry.leaving and not known.entry.leaving:
                    logger.info(
                        "upstream is leaving", extra={"upstream": entry.upstream}
                    )
                known.entry = entry
                self.notices.cold.note_registration(entry, now)
                known.has_lapsed = False
                if entry.leaving:
                    self._mark_leaving(known, entry.leaves_in_ms, now)
                return
            self._discard(known, "upstream restarted under its id")
        self.notices.cold.note_registration(entry, now)
        pool = ChannelPool(entry.host, entry.port, memory=self.body_memory)
        upstream = Upstream(entry, pool)
        if entry.leaving:
            self._mark_leaving(upstream, entry.leaves_in_ms, now)
        self.upstreams[entry.upstream] = upstream
        self._upstreams_by_service.setdefault(entry.service, []).append(upstream)
        logger.info(
            "upstream added",
            extra={
                "upstream": entry.upstream,
                "service": entry.service,
                "version": entry.version,
                "data_centre": entry.data_centre,
                "leaving": entry.leaving,
            },
        )

    def _mark_leaving(
        self, upstream: Upstream, leaves_in_ms: int | None, now: Instant
    ) -> None:
        if upstream.leaves_at_ms is None:
            self._leaving.append(upstream)
            leaves_in_ms = self._drain_ms if leaves_in_ms is None else leaves_in_ms
            upstream.leaves_at_ms = now.mono_ms + leaves_in_ms
        elif leaves_in_ms is not None:
            # A registration that arrives late gives a time that is too late, so the
            # earliest of the computed times is used.
            leaves_at_ms = now.mono_ms + leaves_in_ms
            upstream.leaves_at_ms = min(upstream.leaves_at_ms, leaves_at_ms)

    def list_leaving(self, now: Instant) -> list[tuple[Upstream, float]]:
        """Return leaving upstreams with requests of this host, and the time left in ms.

        Upstreams that were removed stay listed until these requests have ended.
        """
        self._leaving = [
            upstream for upstream in self._leaving if upstream.jobs or not upstream.gone
        ]
        return [
            (upstream, (upstream.leaves_at_ms or now.mono_ms) - now.mono_ms)
            for upstream in self._leaving
            if upstream.jobs
        ]

    def remove(self, upstream_id: UpstreamId, now: Instant) -> None:
        """Stop sending requests to an upstream that is no longer registered.

        It counts as leaving: some upstreams are removed without an earlier registration
        as leaving, and go on serving for a while.
        """
        self._registrations_hash = None
        known = self.upstreams.pop(upstream_id, None)
        if known is not None:
            self._mark_leaving(known, None, now)
            self._discard(known, "upstream removed")

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is known to end, or is no longer registered."""
        return (
            upstream.gone
            or upstream.entry.leaving
            or self.notices.is_leaving(upstream.process)
        )

    def _discard(self, upstream: Upstream, message: str) -> None:
        upstream.gone = True
        upstream.pool.close()
        self.notices.cold.forget(upstream.process)
        listed = self._upstreams_by_service.get(upstream.entry.service, [])
        if upstream in listed:
            listed.remove(upstream)
        self.parts.forget(upstream.entry.upstream)
        self.health.forget(upstream.entry.upstream)
        self.estimates.forget(upstream.entry.upstream)
        logger.info(message, extra={"upstream": upstream.entry.upstream})

    def record_parts(
        self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]
    ) -> None:
        """Record that an upstream was sent a prompt, for this host and its peers."""
        self.parts.record_prompt(upstream_id, parts)
        self.sent_parts.append((upstream_id, parts))

    def take_sent_parts(self) -> list[tuple[UpstreamId, tuple[PromptPart, ...]]]:
        """Return and clear `sent_parts`, to share them with the peers."""
        sent, self.sent_parts = self.sent_parts, []
        return sent

    def list_lapsed(self) -> list[UpstreamId]:
        """Return the upstreams whose registration has lapsed; see `Upstream`."""
        return [name for name, item in self.upstreams.items() if item.has_lapsed]

    def compute_hash(self) -> int:
        """Return a hash of the registrations, with which hosts compare their copies.

        The sequence number is left out, as it changes with each heartbeat of an
        upstream.
        """
        if self._registrations_hash is None:
            known = sorted(
                (e.upstream, e.address, e.process_started_ms, e.leaving, e.version)
                for e in (upstream.entry for upstream in self.upstreams.values())
            )
            self._registrations_hash = xxhash.xxh64_intdigest(repr(known).encode())
        return self._registrations_hash

    def list_usable(
        self, service: ServiceName, version: VersionName | None
    ) -> list[Upstream]:
        """Return the upstreams of a service that new requests may be sent to.

        Parameters
        ----------
        version : VersionName or None
            Version that they must have; any if None.
        """
        accepting = self.list_accepting(service, version)
        if not self.evacuations.count:
            return accepting
        return [upstream for upstream in accepting if not self.is_evacuated(upstream)]

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream's data centre is evacuated."""
        return self.evacuations.is_evacuated(upstream.entry.data_centre)

    def list_accepting(
        self, service: ServiceName, version: VersionName | None
    ) -> list[Upstream]:
        """Return the upstreams that take new requests, evacuated ones included."""
        return [
            upstream
            for upstream in self._upstreams_by_service.get(service, ())
            if not upstream.entry.leaving
            # Its responses say so before its registration does, or instead of it.
            and not self.notices.is_leaving(upstream.process)
            and (version is None or upstream.entry.version == version)
        ]

    def list_allowed(
        self,
        service: ServiceName,
        version: VersionName | None,
        excluded_versions: Container[str],
        excluded_upstreams: Container[str],
    ) -> list[Upstream]:
        """Return the usable upstreams of a service that a request may be sent to.

        Parameters
        ----------
        version : VersionName or None
            Version that they must have; any if None.
        """
        return [
            upstream
            for upstream in self.list_usable(service, version)
            if upstream.entry.version not in excluded_versions
            and upstream.entry.upstream not in excluded_upstreams
        ]

    def is_suspect(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether an upstream may have ended or may be unreachable."""
        state = self.health.get_state(
            upstream.entry.upstream, upstream.incarnation, now
        )
        return (
            upstream.has_lapsed
            or state in (HealthState.EJECTED, HealthState.LEAVING)
            or (state is HealthState.PROBING and bool(upstream.jobs))
        )

    def is_deferred(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether this host sends an upstream nothing at the moment."""
        return self.notices.measure_deferral_ms(upstream.process, now) > 0

    def is_cold(self, upstream: Upstream, now: Instant) -> bool:
        """Return whether an upstream tolerates few requests, as it is cold."""
        return self.notices.cold.find_limit_per_s(upstream.process, now) is not None

    def view(
        self,
        upstreams: Iterable[Upstream],
        parts: tuple[PromptPart, ...],
        engine: Engine | None,
        now: Instant,
        backlog: BacklogTracker | None = None,
    ) -> list[WorkerView]:
        """Return the inputs of the choice of a worker, one for each upstream.

        Parameters
        ----------
        parts : tuple of PromptPart
            Parts of the request's prompt, to count those that are cached.
        engine : Engine or None
            Properties of the service's engines, if it has any.
        backlog : BacklogTracker or None
            Backlog and speed of the engines, if this host places all requests;
            otherwise the backlog is taken from the reports of load.
        """
        views = []
        for upstream in upstreams:
            entry = upstream.entry
            name = entry.upstream
            slots = engine.slots if engine else entry.slots
            cold_per_s = self.notices.cold.find_limit_per_s(upstream.process, now)
            if cold_per_s is not None:
                slots = min(slots, max(int(cold_per_s), 1))
            load = upstream.measure(now)
            running, pending_tokens = load.running, float(load.pending_prefill_tokens)
            is_silent, slowdown = False, 1.0
            if backlog is not None:
                running += backlog.count_unreported(name, now)
                pending_tokens = backlog.measure_pending_tokens(name, now)
                is_silent = backlog.is_silent(name, now)
                slowdown = backlog.measure_slowdown(name, now)
            elif engine is not None:
                slowdown = self.estimates.find_slowdown(entry.service, name, now)
            views.append(
                WorkerView(
                    upstream=name,
                    data_centre=entry.data_centre,
                    slots=slots,
                    running=running,
                    pending_prefill_tokens=pending_tokens,
                    used_tokens=load.used_tokens,
                    memory_tokens=engine.memory_tokens if engine else 0,
                    cached_tokens=(
                        self.parts.count_cached(name, parts) if parts else 0
                    ),
                    failure_rate=upstream.compute_failure_rate(now),
                    is_suspect=is_silent or self.is_suspect(upstream, now),
                    slowdown=slowdown,
                )
            )
        return views

    def find_usual_slowdown(
        self, upstream_id: UpstreamId, now: Instant
    ) -> float | None:
        """Return the usual slowdown of an engine's service; see `EngineEstimates`."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return None
        return self.estimates.find_usual_slowdown(upstream.entry.service, now)

    def record(self, upstream: Upstream, failed: bool, now: Instant) -> None:
        """Count the result of a request in the failure rate and the health."""
        upstream.record(failed, now)
        self.health.record(
            upstream.entry.upstream, upstream.incarnation, not failed, now
        )

    def record_unreachable(self, upstream: Upstream, now: Instant) -> None:
        """Eject an upstream that refused or did not accept a connection."""
        for _ in range(HEALTH_POLICY.eject_failures):
            self.record(upstream, True, now)

    def close_expired(self, now_s: float) -> None:
        """Close idle connections before the upstreams close them.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        for upstream in self.upstreams.values():
            upstream.pool.close_expired(now_s)


def _is_older(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Whether a registration was made before the known one, though it arrived later."""
    if entry.process_started_ms != known.process_started_ms:
        return 0 < entry.process_started_ms < known.process_started_ms
    return entry.sequence < known.sequence
