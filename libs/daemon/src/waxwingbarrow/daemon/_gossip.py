"""Typed gossip items: what hosts tell each other about upstreams and rollouts."""

from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import (
    AccountId,
    FieldInvalid,
    HostId,
    Incarnation,
    Instant,
    ServiceName,
    UpstreamId,
    read_json,
    write_json,
)
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.membership import GossipItem, GossipMap
from waxwingbarrow.rollout import (
    OriginEvidence,
    Withdrawals,
    decode_evidence,
    decode_withdrawals,
    encode_evidence,
    encode_withdrawals,
)
from waxwingbarrow.routing import CrashSuspicion, UpstreamIncarnation

EVIDENCE_TOPIC = "evidence/"
WITHDRAWALS_TOPIC = "withdrawals"
LEAVING_TOPIC = "leaving"
DEMAND_TOPIC = "demand"
CRASHES_TOPIC = "crashes"

logger = get_logger("gossip")


@attrs.frozen
class UpstreamProcess:
    """One process of an upstream; a restart has a new incarnation."""

    upstream: UpstreamId
    incarnation: Incarnation


@attrs.frozen
class LeavingUpstreams:
    """All leaving upstreams that one host knows of."""

    items: tuple[UpstreamProcess, ...] = ()


@attrs.frozen
class AccountDemand:
    """Rate at which one account's requests arrive at one host."""

    service: ServiceName
    account: AccountId
    requests_per_s: float
    tokens_per_s: float


@attrs.frozen
class HostDemand:
    """Demand of all accounts at one host."""

    items: tuple[AccountDemand, ...] = ()


@attrs.frozen
class CrashReport:
    """Upstream processes that one request may have crashed.

    Parameters
    ----------
    fingerprint : str
        Digest by which repeated attempts of the same request are recognized.
    lost : tuple of UpstreamProcess
        Processes that were lost while such a request ran on them.
    cleared : tuple of UpstreamProcess
        Lost processes for which the request was not the cause, because it completed
        on another upstream afterwards.
    """

    fingerprint: str
    lost: tuple[UpstreamProcess, ...]
    cleared: tuple[UpstreamProcess, ...]


@attrs.frozen
class CrashReports:
    """All crash suspicions that one host holds."""

    items: tuple[CrashReport, ...] = ()


GossipValue = OriginEvidence | Withdrawals | LeavingUpstreams | CrashReports


@attrs.frozen
class GossipListeners:
    """Functions that are called with the items received from other hosts."""

    on_evidence: Callable[[OriginEvidence], None]
    on_withdrawals: Callable[[Withdrawals], None]
    on_leaving: Callable[[tuple[UpstreamProcess, ...]], None]
    on_crashes: Callable[[tuple[CrashSuspicion, ...]], None]


class Gossip:
    """Reads and writes the gossip map as typed items.

    Parameters
    ----------
    gossip_map : GossipMap
        Gossip map of this host.
    broadcast_now : callable
        Sends urgent items without waiting for the next interval.
    """

    def __init__(
        self, gossip_map: GossipMap, broadcast_now: Callable[[], None]
    ) -> None:
        self._map = gossip_map
        self._broadcast_now = broadcast_now

    def put_evidence(self, evidence: OriginEvidence, now: Instant) -> None:
        """Publish this host's evidence about one rollout."""
        topic = EVIDENCE_TOPIC + evidence.key.service
        self._put(topic, encode_evidence(evidence), now)

    def put_withdrawals(self, withdrawals: Withdrawals, now: Instant) -> None:
        """Publish all withdrawals that this host knows of, its own and others'."""
        payload = encode_withdrawals(withdrawals)
        if self._put(WITHDRAWALS_TOPIC, payload, now, urgent=True):
            self._broadcast_now()

    def put_leaving(self, leaving: Iterable[UpstreamProcess], now: Instant) -> None:
        """Publish the upstreams that this host knows to be leaving."""
        ordered = sorted(leaving, key=attrs.astuple)
        payload = write_json(LeavingUpstreams(tuple(ordered))).encode()
        if self._put(LEAVING_TOPIC, payload, now, urgent=True):
            self._broadcast_now()

    def put_demand(self, demand: HostDemand, now: Instant) -> None:
        """Publish the demand that arrives at this host."""
        payload = write_json(demand).encode()
        self._put(DEMAND_TOPIC, payload, now, crosses_data_centres=False)

    def put_crashes(self, suspicions: Iterable[CrashSuspicion], now: Instant) -> None:
        """Publish what this host knows about requests that crash upstreams."""
        reports = tuple(
            CrashReport(
                item.fingerprint, _to_processes(item.lost), _to_processes(item.cleared)
            )
            for item in suspicions
        )
        payload = write_json(CrashReports(reports)).encode()
        if self._put(CRASHES_TOPIC, payload, now, urgent=True):
            self._broadcast_now()

    def list_demand(self, hosts: Iterable[HostId]) -> dict[HostId, HostDemand]:
        """Return the last known demand of each of `hosts`."""
        found = {}
        for host in hosts:
            entry = self._map.find(host, DEMAND_TOPIC)
            if entry is None:
                continue
            match read_json(entry.item.payload.decode(), HostDemand, "demand"):
                case Ok(demand):
                    found[host] = demand
                case Err(failure):
                    _log_invalid_item(entry.item, failure)
        return found

    def dispatch(self, items: Iterable[GossipItem], listeners: GossipListeners) -> None:
        """Pass received items to their listeners.

        A malformed item is ignored as a whole, and so is evidence that names another
        origin than the host that published it.
        """
        for item in items:
            match _decode(item):
                case Err(failure):
                    _log_invalid_item(item, failure)
                case Ok(OriginEvidence() as evidence):
                    if evidence.key.origin == item.origin:
                        listeners.on_evidence(evidence)
                case Ok(Withdrawals() as withdrawals):
                    listeners.on_withdrawals(withdrawals)
                case Ok(LeavingUpstreams(items=leaving)):
                    listeners.on_leaving(leaving)
                case Ok(CrashReports(items=reports)):
                    listeners.on_crashes(tuple(_to_suspicion(one) for one in reports))

    def _put(
        self,
        topic: str,
        payload: bytes,
        now: Instant,
        *,
        crosses_data_centres: bool = True,
        urgent: bool = False,
    ) -> bool:
        entry = self._map.find(self._map.host_id, topic)
        if entry is not None and entry.item.payload == payload:
            return False
        try:
            self._map.put_local(
                topic,
                payload,
                now,
                crosses_data_centres=crosses_data_centres,
                urgent=urgent,
            )
        except ValueError as error:
            logger.warning("Could not publish a gossip item: %s", error)
            return False
        return True


def _decode(item: GossipItem) -> Result[GossipValue | None, FieldInvalid]:
    """Return the typed value of an item; Ok(None) for topics without a listener."""
    if item.topic.startswith(EVIDENCE_TOPIC):
        return decode_evidence(item.payload)
    text = item.payload.decode(errors="replace")
    if item.topic == WITHDRAWALS_TOPIC:
        return decode_withdrawals(item.payload)
    if item.topic == LEAVING_TOPIC:
        return read_json(text, LeavingUpstreams, item.topic)
    if item.topic == CRASHES_TOPIC:
        return read_json(text, CrashReports, item.topic)
    return Ok(None)


def _log_invalid_item(item: GossipItem, failure: FieldInvalid) -> None:
    logger.warning(
        "Ignoring invalid gossip item %s of %s: %s", item.topic, item.origin, failure
    )


def _to_processes(
    processes: Iterable[UpstreamIncarnation],
) -> tuple[UpstreamProcess, ...]:
    ordered = sorted(processes)
    return tuple(UpstreamProcess(one.upstream, one.incarnation) for one in ordered)


def _to_suspicion(report: CrashReport) -> CrashSuspicion:
    return CrashSuspicion(
        report.fingerprint,
        frozenset(
            UpstreamIncarnation(one.upstream, one.incarnation) for one in report.lost
        ),
        frozenset(
            UpstreamIncarnation(one.upstream, one.incarnation) for one in report.cleared
        ),
    )
