"""Simulation of callers, entry hosts, one log and one upstream under random faults."""

import collections
import random
import uuid

import attrs

from waxwingbarrow.claims import ClaimPolicy, PendingClaim
from waxwingbarrow.core import HostId, Incarnation, Instant, Outcome
from waxwingbarrow.state import LogEntry, Record, Writer, make_record

START_MS = 1_700_000_000_000
CLAIM_POLICY = ClaimPolicy(
    key_max_age_s=50, log_retention_s=60, max_clock_skew_ms=2_000
)
MAX_ATTEMPTS = 6
PAUSE_DURATIONS_MS = (200, 4_000, 30_000, 120_000)  # the last exceeds log retention
# Up to and beyond the maximum key age and the log's retention, where claims start to
# expire.
TIME_JUMPS_MS = (10_000, 20_000, 47_000, 70_000)


@attrs.frozen
class Attempt:
    """One attempt of a caller; numbers start at 1 for each key."""

    key: str
    number: int
    body_digest: str

    @property
    def is_first(self) -> bool:
        """Whether the caller declares that it sent nothing under this key before."""
        return self.number == 1


@attrs.define(eq=False)
class Task:
    """Work of a host on one claim or, in the naive design, on one attempt.

    Parameters
    ----------
    attempts : list of Attempt
        Attempts that wait for the outcome.
    deadline_ms : int
        Monotonic time in ms from which the host gives up an unsent request.
    claim : PendingClaim or None
        Claim of the key; None in the naive design.
    may_send : bool
        Whether the claim or the lease permits sending the request.
    has_run : bool
        Whether the request ran at the upstream.
    """

    attempts: list[Attempt]
    deadline_ms: int
    claim: PendingClaim | None = None
    may_send: bool = False
    has_run: bool = False


class Simulation:
    """State of the hosts, the log, the upstream and the network between them.

    Parameters
    ----------
    rng : random.Random
        Source of all choices.
    host_type : type
        Host class of the design under test.
    expires_records : bool
        Whether the log drops records that are older than its retention.
    """

    def __init__(
        self, rng: random.Random, host_type: type["Host"], expires_records: bool
    ) -> None:
        self.rng = rng
        self.expires_records = expires_records
        self.now_ms = START_MS
        self.log: list[tuple[int, Record]] = []
        self.first_offset = 0
        self.is_log_up = True
        self.in_flight_appends: list[Record] = []
        self.delayed_attempts: list[Attempt] = []
        self.time_jump_probability = rng.choice((0.0, 0.01, 0.06))
        self.stop_probability = rng.choice((0.02, 0.08, 0.2))
        self.runs: list[Attempt] = []
        self.responses: list[tuple[Attempt, Outcome]] = []
        self.events: collections.Counter[str] = collections.Counter()
        self.serial = 0
        self.attempts: dict[str, int] = {}
        self.hosts = [host_type(self, f"h{i}") for i in range(rng.randint(2, 4))]

    def make_id(self) -> str:
        """Return an identifier that is unique in this simulation."""
        self.serial += 1
        return f"id{self.serial}"

    def is_presumed_ended(self, host_id: HostId, incarnation: Incarnation) -> bool:
        """Return whether a process appears to have ended; a paused one does too."""
        host = next(host for host in self.hosts if host.host_id == host_id)
        return host.writer.incarnation != incarnation or host.is_paused()

    def step(self) -> None:
        """Execute one random action, then advance the clock."""
        choice = self.rng.random()
        if choice < 0.08:
            self.send_attempt()
        elif choice < 0.30:
            self.deliver()
        elif choice < 0.36:
            self.change_log_state()
        else:
            host = self.rng.choice(self.hosts)
            if not host.is_paused():
                host.step()
            self.stop_at_random(host, self.stop_probability / 4)
        self.now_ms += self.rng.choice((0, 1, 5, 20, 100, 500))
        if self.rng.random() < self.time_jump_probability:
            self.now_ms += self.rng.choice(TIME_JUMPS_MS)
            if self.rng.random() < 0.5:
                self.trim()

    def stop_at_random(self, host: "Host", probability: float) -> None:
        """Kill or pause a host with the given probability."""
        if self.rng.random() < probability:
            self.rng.choice((host.kill, host.pause))()

    def send_attempt(self) -> None:
        """Send a new request, or repeat an earlier one, to a random host."""
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
            self.delayed_attempts.append(attempt)
        else:
            self.receive(attempt)

    def receive(self, attempt: Attempt) -> None:
        """Deliver a request to a random host; a paused host loses it."""
        host = self.rng.choice(self.hosts)
        if host.is_paused():
            self.events["request lost"] += 1
            return
        host.receive(attempt)

    def deliver(self) -> None:
        """Deliver a delayed request, or store, repeat or lose an append in flight."""
        if self.delayed_attempts and self.rng.random() < 0.1:
            self.events["request delayed"] += 1
            self.receive(
                self.delayed_attempts.pop(
                    self.rng.randrange(len(self.delayed_attempts))
                )
            )
            return
        if not self.in_flight_appends:
            return
        position = self.rng.randrange(len(self.in_flight_appends))
        if self.rng.random() < 0.1:
            self.events["append lost"] += 1
            del self.in_flight_appends[position]
        elif self.is_log_up:
            self.log.append((self.now_ms, self.in_flight_appends[position]))
            if self.rng.random() < 0.2:
                self.events["append repeated"] += 1
            else:
                del self.in_flight_appends[position]

    def cancel_append(self, record_id: str) -> bool:
        """Drop an append that was never stored; return whether one was in flight."""
        if any(record.record_id == record_id for _, record in self.log):
            return False
        kept = [
            record for record in self.in_flight_appends if record.record_id != record_id
        ]
        found = len(kept) < len(self.in_flight_appends)
        self.in_flight_appends = kept
        return found

    def change_log_state(self) -> None:
        """Stop or start the log, write a checkpoint, or drop expired records."""
        choice = self.rng.random()
        if choice < (0.2 if self.is_log_up else 0.8):
            self.is_log_up = not self.is_log_up
            self.events["log outage"] += not self.is_log_up
        elif choice < 0.6 and self.is_log_up:
            writer = self.hosts[0].writer
            now = Instant(self.now_ms, self.now_ms)
            body = StubCheckpointBody(len(self.log) - 1)
            record = make_record(self.make_id(), "checkpoint", writer, now, body)
            self.log.append((self.now_ms, record))
            self.trim()
        else:
            self.trim()

    def trim(self) -> None:
        """Drop the records that are older than the retention."""
        if not self.expires_records:
            return
        oldest_ms = self.now_ms - CLAIM_POLICY.log_retention_s * 1000
        while (
            self.first_offset < len(self.log)
            and self.log[self.first_offset][0] < oldest_ms
        ):
            self.first_offset += 1
            self.events["record expired"] += 1

    def run_request(self, attempt: Attempt) -> None:
        """Run a request at the upstream, which does not deduplicate requests."""
        self.runs.append(attempt)
        self.events["run"] += 1

    def respond(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome that a caller receives for an attempt."""
        self.responses.append((attempt, outcome))
        self.events[f"told {outcome}"] += 1

    def has_run_twice(self) -> bool:
        """Return whether any key ran more than once."""
        counts = collections.Counter(attempt.key for attempt in self.runs)
        return any(count > 1 for count in counts.values())

    def has_false_refusal(self) -> bool:
        """Return whether a caller got "not run" although this or an earlier one ran."""
        return any(
            outcome is Outcome.NOT_RUN
            and any(
                run.key == answered.key and run.number <= answered.number
                for run in self.runs
            )
            for answered, outcome in self.responses
        )


@attrs.frozen
class StubCheckpointBody:
    """Body of a checkpoint record, which the claims ledger has to skip."""

    upto_offset: int


class Host:
    """Entry host; subclasses implement the design and keep its memory in `reset`."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.host_id = HostId(name)
        # The clocks of two hosts differ by at most 2,000 ms, the `max_clock_skew_ms`
        # of `CLAIM_POLICY`.
        self.clock_offset_ms = simulation.rng.randint(-1_000, 1_000)
        self.paused_until_ms = 0
        self.process_starts = 0
        self.restart()

    def restart(self) -> None:
        """Start a new process, which remembers nothing of the previous one."""
        self.process_starts += 1
        self.writer = Writer(self.host_id, Incarnation(self.process_starts, 0))
        self.tasks: list[Task] = []
        self.reset()

    def reset(self) -> None:
        """Initialise the memory of a new process."""
        raise NotImplementedError

    def receive(self, attempt: Attempt) -> None:
        """Handle one attempt of a caller."""
        raise NotImplementedError

    def read_log(self) -> None:
        """Read and apply some entries of the log."""
        raise NotImplementedError

    def advance(self, task: Task) -> None:
        """Execute the next step of a task."""
        raise NotImplementedError

    def now(self) -> Instant:
        """Return the current time by this host's clock."""
        wall_ms = self.simulation.now_ms + self.clock_offset_ms
        return Instant(wall_ms, self.simulation.now_ms)

    def is_paused(self) -> bool:
        """Return whether the process is paused."""
        return self.simulation.now_ms < self.paused_until_ms

    def pause(self) -> None:
        """Pause the process for a random time, which it cannot detect."""
        self.simulation.events["pause"] += 1
        pause_ms = self.simulation.rng.choice(PAUSE_DURATIONS_MS)
        self.paused_until_ms = self.simulation.now_ms + pause_ms

    def kill(self) -> None:
        """End the process and start a new one; its appends may still be stored."""
        phases = {self.describe_phase(task) for task in self.tasks}
        self.simulation.events.update(f"killed {phase}" for phase in phases)
        if self.simulation.rng.random() < 0.5:
            self.simulation.in_flight_appends = [
                record
                for record in self.simulation.in_flight_appends
                if (record.writer, record.incarnation)
                != (self.host_id, self.writer.incarnation)
            ]
        self.restart()

    def describe_phase(self, task: Task) -> str:
        """Return the phase of a task, as the names of events contain it."""
        if task.has_run:
            return "after send"
        return "before send" if task.may_send else "before claim"

    def step(self) -> None:
        """Read the log, or advance a task and possibly kill or pause the process."""
        if not self.tasks or self.simulation.rng.random() < 0.4:
            self.read_log()
            return
        task = self.simulation.rng.choice(self.tasks)
        self.advance(task)
        self.simulation.stop_at_random(self, self.simulation.stop_probability)

    def fetch_entries(self, next_offset: int) -> list[LogEntry]:
        """Return the entries of one read: none in an outage, otherwise up to 100."""
        if not self.simulation.is_log_up:
            return []
        count = self.simulation.rng.choice((1, 3, 100))
        page = self.simulation.log[next_offset : next_offset + count]
        return [
            LogEntry(position, record)
            for position, (_, record) in enumerate(page, next_offset)
        ]

    def send_record(self, record: Record) -> None:
        """Send an append of a record to the log."""
        self.simulation.in_flight_appends.append(record)


def make_key(created_ms: int, serial: int) -> str:
    """Return a UUIDv7 with a given creation time, without random bits."""
    number = (created_ms << 80) | (0x7 << 76) | (0b10 << 62) | serial
    return str(uuid.UUID(int=number))
