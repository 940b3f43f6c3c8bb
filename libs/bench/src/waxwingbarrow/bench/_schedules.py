"""Random schedules of faults around callers, entry hosts, one log and one upstream."""

import collections
import random
import uuid

import attrs

from waxwingbarrow.claims import ClaimPolicy, PendingClaim
from waxwingbarrow.core import HostId, Incarnation, Instant, Outcome
from waxwingbarrow.state import LogEntry, Record, Writer, make_record

START_MS = 1_700_000_000_000
POLICY = ClaimPolicy(key_max_age_s=50, log_retention_s=60, max_clock_skew_ms=2_000)
MAX_ATTEMPTS = 6
PAUSES_MS = (200, 4_000, 30_000, 120_000)  # the last one exceeds the log's retention
# Around the age limit of keys and the retention, where claims start to expire.
JUMPS_MS = (10_000, 20_000, 47_000, 70_000)


@attrs.frozen
class Attempt:
    """One attempt of a caller; the first one is declared as such."""

    key: str
    number: int
    body_digest: str

    @property
    def is_first(self) -> bool:
        """Whether the caller sent nothing under this key before."""
        return self.number == 1


@attrs.define(eq=False)
class Task:
    """Work of a host for one claim or, in the naive design, one attempt."""

    attempts: list[Attempt]
    deadline_ms: int
    claim: PendingClaim | None = None
    cleared: bool = False
    has_run: bool = False


class World:
    """The log, the upstream and the network between hosts and log.

    Parameters
    ----------
    rng : random.Random
        Source of all choices.
    host_type : type
        The design to run.
    expires : bool
        Whether the log forgets records after the retention.
    """

    def __init__(
        self, rng: random.Random, host_type: type["Host"], expires: bool
    ) -> None:
        self.rng = rng
        self.expires = expires
        self.now_ms = START_MS
        self.log: list[tuple[int, Record]] = []
        self.first_offset = 0
        self.log_up = True
        self.in_flight: list[Record] = []
        self.delayed: list[Attempt] = []
        self.jump_share = rng.choice((0.0, 0.01, 0.06))
        self.stop_share = rng.choice((0.02, 0.08, 0.2))
        self.runs: list[Attempt] = []
        self.told: list[tuple[Attempt, Outcome]] = []
        self.events: collections.Counter[str] = collections.Counter()
        self.serial = 0
        self.attempts: dict[str, int] = {}
        self.hosts = [host_type(self, f"h{i}") for i in range(rng.randint(2, 4))]

    def make_id(self) -> str:
        """Return an identifier that is unique in this schedule."""
        self.serial += 1
        return f"id{self.serial}"

    def has_ended(self, host_id: HostId, incarnation: Incarnation) -> bool:
        """Tell whether a process ended; a paused one is wrongly taken for ended."""
        host = next(host for host in self.hosts if host.host_id == host_id)
        return host.writer.incarnation != incarnation or host.is_paused()

    def step(self) -> None:
        """Let one random thing happen."""
        choice = self.rng.random()
        if choice < 0.08:
            self.send_attempt()
        elif choice < 0.30:
            self.deliver()
        elif choice < 0.36:
            self.change_log()
        else:
            host = self.rng.choice(self.hosts)
            if not host.is_paused():
                host.step()
            self.stop(host, self.stop_share / 4)
        self.now_ms += self.rng.choice((0, 1, 5, 20, 100, 500))
        if self.rng.random() < self.jump_share:
            self.now_ms += self.rng.choice(JUMPS_MS)
            if self.rng.random() < 0.5:
                self.trim()

    def stop(self, host: "Host", share: float) -> None:
        """Kill or pause a host in a share of the cases."""
        if self.rng.random() < share:
            self.rng.choice((host.kill, host.pause))()

    def send_attempt(self) -> None:
        """Send a new request, or a known one again, to any host."""
        known = [key for key, count in self.attempts.items() if count < MAX_ATTEMPTS]
        if not self.attempts or (len(self.attempts) < 2 and self.rng.random() < 0.1):
            offset_ms = self.rng.randint(-800, 800)
            key = make_key(self.now_ms + offset_ms, self.serial)
            self.attempts[key] = 0
        elif known:
            key = self.rng.choice(known)
        else:
            return
        self.attempts[key] += 1
        body = "other" if self.rng.random() < 0.04 else "usual"
        attempt = Attempt(key, self.attempts[key], body)
        if self.rng.random() < 0.2:
            self.delayed.append(attempt)
        else:
            self.receive(attempt)

    def receive(self, attempt: Attempt) -> None:
        """Let a request reach any host."""
        host = self.rng.choice(self.hosts)
        if host.is_paused():
            self.events["request lost"] += 1
            return
        host.receive(attempt)

    def deliver(self) -> None:
        """Let a request or an append arrive, late, twice or never."""
        if self.delayed and self.rng.random() < 0.1:
            self.events["request delayed"] += 1
            self.receive(self.delayed.pop(self.rng.randrange(len(self.delayed))))
            return
        if not self.in_flight:
            return
        at = self.rng.randrange(len(self.in_flight))
        if self.rng.random() < 0.1:
            self.events["append lost"] += 1
            del self.in_flight[at]
        elif self.log_up:
            self.log.append((self.now_ms, self.in_flight[at]))
            if self.rng.random() < 0.2:
                self.events["append repeated"] += 1
            else:
                del self.in_flight[at]

    def take_back(self, record_id: str) -> bool:
        """Withdraw an append that certainly never took effect, if there is one."""
        if any(record.record_id == record_id for _, record in self.log):
            return False
        kept = [record for record in self.in_flight if record.record_id != record_id]
        found = len(kept) < len(self.in_flight)
        self.in_flight = kept
        return found

    def change_log(self) -> None:
        """Stop or start the log, write a checkpoint, or trim to the retention."""
        choice = self.rng.random()
        if choice < (0.2 if self.log_up else 0.8):
            self.log_up = not self.log_up
            self.events["log outage"] += not self.log_up
        elif choice < 0.6 and self.log_up:
            writer = self.hosts[0].writer
            now = Instant(self.now_ms, self.now_ms)
            body = CheckpointNote(len(self.log) - 1)
            record = make_record(self.make_id(), "checkpoint", writer, now, body)
            self.log.append((self.now_ms, record))
            self.trim()
        else:
            self.trim()

    def trim(self) -> None:
        """Expire the records that are older than the retention."""
        if not self.expires:
            return
        oldest_ms = self.now_ms - POLICY.log_retention_s * 1000
        while (
            self.first_offset < len(self.log)
            and self.log[self.first_offset][0] < oldest_ms
        ):
            self.first_offset += 1
            self.events["record expired"] += 1

    def run(self, attempt: Attempt) -> None:
        """Run a request at the upstream, which does not recognise repetitions."""
        self.runs.append(attempt)
        self.events["run"] += 1

    def tell(self, attempt: Attempt, outcome: Outcome) -> None:
        """Answer a caller."""
        self.told.append((attempt, outcome))
        self.events[f"told {outcome}"] += 1

    def has_run_twice(self) -> bool:
        """Return whether any key ran more than once."""
        counts = collections.Counter(attempt.key for attempt in self.runs)
        return any(count > 1 for count in counts.values())

    def has_false_refusal(self) -> bool:
        """Return whether "not run" was told although this or an earlier attempt ran."""
        return any(
            outcome is Outcome.NOT_RUN
            and any(r.key == a.key and r.number <= a.number for r in self.runs)
            for a, outcome in self.told
        )


@attrs.frozen
class CheckpointNote:
    """Body of a record that the fold of claims has to pass over."""

    upto_offset: int


class Host:
    """An entry host; `reset` forgets everything, as a restart does."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.host_id = HostId(name)
        # Two hosts differ by at most the assumed skew of 2,000 ms.
        self.clock_offset_ms = world.rng.randint(-1_000, 1_000)
        self.paused_until_ms = 0
        self.runs_started = 0
        self.restart()

    def restart(self) -> None:
        """Start a new process on this host."""
        self.runs_started += 1
        self.writer = Writer(self.host_id, Incarnation(self.runs_started, 0))
        self.tasks: list[Task] = []
        self.reset()

    def reset(self) -> None:
        """Set up the memory of a new process."""
        raise NotImplementedError

    def receive(self, attempt: Attempt) -> None:
        """Handle a request."""
        raise NotImplementedError

    def read(self) -> None:
        """Read some entries of the log."""
        raise NotImplementedError

    def advance(self, task: Task) -> None:
        """Take the next step of a task."""
        raise NotImplementedError

    def now(self) -> Instant:
        """Return the present time by this host's clock."""
        wall_ms = self.world.now_ms + self.clock_offset_ms
        return Instant(wall_ms, self.world.now_ms)

    def is_paused(self) -> bool:
        """Return whether the process is stopped."""
        return self.world.now_ms < self.paused_until_ms

    def pause(self) -> None:
        """Stop the process for a while; it does not notice."""
        self.world.events["pause"] += 1
        pause_ms = self.world.rng.choice(PAUSES_MS)
        self.paused_until_ms = self.world.now_ms + pause_ms

    def kill(self) -> None:
        """End the process; its appends may still arrive."""
        phases = {self.describe(task) for task in self.tasks}
        self.world.events.update(f"killed {phase}" for phase in phases)
        if self.world.rng.random() < 0.5:
            self.world.in_flight = [
                record
                for record in self.world.in_flight
                if (record.writer, record.incarnation)
                != (self.host_id, self.writer.incarnation)
            ]
        self.restart()

    def describe(self, task: Task) -> str:
        """Return the phase of a task, for the counts."""
        if task.has_run:
            return "after send"
        return "before send" if task.cleared else "before claim"

    def step(self) -> None:
        """Read the log or work on a task; the process may stop right after it."""
        if not self.tasks or self.world.rng.random() < 0.4:
            self.read()
            return
        task = self.world.rng.choice(self.tasks)
        self.advance(task)
        self.world.stop(self, self.world.stop_share)

    def next_entries(self, next_offset: int) -> list[LogEntry]:
        """Return the entries that one read yields; a slow log yields few."""
        if not self.world.log_up:
            return []
        count = self.world.rng.choice((1, 3, 100))
        page = self.world.log[next_offset : next_offset + count]
        return [
            LogEntry(at, record) for at, (_, record) in enumerate(page, next_offset)
        ]

    def send_record(self, record: Record) -> None:
        """Hand a record to the network."""
        self.world.in_flight.append(record)


def make_key(created_ms: int, serial: int) -> str:
    """Return a UUIDv7 with a given time, the same in every run."""
    number = (created_ms << 80) | (0x7 << 76) | (0b10 << 62) | serial
    return str(uuid.UUID(int=number))
