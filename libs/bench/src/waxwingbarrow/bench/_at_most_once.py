"""Search for requests that run twice, by simulation under random schedules of faults.

The claims design and a naive design are simulated with the same kinds of schedules. In
the naive design a host holds a lease on all keys, another host takes the lease over
after its expiry, and fencing tokens are to stop the old holder, but the upstream
ignores them. The naive design must fail, which shows that the schedules detect double
runs.
"""

import collections
import random

import attrs
from result import Err

from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.bench._schedules import CLAIM_POLICY, Attempt, Host, Simulation, Task
from waxwingbarrow.claims import (
    AbandonedClaimWon,
    Append,
    ClaimIdentity,
    ClaimLedger,
    Join,
    LocalClaims,
    MaySend,
    PendingClaim,
    Settled,
    check_key,
    find_refusal,
    make_answer,
    refuse_unclaimed,
)
from waxwingbarrow.core import (
    AccountId,
    Instant,
    NoUpstream,
    Outcome,
    Refusal,
    ServiceName,
)
from waxwingbarrow.state import (
    Accepted,
    LeaseBody,
    LeaseObservations,
    LeasePolicy,
    OwnLease,
    TakeLease,
    apply,
    confirm_lease,
    decide_lease,
    make_control_record,
    make_initial_state,
    make_record,
)

STEPS_PER_SCHEDULE = 150
REQUEST_DEADLINE_MS = 3_000
LEASE_NAME = "all keys"
LEASE_POLICY = LeasePolicy(
    duration_ms=5_000, max_clock_skew_ms=2_000, order_timeout_ms=2_000
)


class ClaimHost(Host):
    """Host that appends a claim to the log before it sends a request."""

    def reset(self) -> None:
        """Initialise an empty ledger at the first offset that the log retains."""
        ledger = ClaimLedger(self.simulation.first_offset)
        self.local = LocalClaims(
            ledger, self.writer, CLAIM_POLICY, self.simulation.is_presumed_ended
        )

    def receive(self, attempt: Attempt) -> None:
        """Check the key, then claim it, join a running task or answer at once."""
        now = self.now()
        checked = check_key(attempt.key, now, CLAIM_POLICY, attempt.is_first)
        if isinstance(checked, Err):
            self.simulation.respond(attempt, checked.unwrap_err().outcome)
            return
        key = checked.unwrap()
        identity = ClaimIdentity(AccountId("a"), ServiceName("s"), key.text)
        claim_id = self.simulation.make_id()
        decision = self.local.begin(
            identity, key, attempt.body_digest, attempt.is_first, claim_id, now
        )
        match decision:
            case Append(claim, record):
                deadline_ms = now.mono_ms + REQUEST_DEADLINE_MS
                self.tasks.append(Task([attempt], deadline_ms, claim))
                self.send_record(record)
            case Join(claim) if claim.answer is not None:
                self.simulation.respond(attempt, claim.answer.outcome)
            case Join(claim):
                self.find_task(claim).attempts.append(attempt)
                self.simulation.events["joined"] += 1
            case _:
                self.respond_all([attempt], find_refusal(decision))

    def find_task(self, claim: PendingClaim) -> Task:
        """Return the task that works on a claim."""
        return next(task for task in self.tasks if task.claim is claim)

    def respond_all(self, attempts: list[Attempt], refusal: Refusal | None) -> None:
        """Answer callers with a refusal, or as completed if it is None."""
        for attempt in attempts:
            if refusal is None:
                self.simulation.respond(attempt, Outcome.COMPLETED)
            else:
                own = refuse_unclaimed(refusal, attempt.is_first)
                self.simulation.respond(attempt, own.outcome)

    def finish(self, task: Task, refusal: Refusal | None) -> None:
        """Remove a task and answer all its callers."""
        self.tasks.remove(task)
        self.respond_all(task.attempts, refusal)

    def read_log(self) -> None:
        """Apply entries and continue or end the tasks whose claims they settle."""
        if self.simulation.is_log_up:
            self.local.trim(self.simulation.first_offset)
        for entry in self.fetch_entries(self.local.ledger.next_offset):
            match self.local.apply(entry, self.now()):
                case Settled(claim, MaySend()):
                    self.find_task(claim).may_send = True
                case Settled(claim, decision, must_release):
                    if must_release:
                        self.release(claim)
                    self.simulation.events[f"decided {type(decision).__name__}"] += 1
                    self.finish(self.find_task(claim), find_refusal(decision))
                case AbandonedClaimWon(claim):
                    self.simulation.events["abandoned claim reappeared"] += 1
                    self.release(claim)

    def release(self, claim: PendingClaim) -> None:
        """Append a record that releases a claim."""
        self.send_record(
            self.local.release(claim, self.simulation.make_id(), self.now())
        )

    def advance(self, task: Task) -> None:
        """Wait for the claim, send, run, or record the outcome: one step per call."""
        claim, rng = task.claim, self.simulation.rng
        assert claim is not None
        is_late = self.now().mono_ms > task.deadline_ms
        match claim.state:
            case "appending":
                if is_late:
                    self.finish(task, self.local.abandon(claim))
                elif rng.random() < 0.05 and self.simulation.cancel_append(
                    claim.own.claim_id
                ):
                    self.finish(task, self.local.fail_append(claim))
            case "won" if is_late or rng.random() < 0.15:
                self.release(claim)
                self.finish(task, NoUpstream())
            case "won":
                self.local.start_sending(claim)
                if rng.random() < 0.15:
                    self.simulation.events["connection refused"] += 1
                    self.local.mark_unsent(claim)
            case "sent" if not task.has_run:
                task.has_run = True
                self.simulation.run_request(task.attempts[0])
            case "sent" if rng.random() < 0.7:
                answer = make_answer(200, "text/plain", b"done", CLAIM_POLICY)
                record_id = self.simulation.make_id()
                self.send_record(
                    self.local.complete(claim, answer, record_id, self.now())
                )
                self.finish(task, None)
            case "sent":
                record_id = self.simulation.make_id()
                self.send_record(self.local.lose_response(claim, record_id, self.now()))
                self.tasks.remove(task)
                for attempt in task.attempts:
                    self.simulation.respond(attempt, Outcome.UNKNOWN)


@attrs.frozen
class DoneBody:
    """Body of the naive design's record that the request of a key has run."""

    key: str


class LeaseHost(Host):
    """Host of the naive design: sends while it holds the lease on all keys."""

    def reset(self) -> None:
        """Initialise the lease state and the completed keys of a new process."""
        self.state = make_initial_state(0)
        self.observations = LeaseObservations()
        self.own: OwnLease | None = None
        self.requested_at: dict[str, Instant] = {}
        self.completed_keys: set[str] = set()

    def receive(self, attempt: Attempt) -> None:
        """Queue a request until this host holds the lease."""
        deadline_ms = self.now().mono_ms + REQUEST_DEADLINE_MS
        self.tasks.append(Task([attempt], deadline_ms))

    def read_log(self) -> None:
        """Apply the records of leases and of completed requests."""
        for entry in self.fetch_entries(self.state.next_offset):
            self.state, apply_result = apply(self.state, entry, lambda _: True)
            record = entry.record
            if record.kind == "done":
                self.completed_keys.add(record.body["key"])
            elif (
                isinstance(apply_result, Accepted)
                and record.record_id in self.requested_at
            ):
                lease = self.state.leases[LEASE_NAME]
                self.own = confirm_lease(lease, self.requested_at[record.record_id])
        self.observations = self.observations.observe(self.state.leases, self.now())
        self.request_lease()

    def request_lease(self) -> None:
        """Request, renew or take over the lease when the lease policy allows it."""
        decision = decide_lease(
            LEASE_NAME,
            self.state.leases,
            self.observations,
            self.own,
            self.writer,
            False,
            LEASE_POLICY,
            self.now(),
        )
        if isinstance(decision, TakeLease):
            body = LeaseBody(
                LEASE_NAME,
                self.host_id,
                LEASE_POLICY.duration_ms,
                decision.base_fencing,
            )
            record_id = self.simulation.make_id()
            self.requested_at[record_id] = self.now()
            self.send_record(
                make_control_record(record_id, body, self.writer, self.now())
            )

    def advance(self, task: Task) -> None:
        """Check the lease, run, or record the completion: one step per call."""
        attempt = task.attempts[0]
        if task.has_run:
            record_id, body = self.simulation.make_id(), DoneBody(attempt.key)
            self.completed_keys.add(attempt.key)
            self.send_record(
                make_record(record_id, "done", self.writer, self.now(), body)
            )
            self.finish(task, Outcome.COMPLETED)
        elif task.may_send:
            task.has_run = True
            self.simulation.run_request(attempt)
        elif attempt.key in self.completed_keys:
            self.finish(task, Outcome.COMPLETED)
        elif self.own is not None and self.own.is_valid(self.now()):
            task.may_send = True
        elif self.now().mono_ms > task.deadline_ms:
            self.finish(task, Outcome.NOT_RUN)

    def finish(self, task: Task, outcome: Outcome) -> None:
        """Remove a task and answer its caller."""
        self.tasks.remove(task)
        self.simulation.respond(task.attempts[0], outcome)


def run_schedule(
    seed: int, host_type: type[Host], steps: int = STEPS_PER_SCHEDULE
) -> Simulation:
    """Simulate one schedule of faults.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    host_type : type
        `ClaimHost` or `LeaseHost`.
    steps : int
        Number of random steps.

    Returns
    -------
    Simulation
        The final state, with all runs and responses.
    """
    # The log keeps all records of the naive design, so that only the lease causes its
    # violations.
    expires_records = not issubclass(host_type, LeaseHost)
    simulation = Simulation(random.Random(seed), host_type, expires_records)
    for _ in range(steps):
        simulation.step()
    return simulation


def run_at_most_once(schedules: int, seed: int) -> PromiseResult:
    """Simulate schedules with both designs and count the violations.

    Parameters
    ----------
    schedules : int
        Number of schedules for each design.
    seed : int
        Determines the seeds of all schedules.

    Returns
    -------
    PromiseResult
        Cases are schedules.
    """
    violations = naive_violations = naive_false_refusals = 0
    events: collections.Counter[str] = collections.Counter()
    first_seed = seed * 1_000_003
    for schedule_seed in range(first_seed, first_seed + schedules):
        simulation = run_schedule(schedule_seed, ClaimHost)
        violations += simulation.has_run_twice() or simulation.has_false_refusal()
        events.update(simulation.events)
        naive = run_schedule(schedule_seed, LeaseHost)
        naive_violations += naive.has_run_twice()
        naive_false_refusals += naive.has_false_refusal()
    return PromiseResult(
        cases=schedules,
        violations=violations,
        naive_violations=naive_violations,
        naive_false_refusals=naive_false_refusals,
        events=dict(sorted(events.items())),
    )
