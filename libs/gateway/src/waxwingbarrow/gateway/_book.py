"""What this host tells its peers, and what it takes over from them."""

from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    HostId,
    Instant,
    ServiceName,
    UpstreamId,
)
from waxwingbarrow.gateway._beats import FORMAT, Beat, Digest
from waxwingbarrow.gateway._candidates import Readiness
from waxwingbarrow.gateway._fleet import Fleet, Load
from waxwingbarrow.gateway._members import Member, Members
from waxwingbarrow.gateway._quotas import Quotas
from waxwingbarrow.gateway._replica import Replica
from waxwingbarrow.gateway._rollouts import Rollouts
from waxwingbarrow.gateway._suspects import Suspects
from waxwingbarrow.gateway._usage import UsageBook
from waxwingbarrow.gateway._work import WorkBook
from waxwingbarrow.routing import Part

MAX_SENT_PARTS = 24
# Stands for all other hosts when only their sum is known.
ALL_OTHERS = HostId("")


class PeerBook:
    """Builds beats from this host's state and applies those of others."""

    def __init__(
        self,
        host: HostId,
        data_centre: DataCentre,
        started_ms: int,
        members: Members,
        fleet: Fleet,
        quotas: Quotas,
        usage: UsageBook,
        rollouts: Rollouts,
        suspects: Suspects,
        work: WorkBook,
        replicas: dict[str, Replica],
        strength: int,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._started_ms = started_ms
        self._members = members
        self._fleet = fleet
        self._quotas = quotas
        self._usage = usage
        self._rollouts = rollouts
        self._suspects = suspects
        self._work = work
        self._replicas = replicas
        self._strength = strength
        self._told_loads: dict[str, Load] = {}
        self.held_token = 0
        self.can_hold = True
        self.is_candidate = False

    def list_ends(self) -> dict[str, int]:
        """Return up to where this host knows each topic."""
        return {topic: replica.end for topic, replica in self._replicas.items()}

    def find_readiness(self) -> Readiness:
        """Return whether this host could hold the duties."""
        if not self.can_hold:
            return Readiness.CANNOT
        return Readiness.CANDIDATE if self.is_candidate else Readiness.COULD

    def make_beat(self, now: Instant) -> Beat:
        """Return what this host tells now."""
        loads = []
        self._told_loads = {}
        for upstream in self._fleet.upstreams.values():
            load = upstream.measure_own()
            if load.running:
                name = str(upstream.entry.upstream)
                self._told_loads[name] = load
                figures = (load.running, load.unread_tokens, load.used_tokens)
                loads.append((name, *figures))
        parts = [
            (str(upstream), [(part.part, part.tokens) for part in sent])
            for upstream, sent in self._fleet.take_sent_parts()[-MAX_SENT_PARTS:]
        ]
        return Beat(
            FORMAT,
            self._host,
            self._started_ms,
            self._data_centre,
            self.list_ends(),
            loads,
            [(str(name), demand) for name, demand in self._quotas.list_demands(now)],
            [(w, str(a), c) for w, a, c in self._usage.list_own(now)],
            self._rollouts.list_own(),
            parts,
            self._suspects.list_shared(now),
            self._work.list_own(now),
            self._quotas.list_taken(),
            self.held_token,
            self._fleet.compute_hash(),
            self._rollouts.list_withdrawn(),
            self._strength,
            self.find_readiness(),
        )

    def apply_beat(
        self, beat: Beat, address: tuple[str, int], now: Instant
    ) -> Member | None:
        """Take over what a peer told; None if it is out of date."""
        member = self.note_counts(beat, address, now)
        if member is None:
            return None
        host = member.host
        told = {name: Load(*figures) for name, *figures in beat.loads}
        self._put_loads(host, told, now)
        for account, demand in beat.demands:
            self._quotas.note_peer_demand(AccountId(account), host, demand, now)
        origin = (host, beat.started_ms)
        for account, taken in beat.taken:
            self._quotas.note_peer_taken(AccountId(account), origin, taken, now)
        for service, work_ms_per_s in beat.work:
            self._work.hear(host, ServiceName(service), work_ms_per_s, now)
        self._learn_parts(beat.parts)
        return member

    def note_counts(
        self, beat: Beat, address: tuple[str, int], now: Instant
    ) -> Member | None:
        """Take over counts that only the holder of the duties needs."""
        host = HostId(beat.host)
        centre = DataCentre(beat.data_centre)
        member = self._members.hear(
            host, address, centre, beat.started_ms, beat.strength, now
        )
        if member is None:
            return None
        member.holds = beat.holds
        member.readiness = beat.readiness
        origin = (host, beat.started_ms)
        for window, account, count in beat.usage:
            self._usage.hear(origin, window, AccountId(account), count)
        for item in beat.counts:
            self._rollouts.hear(origin, item)
        self._rollouts.take_withdrawn(beat.withdrawn)
        self._suspects.hear(beat.suspects, now)
        return member

    def apply_total(self, digest: Digest, known_count: int, now: Instant) -> None:
        """Take over the sums over all hosts, less what this host told."""
        own_demands = dict(self._quotas.list_demands(now))
        own_work = dict(self._work.list_own(now))
        told = {}
        for name, running, unread, used in digest.loads:
            own = self._told_loads.get(name, Load(0, 0, 0))
            told[name] = Load(
                max(running - own.running, 0),
                max(unread - own.unread_tokens, 0),
                max(used - own.used_tokens, 0),
            )
        self._put_loads(ALL_OTHERS, told, now)
        for name, demand in digest.demands:
            account = AccountId(name)
            others = max(demand - own_demands.get(account, 0.0), 0.0)
            self._quotas.note_others(account, others, digest.hosts, known_count, now)
        for service, work_ms_per_s in digest.work:
            others = max(work_ms_per_s - own_work.get(service, 0.0), 0.0)
            self._work.hear(ALL_OTHERS, ServiceName(service), others, now)
        self._learn_parts(digest.parts)
        self._rollouts.take_withdrawn(digest.withdrawn)
        self._suspects.hear(digest.suspects, now)

    def _put_loads(self, host: HostId, told: dict[str, Load], now: Instant) -> None:
        for upstream in self._fleet.upstreams.values():
            load = told.get(upstream.entry.upstream)
            if load is not None:
                upstream.peer_loads[host] = (load, now.mono_ms)
            else:
                upstream.peer_loads.pop(host, None)

    def _learn_parts(self, parts: list[tuple[str, list[tuple[int, int]]]]) -> None:
        for name, sent in parts:
            upstream = UpstreamId(name)
            if upstream in self._fleet.upstreams:
                learned = [Part(part, tokens) for part, tokens in sent]
                self._fleet.parts.learn(upstream, learned)
