"""One registered upstream: its load and its recent failures."""

import attrs

from waxwingbarrow.core import AccountId, HostId, Incarnation, Instant
from waxwingbarrow.gateway.base import UpstreamEntry
from waxwingbarrow.gateway.upstreams._channel_pools import ChannelPool
from waxwingbarrow.gateway.upstreams._notices import UpstreamProcess
from waxwingbarrow.gateway.upstreams._stream_meters import StreamMeter

# Weight of the newest request in the moving average of failures; about the last ten
# requests count.
FAILURE_WEIGHT = 0.15
# Without requests the failure rate halves in this time, so that an upstream that has
# recovered is tried again.
FAILURE_HALF_LIFE_MS = 2_000
# Load reported by a peer is ignored if it is this old or older.
PEER_LOAD_STALE_MS = 2_000


@attrs.define(eq=False)
class Job:
    """A request that this host has sent to an upstream and that has not ended.

    Parameters
    ----------
    started_ms : int
        Monotonic time at which it was sent.
    pending_prefill_tokens : int
        Prompt tokens that are not cached and that the engine has still to process; 0
        after the first event.
    used_tokens : int
        Estimate of the engine's memory that the request occupies, in tokens.
    first_event_ms : int or None
        Monotonic time of the first event of a stream.
    is_first : bool
        Whether a slot was free and no prompt was known to wait when it was sent, so
        that the time to its first event is that of its prompt.
    meter : StreamMeter or None
        Measures the decoding steps, if speeds are estimated.
    """

    request_id: str
    account: AccountId | None
    started_ms: int
    pending_prefill_tokens: int = 0
    used_tokens: int = 0
    first_event_ms: int | None = None
    is_first: bool = False
    meter: StreamMeter | None = None


@attrs.frozen
class Load:
    """Load on one upstream from the requests of one host or of all hosts.

    Parameters
    ----------
    running : int
        Number of requests.
    pending_prefill_tokens, used_tokens : int
        Sums of the figures of the requests; see `Job`.
    """

    running: int
    pending_prefill_tokens: int
    used_tokens: int


@attrs.define(eq=False)
class Upstream:
    """One incarnation of an upstream: one start of its process.

    Parameters
    ----------
    entry : UpstreamEntry
        Newest registration.
    jobs : set of Job
        Requests of this host that run on it.
    peer_loads : dict
        Load from each peer and the monotonic time in ms at which it became known.
    failure_rate, failure_rate_ms : float, int
        Fraction of recent requests that failed, and the monotonic time in ms of its
        last update.
    gone : bool
        Whether it is no longer registered; requests on it may still end.
    has_lapsed : bool
        Whether its registration lapsed while the store was unavailable. That says
        little about the upstream itself, so it is still used if there is no other.
    leaves_at_ms : int or None
        Monotonic time at which it will end; None if it is not known to be leaving.
    """

    entry: UpstreamEntry
    pool: ChannelPool
    jobs: set[Job] = attrs.Factory(set)
    peer_loads: dict[HostId, tuple[Load, int]] = attrs.Factory(dict)
    failure_rate: float = 0.0
    failure_rate_ms: int = 0
    gone: bool = False
    has_lapsed: bool = False
    leaves_at_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Identity of this incarnation, by the start time of its process."""
        return Incarnation(self.entry.process_started_ms, 0)

    @property
    def process(self) -> UpstreamProcess:
        """Key of this incarnation in `UpstreamNotices`."""
        return self.entry.upstream, self.entry.process_started_ms

    def measure_own(self) -> Load:
        """Return the load from this host."""
        return Load(
            len(self.jobs),
            sum(job.pending_prefill_tokens for job in self.jobs),
            sum(job.used_tokens for job in self.jobs),
        )

    def measure(self, now: Instant) -> Load:
        """Return the load from this host and from the peers with recent figures."""
        running = len(self.jobs)
        pending = sum(job.pending_prefill_tokens for job in self.jobs)
        used = sum(job.used_tokens for job in self.jobs)
        for load, learned_ms in self.peer_loads.values():
            if now.mono_ms - learned_ms < PEER_LOAD_STALE_MS:
                running += load.running
                pending += load.pending_prefill_tokens
                used += load.used_tokens
        return Load(running, pending, used)

    def compute_failure_rate(self, now: Instant) -> float:
        """Return the failure rate, decayed by the time since the last request."""
        age_ms = now.mono_ms - self.failure_rate_ms
        return self.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def record(self, failed: bool, now: Instant) -> None:
        """Count the result of a request in the failure rate."""
        rate = self.compute_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_rate_ms = now.mono_ms
