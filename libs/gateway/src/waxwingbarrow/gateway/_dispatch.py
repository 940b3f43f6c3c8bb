"""Handling of one request from its head to the end of its answer."""

import asyncio
import logging

from waxwingbarrow.core import Clock, Instant
from waxwingbarrow.gateway._answers import find_reason
from waxwingbarrow.gateway._attempts import (
    Answered,
    AttemptFailure,
    Expired,
    Lost,
    Moved,
    NotRun,
    NotSent,
    Opened,
    compute_timeout_s,
    open_attempt,
    read_answer,
    release,
)
from waxwingbarrow.gateway._budgets import Budgets
from waxwingbarrow.gateway._callers import Responder
from waxwingbarrow.gateway._channels import BrokenError
from waxwingbarrow.gateway._events import END as EVENT_END
from waxwingbarrow.gateway._events import EventSplitter
from waxwingbarrow.gateway._fleet import Fleet, Job, Upstream
from waxwingbarrow.gateway._grants import Grants
from waxwingbarrow.gateway._measures import Measures
from waxwingbarrow.gateway._model import (
    AnswerHead,
    Call,
    RouteKind,
    Sending,
)
from waxwingbarrow.gateway._moves import PlannedJob
from waxwingbarrow.gateway._planner import RETRY_AFTER_BUSY_S, Planner
from waxwingbarrow.gateway._plans import Plan, Refused
from waxwingbarrow.gateway._ports import Codec
from waxwingbarrow.gateway._rollouts import Rollouts
from waxwingbarrow.gateway._suspects import Suspects
from waxwingbarrow.gateway._usage import UsageBook
from waxwingbarrow.routing import Placement

logger = logging.getLogger("waxwingbarrow.gateway.requests")

# Part of the remaining time after which a repeatable request is tried elsewhere.
ATTEMPT_SHARE = 0.45
MIN_WORK_MS = 2.0


class Dispatcher:
    """Routes requests and passes on their answers."""

    def __init__(
        self,
        planner: Planner,
        codec: Codec,
        clock: Clock,
        fleet: Fleet,
        grants: Grants,
        rollouts: Rollouts,
        usage: UsageBook,
        suspects: Suspects,
        measures: Measures,
        budgets: Budgets,
    ) -> None:
        self._planner = planner
        self._codec = codec
        self._clock = clock
        self._fleet = fleet
        self._grants = grants
        self._rollouts = rollouts
        self._usage = usage
        self._suspects = suspects
        self._measures = measures
        self._budgets = budgets

    async def handle(self, call: Call, responder: Responder) -> None:
        """Answer one request."""
        now = self._clock.now()
        planned = self._planner.plan(call, now)
        if isinstance(planned, Refused):
            self._refuse(call, planned, responder, None)
            return
        refused = await self._planner.admit(planned, now)
        if refused is not None:
            self._refuse(call, refused, responder, None)
            return
        outcome = "left by the caller"
        try:
            if planned.route.kind is RouteKind.STREAM:
                outcome = await self._serve_stream(planned, responder)
            else:
                outcome = await self._serve_plain(planned, responder)
        finally:
            if not planned.began:
                self._grants.give_back(
                    planned.account, planned.cost, planned.charge, self._clock.now()
                )
            self._log(planned, outcome)

    # Requests with one answer

    async def _serve_plain(self, plan: Plan, responder: Responder) -> str:
        last: Answered | None = None
        while True:
            now = self._clock.now()
            chosen = self._planner.choose(plan, now)
            if isinstance(chosen, Refused) or plan.until.mono_ms <= now.mono_ms:
                return self._give_up(plan, chosen, last, responder)
            upstream, placement = chosen
            outcome = await self._attempt_plain(plan, upstream, placement)
            match outcome:
                case Answered(head) if head.status < 500 or not self._may_repeat(plan):
                    self._pass_on(outcome, responder)
                    return f"answered {head.status}"
                case Answered():
                    last = outcome
                case _:
                    pass
            if not self._may_go_on(plan, outcome):
                return self._fail(plan, outcome, last, responder)

    async def _attempt_plain(
        self, plan: Plan, upstream: Upstream, placement: Placement
    ) -> Answered | AttemptFailure:
        started = self._clock.now()
        until = plan.until
        # Time is kept for another attempt if there may be one after this.
        if plan.route.is_repeatable and plan.arrivals + 1 < plan.route.max_attempts:
            part_ms = int((until.mono_ms - started.mono_ms) * ATTEMPT_SHARE)
            until = started.plus_ms(part_ms)
        cached_tokens = placement.view.cached_tokens
        job = self._start_job(plan, upstream, cached_tokens, started)
        try:
            outcome: Answered | Opened | AttemptFailure = await open_attempt(
                plan.call,
                plan.facts.request_id,
                self._make_sending(plan, upstream, None, started),
                upstream,
                self._codec,
                until,
                self._clock,
            )
            if isinstance(outcome, Opened):
                self._begin(plan)
                outcome = await read_answer(outcome, upstream, until, self._clock)
        finally:
            upstream.jobs.discard(job)
        self._record(plan, upstream, outcome, started)
        return outcome

    # Streams

    async def _serve_stream(self, plan: Plan, responder: Responder) -> str:
        splitter = EventSplitter()
        last: Answered | None = None
        moved: Moved | None = None
        while True:
            now = self._clock.now()
            if moved is not None:
                upstream, cached_tokens = moved.upstream, plan.facts.prompt_tokens
            else:
                chosen = self._planner.choose(plan, now)
                if isinstance(chosen, Refused) or plan.until.mono_ms <= now.mono_ms:
                    return self._give_up(plan, chosen, last, responder)
                upstream, placement = chosen
                cached_tokens = placement.view.cached_tokens
            outcome = await self._attempt_stream(
                plan, upstream, cached_tokens, splitter, responder, moved
            )
            moved = None
            match outcome:
                case Moved():
                    moved = outcome
                    splitter.drop_rest()
                    continue
                case Answered(head):
                    if responder.ended:
                        return f"answered {head.status}"
                    if head.status < 500 or not self._may_repeat(plan):
                        if responder.started:
                            responder.abort()
                            return f"broken off by status {head.status}"
                        self._pass_on(outcome, responder)
                        return f"answered {head.status}"
                    last = outcome
                case _:
                    pass
            if not self._may_go_on(plan, outcome):
                return self._fail(plan, outcome, last, responder)
            splitter.drop_rest()

    async def _attempt_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        cached_tokens: int,
        splitter: EventSplitter,
        responder: Responder,
        moved: Moved | None,
    ) -> Answered | Moved | AttemptFailure:
        started = self._clock.now()
        after = splitter.last_id
        if after is None:
            after = plan.facts.after_event
        job = self._start_job(plan, upstream, cached_tokens, started)
        outcome: Answered | Opened | AttemptFailure
        try:
            outcome = await open_attempt(
                plan.call,
                plan.facts.request_id,
                self._make_sending(plan, upstream, after, started, moved),
                upstream,
                self._codec,
                plan.until,
                self._clock,
            )
            if isinstance(outcome, Opened):
                if outcome.head.status == 200:
                    outcome = await self._copy_stream(
                        plan, upstream, outcome, job, splitter, responder, started
                    )
                else:
                    self._begin(plan)
                    outcome = await read_answer(
                        outcome, upstream, plan.until, self._clock
                    )
            if isinstance(outcome, Lost) and job.move is not None:
                result = await job.move
                if result is not None:
                    self._record_move(plan, upstream)
                    return result
        finally:
            upstream.jobs.discard(job)
        self._record(plan, upstream, outcome, started, job)
        return outcome

    async def _copy_stream(
        self,
        plan: Plan,
        upstream: Upstream,
        opened: Opened,
        job: PlannedJob,
        splitter: EventSplitter,
        responder: Responder,
        started: Instant,
    ) -> Answered | AttemptFailure:
        channel = opened.channel
        done = False
        try:
            timeout_s = compute_timeout_s(plan.until, self._clock.now())
            async with asyncio.timeout(timeout_s):
                while data := await channel.read_chunk():
                    events = splitter.feed(data)
                    if not events:
                        continue
                    if job.first_event_ms is None:
                        self._note_first_event(plan, job, started)
                    if not responder.started:
                        self._start_stream(opened.head, responder)
                    job.events += events.count(EVENT_END)
                    responder.send_chunk(events)
            if splitter.rest:
                # A torn event at a clean end: the upstream broke off.
                return Lost("ended inside an event")
            if not responder.started:
                self._start_stream(opened.head, responder)
            responder.finish_stream()
            release(upstream, channel, opened.facts, self._clock)
            done = True
            return Answered(opened.head, b"")
        except BrokenError as error:
            return Lost(str(error))
        except TimeoutError:
            return Expired()
        finally:
            if not done:
                channel.close()

    def _start_stream(self, head: AnswerHead, responder: Responder) -> None:
        headers = self._codec.write_answer(head)
        responder.start_stream(head.status, head.reason, headers)

    def _note_first_event(self, plan: Plan, job: Job, started: Instant) -> None:
        now = self._clock.now()
        self._begin(plan)
        job.unread_tokens = 0
        job.first_event_ms = now.mono_ms
        self._measures.note_first_event(
            plan.route.name, plan.trace.account, now.mono_ms - started.mono_ms
        )

    # Common parts

    def _start_job(
        self, plan: Plan, upstream: Upstream, cached_tokens: int, now: Instant
    ) -> PlannedJob:
        facts = plan.facts
        unread = max(facts.prompt_tokens - cached_tokens, 0)
        job = PlannedJob(
            facts.request_id,
            plan.account.name if plan.account else None,
            now.mono_ms,
            unread,
            facts.prompt_tokens + facts.max_output_tokens // 2,
            plan=plan,
        )
        upstream.jobs.add(job)
        plan.tried.add(upstream.entry.upstream)
        if facts.parts:
            self._fleet.learn_parts(upstream.entry.upstream, facts.parts)
        if plan.arrivals == 0:
            self._budgets.record_request(self._planner.pick_service(plan), now)
        return job

    def _make_sending(
        self,
        plan: Plan,
        upstream: Upstream,
        after: int | None,
        now: Instant,
        moved: Moved | None = None,
    ) -> Sending:
        account = plan.account
        priority = plan.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Sending(
            upstream=upstream.entry.upstream,
            account=account.name if account else None,
            remaining_ms=max(plan.until.mono_ms - now.mono_ms, 1),
            priority=priority if plan.facts.has_token_counts else None,
            after_event=after,
            memory_copy=moved.memory_copy if moved is not None else None,
        )

    def _begin(self, plan: Plan) -> None:
        if plan.began:
            return
        plan.began = True
        if plan.account is not None:
            self._usage.count(plan.account.name, self._clock.now())

    def _record(
        self,
        plan: Plan,
        upstream: Upstream,
        outcome: Answered | AttemptFailure,
        started: Instant,
        job: Job | None = None,
    ) -> None:
        now = self._clock.now()
        name = upstream.entry.upstream
        if not isinstance(outcome, NotSent):
            plan.arrivals += 1
        if not isinstance(outcome, NotSent | NotRun):
            plan.may_have_run = True
        failed = False
        match outcome:
            case Answered(head):
                failed = head.status >= 500
                self._fleet.record(upstream, failed, now)
                result = str(head.status)
            case NotSent(reason):
                self._fleet.record_unreachable(upstream, now)
                self._suspects.note_unreachable(name, upstream.incarnation, now)
                result = f"not sent ({reason})"
            case NotRun(status):
                upstream.record(True, now)
                result = f"not run ({status})"
            case Lost(reason):
                failed = True
                self._fleet.record(upstream, True, now)
                self._suspects.note_loss(
                    plan.fingerprint, name, upstream.incarnation, now
                )
                result = f"lost ({reason})"
            case Expired():
                failed = True
                self._fleet.record(upstream, True, now)
                result = "expired"
        if isinstance(outcome, Answered):
            self._suspects.note_completion(plan.fingerprint, name, now)
        if isinstance(outcome, Answered | Lost | Expired):
            first_ms = now.mono_ms
            if job is not None and job.first_event_ms is not None:
                first_ms = job.first_event_ms
            self._rollouts.record(
                upstream.entry.service,
                upstream.entry.version,
                plan.route.name,
                failed,
                first_ms - started.mono_ms,
            )
        plan.trace.attempts.append(f"{name}: {result}")

    def _record_move(self, plan: Plan, upstream: Upstream) -> None:
        plan.arrivals += 1
        plan.moves += 1
        plan.may_have_run = True
        plan.trace.attempts.append(f"{upstream.entry.upstream}: moved")

    def _may_repeat(self, plan: Plan) -> bool:
        """Whether a request that ran may be sent to one more upstream."""
        return plan.route.is_repeatable and plan.has_attempts_left

    def _may_go_on(self, plan: Plan, outcome: Answered | AttemptFailure) -> bool:
        now = self._clock.now()
        if plan.until.mono_ms - now.mono_ms < MIN_WORK_MS:
            return False
        match outcome:
            case NotSent() | NotRun() if plan.moves and not plan.route.is_repeatable:
                # A run that was moved and cannot go on there has ended.
                return False
            case NotSent():
                return True
            case NotRun():
                may_send = plan.has_attempts_left
            case _:
                may_send = self._may_repeat(plan)
        service = self._planner.pick_service(plan)
        return may_send and self._budgets.try_spend(service, now)

    def _pass_on(self, answer: Answered, responder: Responder) -> None:
        head = answer.head
        headers = self._codec.write_answer(head)
        responder.send(head.status, head.reason, headers, answer.body)

    def _give_up(
        self,
        plan: Plan,
        chosen: tuple[Upstream, Placement] | Refused,
        last: Answered | None,
        responder: Responder,
    ) -> str:
        refused = chosen if isinstance(chosen, Refused) else None
        if last is not None and not responder.started:
            self._pass_on(last, responder)
            return f"answered {last.head.status}"
        if responder.started:
            responder.abort()
            return "broken off: no upstream to continue at"
        if plan.may_have_run:
            refused = Refused(502, "failed at the upstream")
        elif refused is None:
            refused = Refused(503, "no time left", RETRY_AFTER_BUSY_S)
        self._refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def _fail(
        self,
        plan: Plan,
        outcome: Answered | AttemptFailure,
        last: Answered | None,
        responder: Responder,
    ) -> str:
        if responder.started:
            responder.abort()
            return "broken off"
        if last is not None:
            self._pass_on(last, responder)
            return f"answered {last.head.status}"
        match outcome:
            case NotRun() | NotSent() if not plan.may_have_run:
                refused = Refused(503, "not run by the upstream", RETRY_AFTER_BUSY_S)
            case Expired():
                refused = Refused(504, "timeout")
            case _:
                refused = Refused(502, "failed at the upstream")
        self._refuse(plan.call, refused, responder, plan)
        return f"refused {refused.status}: {refused.reason}"

    def _refuse(
        self, call: Call, refused: Refused, responder: Responder, plan: Plan | None
    ) -> None:
        facts = self._codec.read_call(call).ok()
        request_id = facts.request_id if facts is not None else None
        headers = self._codec.write_refusal(request_id, refused.retry_after_s)
        body = f"{refused.reason}\n".encode()
        responder.send(refused.status, find_reason(refused.status), headers, body)
        self._measures.count_refusal(refused.status, refused.reason)
        if plan is None:
            table = self._planner.table
            version = table.configuration.version if table else 0
            logger.info(
                "request refused",
                extra={
                    "request": request_id,
                    "status": refused.status,
                    "reason": refused.reason,
                    "retry_after_s": refused.retry_after_s,
                    "config_version": version,
                    **refused.inputs,
                },
            )

    def _log(self, plan: Plan, outcome: str) -> None:
        now = self._clock.now()
        trace = plan.trace
        elapsed_ms = now.mono_ms - plan.call.received_ms
        self._measures.note_request(trace.route, trace.account, outcome, elapsed_ms)
        logger.info(
            "request ended",
            extra={
                "request": trace.request_id,
                "route": trace.route,
                "account": trace.account,
                "attempts": trace.attempts,
                "outcome": outcome,
                "elapsed_ms": elapsed_ms,
                "allowed_ms": plan.until.mono_ms - plan.call.received_ms,
                "config_version": trace.config_version,
                "start_ms": trace.start_ms,
                "cached_tokens": trace.cached_tokens,
                "running": trace.running,
                "candidates": trace.candidates,
                "upstreams_age_ms": trace.upstreams_age_ms,
            },
        )
