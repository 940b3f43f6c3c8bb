"""Attempts to run a non-repeatable request twice under generated schedules of faults.

The claims design and a naive one go through the same kinds of schedules. The naive
design holds a lease on all keys, takes it over after its expiry, and relies on fencing
tokens, which the upstream ignores. It must fail: this shows that the schedules are
able to find the fault.
"""

import collections
import random

import attrs
from result import Err

from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.bench._schedules import POLICY, Attempt, Host, Task, World
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

STEPS = 150
DEADLINE_MS = 3_000
LEASE_NAME = "all keys"
LEASE_POLICY = LeasePolicy(
    duration_ms=5_000, max_clock_skew_ms=2_000, order_timeout_ms=2_000
)


class ClaimHost(Host):
    """Host of the claims design."""

    def reset(self) -> None:
        """Set up an empty ledger at the first offset that the log still has."""
        ledger = ClaimLedger(self.world.first_offset)
        self.local = LocalClaims(ledger, self.writer, POLICY, self.world.has_ended)

    def receive(self, attempt: Attempt) -> None:
        """Check the key, then claim it, join a task or answer at once."""
        now = self.now()
        checked = check_key(attempt.key, now, POLICY, attempt.is_first)
        if isinstance(checked, Err):
            self.world.tell(attempt, checked.unwrap_err().outcome)
            return
        key = checked.unwrap()
        identity = ClaimIdentity(AccountId("a"), ServiceName("s"), key.text)
        claim_id = self.world.make_id()
        decision = self.local.begin(
            identity, key, attempt.body_digest, attempt.is_first, claim_id, now
        )
        match decision:
            case Append(claim, record):
                deadline_ms = now.mono_ms + DEADLINE_MS
                self.tasks.append(Task([attempt], deadline_ms, claim))
                self.send_record(record)
            case Join(claim) if claim.answer is not None:
                self.world.tell(attempt, claim.answer.outcome)
            case Join(claim):
                self.find_task(claim).attempts.append(attempt)
                self.world.events["joined"] += 1
            case _:
                self.tell_all([attempt], find_refusal(decision))

    def find_task(self, claim: PendingClaim) -> Task:
        """Return the task of a claim."""
        return next(task for task in self.tasks if task.claim is claim)

    def tell_all(self, attempts: list[Attempt], refusal: Refusal | None) -> None:
        """Answer callers with a refusal, or with the recorded answer if it is None."""
        for attempt in attempts:
            if refusal is None:
                self.world.tell(attempt, Outcome.COMPLETED)
            else:
                own = refuse_unclaimed(refusal, attempt.is_first)
                self.world.tell(attempt, own.outcome)

    def finish(self, task: Task, refusal: Refusal | None) -> None:
        """Answer all callers of a task and end it."""
        self.tasks.remove(task)
        self.tell_all(task.attempts, refusal)

    def read(self) -> None:
        """Apply entries and act on the own claims among them."""
        if self.world.log_up:
            self.local.trim(self.world.first_offset)
        for entry in self.next_entries(self.local.ledger.next_offset):
            match self.local.apply(entry, self.now()):
                case Settled(claim, MaySend()):
                    self.find_task(claim).cleared = True
                case Settled(claim, decision, must_release):
                    if must_release:
                        self.release(claim)
                    self.world.events[f"decided {type(decision).__name__}"] += 1
                    self.finish(self.find_task(claim), find_refusal(decision))
                case AbandonedClaimWon(claim):
                    self.world.events["abandoned claim reappeared"] += 1
                    self.release(claim)

    def release(self, claim: PendingClaim) -> None:
        """Give up a claim in the log."""
        self.send_record(self.local.release(claim, self.world.make_id(), self.now()))

    def advance(self, task: Task) -> None:
        """Wait for the claim, send, run, and record the outcome, one step each."""
        claim, rng = task.claim, self.world.rng
        assert claim is not None
        late = self.now().mono_ms > task.deadline_ms
        match claim.state:
            case "appending":
                if late:
                    self.finish(task, self.local.abandon(claim))
                elif rng.random() < 0.05 and self.world.take_back(claim.own.claim_id):
                    self.finish(task, self.local.fail_append(claim))
            case "won" if late or rng.random() < 0.15:
                self.release(claim)
                self.finish(task, NoUpstream())
            case "won":
                self.local.start_sending(claim)
                if rng.random() < 0.15:
                    self.world.events["connection refused"] += 1
                    self.local.mark_unsent(claim)
            case "sent" if not task.has_run:
                task.has_run = True
                self.world.run(task.attempts[0])
            case "sent" if rng.random() < 0.7:
                answer = make_answer(200, "text/plain", b"done", POLICY)
                record_id = self.world.make_id()
                self.send_record(
                    self.local.complete(claim, answer, record_id, self.now())
                )
                self.finish(task, None)
            case "sent":
                record_id = self.world.make_id()
                self.send_record(self.local.lose_response(claim, record_id, self.now()))
                self.tasks.remove(task)
                for attempt in task.attempts:
                    self.world.tell(attempt, Outcome.UNKNOWN)


@attrs.frozen
class DoneBody:
    """Notes, in the naive design, that the request of a key has run."""

    key: str


class LeaseHost(Host):
    """Host of the naive design."""

    def reset(self) -> None:
        """Set up the memory of a new process."""
        self.state = make_initial_state(0)
        self.observations = LeaseObservations()
        self.own: OwnLease | None = None
        self.asked_at: dict[str, Instant] = {}
        self.done: set[str] = set()

    def receive(self, attempt: Attempt) -> None:
        """Take on a request; it is sent once this host holds the lease."""
        deadline_ms = self.now().mono_ms + DEADLINE_MS
        self.tasks.append(Task([attempt], deadline_ms))

    def read(self) -> None:
        """Apply entries: leases and notes of requests that have run."""
        for entry in self.next_entries(self.state.next_offset):
            self.state, apply_result = apply(self.state, entry, lambda _: True)
            record = entry.record
            if record.kind == "done":
                self.done.add(record.body["key"])
            elif (
                isinstance(apply_result, Accepted) and record.record_id in self.asked_at
            ):
                lease = self.state.leases[LEASE_NAME]
                self.own = confirm_lease(lease, self.asked_at[record.record_id])
        self.observations = self.observations.observe(self.state.leases, self.now())
        self.ask_for_lease()

    def ask_for_lease(self) -> None:
        """Take, renew or take over the lease as the rules for leases allow."""
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
            record_id = self.world.make_id()
            self.asked_at[record_id] = self.now()
            self.send_record(
                make_control_record(record_id, body, self.writer, self.now())
            )

    def advance(self, task: Task) -> None:
        """Check the lease, run, and note it, one step each."""
        attempt = task.attempts[0]
        if task.has_run:
            record_id, body = self.world.make_id(), DoneBody(attempt.key)
            self.done.add(attempt.key)
            self.send_record(
                make_record(record_id, "done", self.writer, self.now(), body)
            )
            self.finish(task, Outcome.COMPLETED)
        elif task.cleared:
            task.has_run = True
            self.world.run(attempt)
        elif attempt.key in self.done:
            self.finish(task, Outcome.COMPLETED)
        elif self.own is not None and self.own.is_valid(self.now()):
            task.cleared = True
        elif self.now().mono_ms > task.deadline_ms:
            self.finish(task, Outcome.NOT_RUN)

    def finish(self, task: Task, outcome: Outcome) -> None:
        """Answer the caller and end the task."""
        self.tasks.remove(task)
        self.world.tell(task.attempts[0], outcome)


def run_schedule(seed: int, host_type: type[Host], steps: int = STEPS) -> World:
    """Run one schedule.

    Parameters
    ----------
    seed : int
        Determines the schedule.
    host_type : type
        `ClaimHost` or `LeaseHost`.
    steps : int
        Number of random steps.

    Returns
    -------
    World
        The world at the end, with its runs and responses.
    """
    # Without expiry the naive design keeps all its notes, so that its faults are those
    # of the lease alone.
    expires = not issubclass(host_type, LeaseHost)
    world = World(random.Random(seed), host_type, expires)
    for _ in range(steps):
        world.step()
    return world


def run_at_most_once(schedules: int, seed: int) -> PromiseResult:
    """Run schedules with both designs and count the violations.

    Parameters
    ----------
    schedules : int
        Number of schedules for each design.
    seed : int
        Seed of the first schedule; the others follow from it.

    Returns
    -------
    PromiseResult
        The counts.
    """
    violations = naive_violations = naive_false_refusals = 0
    events: collections.Counter[str] = collections.Counter()
    first = seed * 1_000_003
    for number in range(first, first + schedules):
        world = run_schedule(number, ClaimHost)
        violations += world.has_run_twice() or world.has_false_refusal()
        events.update(world.events)
        naive = run_schedule(number, LeaseHost)
        naive_violations += naive.has_run_twice()
        naive_false_refusals += naive.has_false_refusal()
    return PromiseResult(
        cases=schedules,
        violations=violations,
        naive_violations=naive_violations,
        naive_false_refusals=naive_false_refusals,
        events=dict(sorted(events.items())),
    )
