"""Control state of the host: published documents, verdicts and checkpoints."""

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import uuid6
from result import Err, Ok, Result

from waxwingbarrow.core import (
    Clock,
    FieldInvalid,
    Instant,
    InvalidRequest,
    LogUnavailable,
    OutcomeUnknown,
    Refusal,
    ServiceName,
)
from waxwingbarrow.daemon._logs import get_logger
from waxwingbarrow.document import ServiceDocument, read_document
from waxwingbarrow.peers import ControlEntries, ControlEntry, ControlSnapshot
from waxwingbarrow.platform import (
    LogAppender,
    LogClient,
    LogReader,
    NotSent,
    RawEntry,
    ReaderPolicy,
    Unsettled,
)
from waxwingbarrow.state import (
    Accepted,
    AgreedVerdict,
    Applied,
    CheckpointDue,
    Conflict,
    ControlState,
    Ignored,
    IgnoredReason,
    Malformed,
    PublishBody,
    Record,
    VerdictBody,
    VerdictKey,
    Writer,
    apply,
    checkpoint_records,
    decide_checkpoint,
    make_control_record,
    read_entry,
    read_state,
    start_state,
    write_record,
    write_state,
)

STREAM = "control"
KEPT_ENTRIES = 1_024  # recent entries for peers; a peer further behind gets a snapshot

logger = get_logger("control")


@attrs.frozen
class Configuration:
    """A service document in force."""

    revision: int
    author: str
    document: ServiceDocument
    text: str


class PublicationConflict(Refusal):
    """Another publication came first in the log."""

    status = 409
    title = "Another publication came first"
    slug = "publication-conflict"


@attrs.frozen
class Lost:
    """A publication that another one preceded."""

    winner_offset: int
    winner_author: str


class ControlPlane:
    """Fold of the stream ``control`` on this host, and the host's writes to it.

    Entries come from the log or from peers, whichever has them first; an entry below
    the next offset changes nothing, so the state never reverts.

    Parameters
    ----------
    writer : Writer
        Identity of this process.
    client : LogClient
        The platform's log.
    clock : Clock
        Source of the present time.
    rng : random.Random
        Jitter of retries.
    poll_ms : int
        Duration of one log poll.
    append_timeout_ms : int
        Time for an append.
    retention_ms : int
        Time for which the log keeps records.
    """

    def __init__(
        self,
        writer: Writer,
        client: LogClient,
        clock: Clock,
        rng: random.Random,
        poll_ms: int,
        append_timeout_ms: int,
        retention_ms: int,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._append_timeout_ms = append_timeout_ms
        self._retention_ms = retention_ms
        self.state: ControlState = start_state(0)
        self._in_force: ControlState = self.state  # the last complete state
        self._peer_state: ControlState = self.state  # peers' part of an incomplete one
        self.configurations: dict[ServiceName, Configuration] = {}
        self._texts: dict[int, Configuration] = {}
        self._kept: deque[ControlEntry] = deque(maxlen=KEPT_ENTRIES)
        self._waiting: dict[str, asyncio.Future[Applied]] = {}
        self._listeners: list[Callable[[], None]] = []
        self.reader = LogReader(
            client,
            STREAM,
            self._take_log_entries,
            self._restart_after_expiry,
            clock,
            rng,
            policy=ReaderPolicy(wait_ms=poll_ms),
        )
        self.appender = LogAppender(client, STREAM, self.reader, clock, rng)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the state."""
        self._listeners.append(listener)

    @property
    def is_known(self) -> bool:
        """Whether the state can be served from."""
        if not self.state.complete:
            return self._in_force.next_offset > 0
        return self.reader.last_tail_read is not None or self.state.next_offset > 0

    def find(self, service: ServiceName) -> Configuration | None:
        """Return the document in force for a service."""
        return self.configurations.get(service)

    def find_agreed(self, configuration: Configuration) -> AgreedVerdict | None:
        """Return the recorded verdict on the rollout of a document."""
        document = configuration.document
        if document.rollout is None:
            return None
        version = document.rollout.to_version
        key = VerdictKey(document.service, configuration.revision, version)
        return self._in_force.verdicts.get(key)

    # Entries from the log and from peers.

    def _take_log_entries(self, entries: tuple[RawEntry, ...]) -> None:
        self.apply_entries((entry.offset, entry.record) for entry in entries)

    def _restart_after_expiry(self, expired_offset: int, first_offset: int) -> None:
        if self.state.next_offset >= first_offset:
            return  # a peer has supplied what the log no longer holds
        logger.warning("Offsets below %d have expired.", first_offset)
        self._peer_state = self._in_force
        self.state = start_state(first_offset)
        self._kept.clear()

    def apply_entries(
        self, entries: Iterable[tuple[int, Mapping[str, object]]]
    ) -> None:
        """Apply entries in order; known ones and those behind a gap do nothing."""
        before = self.state.next_offset
        for offset, data in entries:
            if offset != self.state.next_offset:
                continue
            entry = read_entry(offset, data)
            self.state, applied = apply(self.state, entry, is_valid_document)
            self._kept.append(ControlEntry(offset, json.dumps(data).encode()))
            self._report(entry.record, offset, applied)
        if self.state.next_offset > before:
            self._refresh()

    def _report(self, record: Record, offset: int, applied: Applied) -> None:
        waiting = self._waiting.pop(record.record_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(applied)
        match applied:
            case Accepted():
                logger.info("Accepted %s at offset %d.", record.kind, offset)
            case Conflict(winner_offset=winner):
                logger.info("Record %d lost to offset %d.", offset, winner)
            case Malformed(detail=detail):
                logger.warning("Record %d is malformed: %s", offset, detail)
            case Ignored():
                pass

    def _refresh(self) -> None:
        """Read the documents that changed and notify the listeners.

        The last complete state stays in force while a new one is incomplete.
        """
        if not self.state.complete:
            return
        self._in_force = self.state
        found: dict[ServiceName, Configuration] = {}
        for service, published in self.state.services.items():
            known = self.configurations.get(service)
            if known is not None and known.revision == published.revision:
                found[service] = known
                continue
            match read_document(published.document):
                case Ok(document) if document.service == service:
                    found[service] = Configuration(
                        published.revision,
                        published.author,
                        document,
                        published.document,
                    )
                    logger.info("Revision %d of %s.", published.revision, service)
                case _:
                    logger.error("The document of %s names another service.", service)
                    if known is not None:
                        found[service] = known
        self.configurations = found
        for listener in self._listeners:
            listener()

    # The peers' side of control state.

    def next_offset(self) -> int:
        """Return the offset of the first entry that this host lacks."""
        state = self.state if self.state.complete else self._peer_state
        return state.next_offset

    def read_entries(self, from_offset: int) -> ControlEntries | ControlSnapshot:
        """Return the entries from an offset on, or a snapshot if they are gone."""
        if self._kept and self._kept[0].offset <= from_offset:
            kept = tuple(entry for entry in self._kept if entry.offset >= from_offset)
            return ControlEntries(kept)
        if not self.state.complete:
            return ControlEntries(())
        return ControlSnapshot(self.state.next_offset, write_state(self.state).encode())

    def take_peer_entries(self, entries: Sequence[ControlEntry]) -> None:
        """Apply entries that a peer sent."""
        parsed = []
        for entry in entries:
            try:
                data = json.loads(entry.record)
            except ValueError:
                logger.warning("A peer sent an unreadable record.")
                break
            parsed.append((entry.offset, data))
        if self.state.complete:
            self.apply_entries(parsed)
            return
        for offset, data in parsed:
            self._peer_state, _ = apply(
                self._peer_state, read_entry(offset, data), is_valid_document
            )
        self._complete_from_peer()

    def take_peer_snapshot(self, next_offset: int, payload: bytes) -> None:
        """Adopt a state that is ahead of this host's."""
        match read_state(payload.decode(errors="replace"), "peer snapshot"):
            case Ok(state) if (
                state.next_offset == next_offset
                and state.next_offset > self.next_offset()
            ):
                if self.state.complete:
                    self._replace_state(state)
                else:
                    self._peer_state = state
                    self._complete_from_peer()
            case Ok():
                pass
            case Err(failure):
                logger.warning("A peer's state is invalid: %s", failure.detail)

    def _complete_from_peer(self) -> None:
        """Adopt what peers sent once it reaches the first entry that the log holds.

        The reader never goes back, so a state that ends earlier would miss the
        entries in between for good.
        """
        if self._peer_state.next_offset >= self.state.first_offset:
            self._replace_state(self._peer_state)

    def _replace_state(self, state: ControlState) -> None:
        """Continue from a peer's state with the entries buffered so far."""
        buffered = []
        node = self.state.buffer
        while node is not None:
            buffered.append(node.entry)
            node = node.older
        logger.info("Adopted a peer's state up to %d.", state.next_offset)
        self.state = attrs.evolve(state, first_offset=self.state.first_offset)
        self._kept.clear()
        for entry in reversed(buffered):
            self.state, _ = apply(self.state, entry, is_valid_document)
        self._refresh()

    # Writes.

    async def publish(
        self,
        service: ServiceName,
        text: str,
        base_revision: int | None,
        author: str,
    ) -> Result[int, Refusal | Lost]:
        """Publish a service document.

        Returns
        -------
        Result
            The revision, the publication that won, or a refusal.
        """
        read = read_document(text, "document")
        if isinstance(read, Err):
            return Err(InvalidRequest(reason=_describe(read.err_value)))
        if read.ok_value.service != service:
            reason = f"The document describes {read.ok_value.service!r}."
            return Err(InvalidRequest(reason=reason))
        if not self.state.complete:
            # The record would take effect later, unseen by this call.
            reason = "The host has not read the whole configuration yet."
            return Err(LogUnavailable(reason=reason, retry_after_s=1.0))
        if base_revision is None:
            current = self.configurations.get(service)
            base_revision = current.revision if current else 0
        body = PublishBody(service, base_revision, text, author)
        applied = await self._append(body)
        if isinstance(applied, Err):
            return applied
        match applied.ok_value:
            case Accepted(offset=offset):
                return Ok(offset)
            case Conflict(winner_offset=winner, winner_author=winner_author):
                return Err(Lost(winner, winner_author))
            case Malformed(detail=detail):
                return Err(InvalidRequest(reason=detail))
            case Ignored(reason=IgnoredReason.RESERVED_OFFSET):
                # The log was empty; its first record never takes effect.
                return await self.publish(service, text, base_revision, author)
            case Ignored(reason=why):
                # A repeated or buffered record may be in force, now or later.
                return Err(OutcomeUnknown(reason=f"The record was ignored: {why}."))

    async def agree_verdict(self, body: VerdictBody) -> None:
        """Record a verdict; a failure is left to the next evaluation."""
        applied = await self._append(body)
        if isinstance(applied, Err):
            logger.warning("A verdict was not recorded: %s", applied.err_value.detail)

    async def write_checkpoint_if_due(self, now: Instant) -> bool:
        """Write a checkpoint if the oldest needed entry is old enough."""
        due = decide_checkpoint(self.state, self._retention_ms, now)
        if not isinstance(due, CheckpointDue) or self.reader.last_tail_read is None:
            return False
        if self.reader.next_offset < self.state.next_offset:
            return False  # the log may hold a checkpoint that was not read yet
        records = checkpoint_records(self.state, str(uuid6.uuid7()), self._writer, now)
        if isinstance(records, Err):
            return False
        deadline = now.mono_ms + self._append_timeout_ms
        results = await asyncio.gather(
            *(
                self.appender.append(write_record(record), deadline)
                for record in records.ok_value
            )
        )
        logger.info("Wrote a checkpoint in %d parts.", len(results))
        return all(result.is_ok() for result in results)

    async def _append(
        self, body: PublishBody | VerdictBody
    ) -> Result[Applied, LogUnavailable | OutcomeUnknown]:
        now = self._clock.now()
        record = make_control_record(str(uuid6.uuid7()), body, self._writer, now)
        waiting: asyncio.Future[Applied] = asyncio.get_running_loop().create_future()
        self._waiting[record.record_id] = waiting
        deadline = now.mono_ms + self._append_timeout_ms
        try:
            match await self.appender.append(write_record(record), deadline):
                case Err(Unsettled() as failure):
                    return Err(OutcomeUnknown(reason=failure.detail))
                case Err(NotSent() as failure):
                    return Err(LogUnavailable(reason=failure.detail, retry_after_s=5.0))
                case Err(failure):
                    return Err(LogUnavailable(reason=failure.detail))
                case Ok(_):
                    left_ms = max(1, deadline - self._clock.now().mono_ms)
                    async with asyncio.timeout(left_ms / 1000):
                        return Ok(await waiting)
        except TimeoutError:
            return Err(OutcomeUnknown(reason="The log was not read in time."))
        finally:
            self._waiting.pop(record.record_id, None)
        raise AssertionError("A result is either Ok or Err.")


def is_valid_document(text: str) -> bool:
    """Return whether the fold accepts a published text."""
    return read_document(text).is_ok()


def _describe(failure: FieldInvalid) -> str:
    return failure.detail
