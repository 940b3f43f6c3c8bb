"""Builds heartbeats from this host's state and applies the messages of its peers."""

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    HostId,
    Instant,
    ServiceName,
    UpstreamId,
)
from waxwingbarrow.gateway.admission import Quotas
from waxwingbarrow.gateway.base import Position, Topic
from waxwingbarrow.gateway.messages import MESSAGE_FORMAT, Heartbeat, RelaySummary
from waxwingbarrow.gateway.peers._candidates import DutyEligibility
from waxwingbarrow.gateway.peers._members import Member, Members
from waxwingbarrow.gateway.replication import Replica, list_end_offsets
from waxwingbarrow.gateway.requests import Rollouts, UsageCounter, WorkMeter
from waxwingbarrow.gateway.upstreams import CrashTracker, Fleet, Load
from waxwingbarrow.routing import PromptPart

# Maximum number of prompts whose parts a heartbeat contains.
MAX_HEARTBEAT_PROMPTS = 24
# Stands for all other hosts together: with relays only the sum of their loads and work
# is known.
ALL_OTHERS = HostId("")


class PeerSync:
    """Builds heartbeats from this host's state and applies the messages of its peers.

    Parameters
    ----------
    started_ms : int
        Wall time of the start of this process.
    relay_mbps : int
        Rate in Mbit/s at which this host can relay; see `compute_relay_mbps`.

    Attributes
    ----------
    held_fencing_token : int
        Fencing token under which this host holds the duties; 0 if it does not.
    can_hold_duties : bool
        Whether this host could hold the duties: it reaches the store and is not
        stopping.
    is_candidate : bool
        Whether this host is a candidate for the duties; see `Candidacy`.
    """

    def __init__(
        self,
        host: HostId,
        data_centre: DataCentre,
        started_ms: int,
        members: Members,
        fleet: Fleet,
        quotas: Quotas,
        usage: UsageCounter,
        rollouts: Rollouts,
        crash_tracker: CrashTracker,
        work_meter: WorkMeter,
        replicas: dict[str, Replica],
        relay_mbps: int,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._started_ms = started_ms
        self._members = members
        self._fleet = fleet
        self._quotas = quotas
        self._usage = usage
        self._rollouts = rollouts
        self._crash_tracker = crash_tracker
        self._work_meter = work_meter
        self._replicas = replicas
        self._relay_mbps = relay_mbps
        self._sent_loads: dict[str, Load] = {}
        self.held_fencing_token = 0
        self.can_hold_duties = True
        self.is_candidate = False

    def list_end_offsets(self) -> tuple[int, dict[str, int]]:
        """Return the offsets that this host knows; see `list_end_offsets`."""
        return list_end_offsets(self._replicas)

    @property
    def operator_position(self) -> Position:
        """Position up to which this host knows the operator's topic."""
        replica = self._replicas.get(Topic.OPERATOR)
        return replica.position if replica is not None else Position()

    def measure_operator_age_ms(self, now: Instant) -> int | None:
        """Return the time since the store confirmed the copy of the operator's topic.

        The result is None if it has not.
        """
        replica = self._replicas.get(Topic.OPERATOR)
        if replica is None or replica.confirmed_ms is None:
            return None
        return now.mono_ms - replica.confirmed_ms

    def find_eligibility(self) -> DutyEligibility:
        """Return whether this host could hold the duties."""
        if not self.can_hold_duties:
            return DutyEligibility.INELIGIBLE
        return (
            DutyEligibility.CANDIDATE if self.is_candidate else DutyEligibility.ELIGIBLE
        )

    def make_heartbeat(self, now: Instant) -> Heartbeat:
        """Return this host's state for its peers.

        Prompt parts are returned once: only those sent since the last call.
        """
        loads = []
        self._sent_loads = {}
        for upstream in self._fleet.upstreams.values():
            load = upstream.measure_own()
            if load.running:
                name = str(upstream.entry.upstream)
                self._sent_loads[name] = load
                figures = (load.running, load.pending_prefill_tokens, load.used_tokens)
                loads.append((name, *figures))
        parts = [
            (str(upstream), [(part.part, part.tokens) for part in sent])
            for upstream, sent in self._fleet.take_sent_parts()[-MAX_HEARTBEAT_PROMPTS:]
        ]
        store_era, end_offsets = self.list_end_offsets()
        return Heartbeat(
            MESSAGE_FORMAT,
            self._host,
            self._started_ms,
            self._data_centre,
            end_offsets,
            loads,
            [(str(name), demand) for name, demand in self._quotas.list_demands(now)],
            [
                (usage_window, str(account_id), requests)
                for usage_window, account_id, requests in self._usage.list_own(now)
            ],
            self._rollouts.list_own(),
            parts,
            self._crash_tracker.list_shared(now),
            self._work_meter.list_own(now),
            self._quotas.list_charges(),
            self.held_fencing_token,
            self._fleet.compute_hash(),
            self._rollouts.list_withdrawn(),
            self._relay_mbps,
            self.find_eligibility(),
            operator_age_ms=self.measure_operator_age_ms(now),
            part_losses=self._crash_tracker.list_shared_parts(now),
            notices=self._fleet.notices.list_reports(now),
            speeds=self._fleet.estimates.list_keeper_reports(now),
            cold=self._fleet.notices.cold.list_reports(now),
            store_era=store_era,
        )

    def apply_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now: Instant
    ) -> Member | None:
        """Apply a peer's heartbeat, and return the peer.

        The result is None if the heartbeat is from an earlier start of the peer.
        """
        member = self.apply_counts(heartbeat, address, now)
        if member is None:
            return None
        host = member.host
        loads_by_upstream = {name: Load(*figures) for name, *figures in heartbeat.loads}
        self._set_peer_loads(host, loads_by_upstream, now)
        for account, demand in heartbeat.demands:
            self._quotas.note_peer_demand(AccountId(account), host, demand, now)
        origin = (host, heartbeat.started_ms)
        for account, taken in heartbeat.taken:
            self._quotas.note_peer_charges(AccountId(account), origin, taken, now)
        for service, work_ms_per_s in heartbeat.work:
            self._work_meter.update_from_peer(
                host, ServiceName(service), work_ms_per_s, now
            )
        self._record_parts(heartbeat.parts)
        return member

    def apply_counts(
        self, heartbeat: Heartbeat, address: tuple[str, int], now: Instant
    ) -> Member | None:
        """Apply the fields of a heartbeat that the holder of the duties needs.

        The result is that of `apply_heartbeat`.
        """
        host = HostId(heartbeat.host)
        centre = DataCentre(heartbeat.data_centre)
        member = self._members.update_from_peer(
            host, address, centre, heartbeat.started_ms, heartbeat.relay_mbps, now
        )
        if member is None:
            return None
        member.fencing_token = heartbeat.fencing_token
        member.eligibility = heartbeat.eligibility
        origin = (host, heartbeat.started_ms)
        for window, account, count in heartbeat.usage:
            self._usage.update_from_peer(origin, window, AccountId(account), count)
        for item in heartbeat.rollout_counts:
            self._rollouts.update_from_peer(origin, item)
        self._rollouts.apply_withdrawals(heartbeat.withdrawn)
        self._crash_tracker.update_from_peer(
            heartbeat.suspects, heartbeat.part_losses, now
        )
        return member

    def apply_total(
        self, summary: RelaySummary, known_count: int, now: Instant
    ) -> None:
        """Apply the sums over all hosts, less what this host contributed to them.

        Parameters
        ----------
        known_count : int
            Largest number of hosts in a recent total; more than in this one if hosts
            are cut off.
        """
        own_demands = dict(self._quotas.list_demands(now))
        own_work = dict(self._work_meter.list_own(now))
        loads_by_upstream = {}
        for name, running, pending, used in summary.loads:
            own = self._sent_loads.get(name, Load(0, 0, 0))
            loads_by_upstream[name] = Load(
                max(running - own.running, 0),
                max(pending - own.pending_prefill_tokens, 0),
                max(used - own.used_tokens, 0),
            )
        self._set_peer_loads(ALL_OTHERS, loads_by_upstream, now)
        for name, demand in summary.demands:
            account = AccountId(name)
            others = max(demand - own_demands.get(account, 0.0), 0.0)
            self._quotas.note_peer_totals(
                account, others, summary.host_count, known_count, now
            )
        for service, work_ms_per_s in summary.work:
            others = max(work_ms_per_s - own_work.get(service, 0.0), 0.0)
            self._work_meter.update_from_peer(
                ALL_OTHERS, ServiceName(service), others, now
            )
        self._record_parts(summary.parts)
        self._rollouts.apply_withdrawals(summary.withdrawn)
        self._crash_tracker.update_from_peer(summary.suspects, summary.part_losses, now)

    def _set_peer_loads(
        self, host: HostId, loads_by_upstream: dict[str, Load], now: Instant
    ) -> None:
        for upstream in self._fleet.upstreams.values():
            load = loads_by_upstream.get(upstream.entry.upstream)
            if load is not None:
                upstream.peer_loads[host] = (load, now.mono_ms)
            else:
                upstream.peer_loads.pop(host, None)

    def _record_parts(self, parts: list[tuple[str, list[tuple[int, int]]]]) -> None:
        for name, sent in parts:
            upstream = UpstreamId(name)
            if upstream in self._fleet.upstreams:
                learned = [PromptPart(part, tokens) for part, tokens in sent]
                self._fleet.parts.record_prompt(upstream, learned)
