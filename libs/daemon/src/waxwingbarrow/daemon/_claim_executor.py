"""At-most-once execution of non-repeatable requests."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs
import uuid6
from result import Err, Ok, Result

from waxwingbarrow.claims import (
    AbandonedClaimWon,
    Answer,
    Append,
    ClaimIdentity,
    ClaimLedger,
    ClaimPolicy,
    InProgress,
    Join,
    KeyUnknown,
    LocalClaims,
    MaySend,
    PendingClaim,
    ReplayAnswer,
    Settled,
    WaitForTail,
    check_key,
    compute_body_digest,
    decide_query,
    find_refusal,
    make_answer,
    read_key,
    refuse_unclaimed,
)
from waxwingbarrow.core import (
    AccountId,
    Clock,
    ClockSuspect,
    KeyMissing,
    LogUnavailable,
    OutcomeUnknown,
    Refusal,
    ServiceName,
)
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.daemon._requests import CallerRequest
from waxwingbarrow.daemon._send_results import (
    Completed,
    NeverSent,
    ResponseLost,
    Send,
)
from waxwingbarrow.platform import (
    LogAppender,
    LogClient,
    LogReader,
    RawEntry,
    ReaderPolicy,
    Unsettled,
)
from waxwingbarrow.state import Record, Writer, read_entry, write_record

STREAM = "claims"
# Long, because no caller waits for the append of an outcome or a release.
OUTCOME_APPEND_TIMEOUT_MS = 60_000
EXPIRY_INTERVAL_S = 5.0

logger = get_logger("claims")

ExecutionResult = Result[Answer, Refusal]


@attrs.define(eq=False)
class _Execution:
    """Futures of a claim of this host: when it is settled, and its response."""

    settled: asyncio.Future[Settled]
    response: asyncio.Future[ExecutionResult]


class ClaimExecutor:
    """Executes each non-repeatable request at most once, by claims in the log.

    Parameters
    ----------
    writer : Writer
        Identity of this process.
    client : LogClient
        Client of the platform's log.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Source of the jitter of retries.
    policy : ClaimPolicy
        Limits for keys and stored responses.
    has_ended : callable
        Takes a host id and an incarnation; returns whether that process has ended.
    poll_ms : int
        Time for which one read of the log waits for new records.
    append_timeout_ms : int
        Longest duration of an append that a caller waits for.
    """

    def __init__(
        self,
        writer: Writer,
        client: LogClient,
        clock: Clock,
        rng: random.Random,
        policy: ClaimPolicy,
        has_ended: Callable[..., bool],
        poll_ms: int,
        append_timeout_ms: int,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._has_ended = has_ended
        self._append_timeout_ms = append_timeout_ms
        self._claims = LocalClaims(ClaimLedger(), writer, policy, has_ended)
        self._executions: dict[str, _Execution] = {}  # by claim id
        self._tasks: set[asyncio.Task[None]] = set()
        self._entries_applied = asyncio.Event()
        self.reader = LogReader(
            client,
            STREAM,
            self._apply_entries,
            self._trim_expired,
            clock,
            rng,
            policy=ReaderPolicy(wait_ms=poll_ms),
        )
        self.appender = LogAppender(client, STREAM, self.reader, clock, rng)

    @property
    def unfinished_count(self) -> int:
        """Number of executions and appends of records that are in progress."""
        return len(self._tasks)

    async def run(self) -> None:
        """Read the log stream, append records and drop expired claims."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.reader.run(), name="claims-reader")
            group.create_task(self.appender.run(), name="claims-appender")
            group.create_task(self._drop_expired(), name="claims-housekeeping")

    async def finish(self) -> None:
        """Wait until every execution has ended and every outcome is recorded."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def execute(
        self, request: CallerRequest, send: Send, is_clock_suspect: bool
    ) -> ExecutionResult:
        """Run a non-repeatable request unless it has run before.

        Parameters
        ----------
        request : CallerRequest
            The request; its idempotency key identifies the claim.
        send : callable
            Tries upstreams until one may have received the request.
        is_clock_suspect : bool
            Whether the host's clock is unreliable, so that the age of a key is unknown.

        Returns
        -------
        Result
            The answer of the single execution, or a refusal that states whether the
            request has run, if that is known.
        """
        first_attempt = request.first_attempt
        if request.key is None:
            reason = "The route needs an Idempotency-Key header with a UUIDv7."
            return _refuse(KeyMissing(reason=reason), first_attempt)
        if is_clock_suspect:
            return _refuse(ClockSuspect(retry_after_s=5), first_attempt)
        now = self._clock.now()
        checked = check_key(request.key, now, self._policy, first_attempt)
        if isinstance(checked, Err):
            return checked
        key = checked.ok_value
        identity = ClaimIdentity(request.account, request.service, key.text)
        decision = self._claims.begin(
            identity,
            key,
            compute_body_digest(request.route.route, request.body),
            first_attempt,
            str(uuid6.uuid7()),
            now,
        )
        match decision:
            case Append(claim=claim, record=record):
                execution = self._start_execution(claim, record, request, send)
                return await asyncio.shield(execution.response)
            case Join(claim=claim):
                return await self._join(claim, identity, request)
            case _:
                return await self._respond_without_sending(decision, identity, request)

    async def query(
        self, account: AccountId, service: ServiceName, key: str
    ) -> Result[Answer | KeyUnknown, Refusal]:
        """Return the state of a key after reading up to the tail of the log."""
        read = read_key(key)
        if isinstance(read, Err):
            return read
        identity = ClaimIdentity(account, service, read.ok_value.text)
        tail_offset: int | None = None
        deadline = self._clock.now().mono_ms + self._append_timeout_ms
        while True:
            decision = decide_query(
                self._claims.ledger.find(identity),
                read.ok_value,
                self._claims.ledger.next_offset,
                tail_offset,
                self._has_ended,
                self._policy,
                self._clock.now(),
            )
            match decision:
                case WaitForTail():
                    match await self.reader.read_to_tail(deadline):
                        case Ok(offset):
                            tail_offset = offset
                        case Err(failure):
                            reason = failure.detail
                            return _refuse(LogUnavailable(reason=reason), False)
                case ReplayAnswer(answer=answer):
                    return Ok(answer)
                case KeyUnknown():
                    return Ok(decision)
                case _:
                    refusal = find_refusal(decision)
                    assert refusal is not None
                    return Err(refusal)

    # Executing one request.

    def _start_execution(
        self,
        claim: PendingClaim,
        record: Record,
        request: CallerRequest,
        send: Send,
    ) -> _Execution:
        loop = asyncio.get_running_loop()
        execution = _Execution(loop.create_future(), loop.create_future())
        self._executions[claim.own.claim_id] = execution
        # Runs in a separate task, so that it completes even if the caller disconnects.
        self._track_task(self._execute(claim, record, request, send, execution))
        return execution

    async def _execute(
        self,
        claim: PendingClaim,
        record: Record,
        request: CallerRequest,
        send: Send,
        execution: _Execution,
    ) -> None:
        try:
            response = await self._claim_and_send(
                claim, record, request, send, execution
            )
        except Exception:
            logger.exception(
                "Unexpected error while executing request %s.", request.request_id
            )
            response = Err(OutcomeUnknown(reason="The host failed."))
        finally:
            self._executions.pop(claim.own.claim_id, None)
        execution.response.set_result(response)

    async def _claim_and_send(
        self,
        claim: PendingClaim,
        record: Record,
        request: CallerRequest,
        send: Send,
        execution: _Execution,
    ) -> ExecutionResult:
        deadline = min(
            request.deadline_mono_ms,
            self._clock.now().mono_ms + self._append_timeout_ms,
        )
        appended = await self.appender.append(write_record(record), deadline)
        if isinstance(appended, Err) and not execution.settled.done():
            if isinstance(appended.err_value, Unsettled):
                return Err(self._claims.abandon(claim))
            return Err(self._claims.fail_append(claim))
        settled = await self._wait_settled(execution, deadline)
        if settled is None:
            return Err(self._claims.abandon(claim))
        if settled.decision == MaySend():
            return await self._send(claim, request, send)
        if settled.must_release:
            self._release(claim)
        return await self._respond_without_sending(
            settled.decision, claim.own.identity, request
        )

    async def _wait_settled(
        self, execution: _Execution, deadline_mono_ms: int
    ) -> Settled | None:
        left_ms = max(0, deadline_mono_ms - self._clock.now().mono_ms)
        await asyncio.wait([execution.settled], timeout=left_ms / 1000)
        return execution.settled.result() if execution.settled.done() else None

    async def _send(
        self, claim: PendingClaim, request: CallerRequest, send: Send
    ) -> ExecutionResult:
        self._claims.start_sending(claim)
        try:
            sent = await send()
        except Exception:
            logger.exception(
                "Unexpected error while sending request %s.", request.request_id
            )
            sent = ResponseLost("The host failed while it sent the request.")
        record_id = str(uuid6.uuid7())
        now = self._clock.now()
        match sent:
            case Completed(status=status, content_type=content_type, body=body):
                answer = make_answer(status, content_type, body, self._policy)
                record = self._claims.complete(claim, answer, record_id, now)
                self._append_in_background(record)
                # The caller gets the whole body even if it is too large for the log.
                return Ok(attrs.evolve(answer, body=body, body_omitted=False))
            case NeverSent(refusal=refusal):
                self._claims.mark_unsent(claim)
                self._append_in_background(self._claims.release(claim, record_id, now))
                return _refuse(refusal, request.first_attempt)
            case ResponseLost(reason=reason):
                self._append_in_background(
                    self._claims.lose_response(claim, record_id, now)
                )
                return Err(OutcomeUnknown(reason=reason))

    async def _join(
        self, claim: PendingClaim, identity: ClaimIdentity, request: CallerRequest
    ) -> ExecutionResult:
        execution = self._executions.get(claim.own.claim_id)
        if execution is not None:
            response = await asyncio.shield(execution.response)
            # A refusal is definite for a first attempt only; the execution that this
            # request joined may be a first attempt while this one is not.
            return response.map_err(
                lambda refusal: refuse_unclaimed(refusal, request.first_attempt)
            )
        if claim.answer is not None:
            return Ok(claim.answer)
        view = self._claims.ledger.find(identity)
        if view is not None and view.answer is not None:
            return Ok(view.answer)
        return Err(OutcomeUnknown(reason="The response is no longer known."))

    async def _respond_without_sending(
        self, decision: object, identity: ClaimIdentity, request: CallerRequest
    ) -> ExecutionResult:
        """Respond to a request that this host must not send, as `decision` states."""
        while isinstance(decision, InProgress):
            waited = await self._wait_for_entries(request.deadline_mono_ms)
            decision = self._refresh_decision(identity, decision)
            if not waited:
                break
        match decision:
            case ReplayAnswer(answer=answer):
                return Ok(answer)
            case _:
                refusal = find_refusal(decision)  # type: ignore[arg-type]
                return Err(refusal or OutcomeUnknown())

    def _refresh_decision(self, identity: ClaimIdentity, before: InProgress) -> object:
        key = read_key(identity.key).unwrap()
        ledger = self._claims.ledger
        decision = decide_query(
            ledger.find(identity),
            key,
            ledger.next_offset,
            ledger.next_offset,
            self._has_ended,
            self._policy,
            self._clock.now(),
        )
        return before if isinstance(decision, KeyUnknown) else decision

    async def _wait_for_entries(self, deadline_mono_ms: int) -> bool:
        """Wait for new log entries; return whether there is time to wait again."""
        left_ms = deadline_mono_ms - self._clock.now().mono_ms
        if left_ms <= 0:
            return False
        try:
            # At most 1 s, because the end of a writer is detected without a log entry.
            async with asyncio.timeout(min(left_ms / 1000, 1.0)):
                await self._entries_applied.wait()
        except TimeoutError:
            return left_ms > 1000
        return True

    # Applying and appending log entries.

    def _apply_entries(self, entries: tuple[RawEntry, ...]) -> None:
        now = self._clock.now()
        for raw in entries:
            match self._claims.apply(read_entry(raw.offset, raw.record), now):
                case Settled() as settled:
                    execution = self._executions.get(settled.claim.own.claim_id)
                    if execution is not None and not execution.settled.done():
                        execution.settled.set_result(settled)
                    elif settled.decision == MaySend() or settled.must_release:
                        self._release(settled.claim)
                case AbandonedClaimWon(claim=claim):
                    logger.info(
                        "An abandoned claim took effect in the log; releasing it."
                    )
                    self._release(claim)
                case None:
                    pass
        self._entries_applied.set()
        self._entries_applied = asyncio.Event()

    def _trim_expired(self, expired_offset: int, first_offset: int) -> None:
        self._claims.trim(first_offset)

    def _release(self, claim: PendingClaim) -> None:
        now = self._clock.now()
        self._append_in_background(self._claims.release(claim, str(uuid6.uuid7()), now))

    def _append_in_background(self, record: Record) -> None:
        self._track_task(self._append_until_settled(record))

    async def _append_until_settled(self, record: Record) -> None:
        deadline = self._clock.now().mono_ms + OUTCOME_APPEND_TIMEOUT_MS
        appended = await self.appender.append(write_record(record), deadline)
        if isinstance(appended, Err):
            logger.warning(
                "The log did not confirm the append of a %s record: %s",
                record.kind,
                appended.err_value.detail,
            )

    def _track_task(self, work: Awaitable[None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[assignment]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drop_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._claims.trim(self.reader.first_offset)
            self._claims.forget_expired(self._clock.now())


def _refuse(refusal: Refusal, first_attempt: bool) -> Err[Refusal]:
    return Err(refuse_unclaimed(refusal, first_attempt))
