"""Control state of a host: service documents, rollout verdicts and checkpoints.

The control stream is a log that all hosts read and replay into the same state.
"""

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
    parse_json,
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
    ApplyResult,
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
    make_initial_state,
    read_entry,
    read_state,
    write_record,
    write_state,
)

STREAM = "control"
MAX_RECENT_ENTRIES = 1_024  # kept for peers; a peer further behind gets a snapshot

logger = get_logger("control")


@attrs.frozen
class Configuration:
    """A service document in force.

    Parameters
    ----------
    revision : int
        Offset of the record in the control stream that published the document.
    author : str
        Operator who published it.
    text : str
        The document as published.
    """

    revision: int
    author: str
    document: ServiceDocument
    text: str


class PublicationConflict(Refusal):
    """Refusal of a publication whose base revision is no longer in force."""

    status = 409
    title = "Another publication came first"
    slug = "publication-conflict"


@attrs.frozen
class RevisionConflict:
    """The document in force is not the one on which a publication was based.

    Parameters
    ----------
    winner_offset : int
        Offset of the publication in force; 0 if there is none.
    winner_author : str
        Author of the publication in force; empty if there is none.
    """

    winner_offset: int
    winner_author: str


class ControlPlane:
    """Replays the stream ``control`` into this host's state and appends to the stream.

    An entry is applied when it first arrives, from the log or from a peer. An entry
    below the next offset is skipped, so the state never reverts.

    The state is incomplete while it lacks entries that expired before this host read
    them, until a checkpoint or a peer supplies their effect.

    Parameters
    ----------
    writer : Writer
        Identity of this process.
    client : LogClient
        The platform's log.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Randomness for the jitter of retries.
    poll_ms : int
        Time for which one read of the log waits for new records.
    append_timeout_ms : int
        Time for an append to be acknowledged and its record to be read back.
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
        self.state: ControlState = make_initial_state(0)
        self._last_complete_state: ControlState = self.state
        # Built from peers' entries and snapshots while `state` is incomplete.
        self._peer_state: ControlState = self.state
        self.configurations: dict[ServiceName, Configuration] = {}
        self._texts: dict[int, Configuration] = {}
        self._recent_entries: deque[ControlEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        # Appends that wait for their record to be read back, by record id.
        self._pending_appends: dict[str, asyncio.Future[ApplyResult]] = {}
        self._listeners: list[Callable[[], None]] = []
        self.reader = LogReader(
            client,
            STREAM,
            self._apply_log_entries,
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
    def has_configuration(self) -> bool:
        """Whether the host has a configuration with which it can serve requests."""
        if not self.state.complete:
            return self._last_complete_state.next_offset > 0
        return self.reader.last_tail_read is not None or self.state.next_offset > 0

    def find(self, service: ServiceName) -> Configuration | None:
        """Return the document in force for a service."""
        return self.configurations.get(service)

    def find_agreed_verdict(self, configuration: Configuration) -> AgreedVerdict | None:
        """Return the verdict that the log records for the rollout of a document."""
        document = configuration.document
        if document.rollout is None:
            return None
        version = document.rollout.to_version
        key = VerdictKey(document.service, configuration.revision, version)
        return self._last_complete_state.verdicts.get(key)

    # Applying entries from the log.

    def _apply_log_entries(self, entries: tuple[RawEntry, ...]) -> None:
        self.apply_entries((entry.offset, entry.record) for entry in entries)

    def _restart_after_expiry(self, expired_offset: int, first_offset: int) -> None:
        if self.state.next_offset >= first_offset:
            return  # a peer has already supplied the expired entries
        logger.warning(
            "Entries below offset %d expired before they were read; "
            "waiting for a checkpoint or for a peer's state.",
            first_offset,
        )
        self._peer_state = self._last_complete_state
        self.state = make_initial_state(first_offset)
        self._recent_entries.clear()

    def apply_entries(
        self, entries: Iterable[tuple[int, Mapping[str, object]]]
    ) -> None:
        """Apply entries in order of offset.

        Entries that were applied before and entries after a gap are skipped.
        """
        before = self.state.next_offset
        for offset, data in entries:
            if offset != self.state.next_offset:
                continue
            entry = read_entry(offset, data)
            self.state, apply_result = apply(self.state, entry, is_valid_document)
            self._recent_entries.append(ControlEntry(offset, json.dumps(data).encode()))
            self._resolve_append(entry.record, offset, apply_result)
        if self.state.next_offset > before:
            self._update_configurations()

    def _resolve_append(
        self, record: Record, offset: int, apply_result: ApplyResult
    ) -> None:
        """Log the effect of a record and pass it to the append that waits for it."""
        waiting = self._pending_appends.pop(record.record_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(apply_result)
        match apply_result:
            case Accepted():
                logger.info("Accepted %s at offset %d.", record.kind, offset)
            case Conflict(winner_offset=winner):
                logger.info(
                    "Record at offset %d conflicts with offset %d; it has no effect.",
                    offset,
                    winner,
                )
            case Malformed(detail=detail):
                logger.warning("Record at offset %d is malformed: %s", offset, detail)
            case Ignored():
                pass

    def _update_configurations(self) -> None:
        """Parse the documents that changed and notify the listeners.

        While the state is incomplete, the last complete one stays in force.
        """
        if not self.state.complete:
            return
        self._last_complete_state = self.state
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
                    logger.info(
                        "Revision %d of service %s is in force.",
                        published.revision,
                        service,
                    )
                case _:
                    logger.error(
                        "The published document of service %s is invalid or describes "
                        "another service; ignoring it.",
                        service,
                    )
                    if known is not None:
                        found[service] = known
        self.configurations = found
        for listener in self._listeners:
            listener()

    # Exchange of entries and states with peers.

    def next_offset(self) -> int:
        """Return the offset of the first entry that this host lacks."""
        state = self.state if self.state.complete else self._peer_state
        return state.next_offset

    def read_entries(self, from_offset: int) -> ControlEntries | ControlSnapshot:
        """Return the entries from an offset on, or a snapshot if they are not kept.

        An incomplete state gives no snapshot; the result then has no entries.
        """
        if self._recent_entries and self._recent_entries[0].offset <= from_offset:
            kept = tuple(
                entry for entry in self._recent_entries if entry.offset >= from_offset
            )
            return ControlEntries(kept)
        if not self.state.complete:
            return ControlEntries(())
        return ControlSnapshot(self.state.next_offset, write_state(self.state).encode())

    def apply_peer_entries(self, entries: Sequence[ControlEntry]) -> None:
        """Apply entries that a peer sent, up to the first that cannot be parsed."""
        parsed = []
        for entry in entries:
            try:
                data = parse_json(entry.record)
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
        self._adopt_peer_state_if_complete()

    def apply_peer_snapshot(self, next_offset: int, payload: bytes) -> None:
        """Adopt the state that a peer sent if it is ahead of this host's state."""
        match read_state(payload.decode(errors="replace"), "peer snapshot"):
            case Ok(state) if (
                state.next_offset == next_offset
                and state.next_offset > self.next_offset()
            ):
                if self.state.complete:
                    self._replace_state(state)
                else:
                    self._peer_state = state
                    self._adopt_peer_state_if_complete()
            case Ok():
                pass
            case Err(failure):
                logger.warning(
                    "Ignoring an invalid state snapshot from a peer: %s", failure.detail
                )

    def _adopt_peer_state_if_complete(self) -> None:
        """Adopt the state built from peers once it reaches the log's first entry.

        The reader never goes back in the log. With a state that ends before the log's
        first entry, the entries in between would be missing permanently.
        """
        if self._peer_state.next_offset >= self.state.first_offset:
            self._replace_state(self._peer_state)

    def _replace_state(self, state: ControlState) -> None:
        """Replace the state by a peer's and apply the entries buffered so far to it."""
        buffered = []
        node = self.state.buffer
        while node is not None:
            buffered.append(node.entry)
            node = node.older
        logger.info("Adopted a peer's state; the next offset is %d.", state.next_offset)
        self.state = attrs.evolve(state, first_offset=self.state.first_offset)
        self._recent_entries.clear()
        for entry in reversed(buffered):
            self.state, _ = apply(self.state, entry, is_valid_document)
        self._update_configurations()

    # Appending records to the log.

    async def publish(
        self,
        service: ServiceName,
        text: str,
        base_revision: int | None,
        author: str,
    ) -> Result[int, Refusal | RevisionConflict]:
        """Publish a service document.

        Returns
        -------
        Result
            The new revision, the publication that came first, or a refusal.
        """
        read = read_document(text, "document")
        if isinstance(read, Err):
            return Err(InvalidRequest(reason=_describe(read.err_value)))
        if read.ok_value.service != service:
            reason = f"The document describes {read.ok_value.service!r}."
            return Err(InvalidRequest(reason=reason))
        if not self.state.complete:
            # The record would be buffered and take effect only after this call has
            # returned, so its result could not be reported.
            reason = "The host has not read the whole configuration yet."
            return Err(LogUnavailable(reason=reason, retry_after_s=1.0))
        if base_revision is None:
            current = self.configurations.get(service)
            base_revision = current.revision if current else 0
        body = PublishBody(service, base_revision, text, author)
        apply_result = await self._append(body)
        if isinstance(apply_result, Err):
            return apply_result
        match apply_result.ok_value:
            case Accepted(offset=offset):
                return Ok(offset)
            case Conflict(winner_offset=winner, winner_author=winner_author):
                return Err(RevisionConflict(winner, winner_author))
            case Malformed(detail=detail):
                return Err(InvalidRequest(reason=detail))
            case Ignored(reason=IgnoredReason.RESERVED_OFFSET):
                # The log was empty. Offset 0 is reserved, so its first record never
                # takes effect and the publication is appended again.
                return await self.publish(service, text, base_revision, author)
            case Ignored(reason=why):
                # A repeated or buffered record may already be in force or come into
                # force later, so this is not reported as a refusal.
                return Err(OutcomeUnknown(reason=f"The record was ignored: {why}."))

    async def record_verdict(self, body: VerdictBody) -> None:
        """Append a verdict on a rollout.

        A failure is only logged: the next evaluation of the rollout tries again.
        """
        apply_result = await self._append(body)
        if isinstance(apply_result, Err):
            logger.warning(
                "Could not record the verdict on a rollout: %s",
                apply_result.err_value.detail,
            )

    async def write_checkpoint_if_due(self, now: Instant) -> bool:
        """Write a checkpoint before the oldest entry that a new reader needs expires.

        Returns
        -------
        bool
            Whether all records of a checkpoint were appended.
        """
        due = decide_checkpoint(self.state, self._retention_ms, now)
        if not isinstance(due, CheckpointDue) or self.reader.last_tail_read is None:
            return False
        if self.reader.next_offset < self.state.next_offset:
            # A peer's state is ahead of the reader; the unread part of the log may
            # hold a newer checkpoint.
            return False
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
        logger.info("Sent the %d records of a checkpoint to the log.", len(results))
        return all(result.is_ok() for result in results)

    async def _append(
        self, body: PublishBody | VerdictBody
    ) -> Result[ApplyResult, LogUnavailable | OutcomeUnknown]:
        """Append a record and wait until this host has read and applied it."""
        now = self._clock.now()
        record = make_control_record(str(uuid6.uuid7()), body, self._writer, now)
        waiting: asyncio.Future[ApplyResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_appends[record.record_id] = waiting
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
                    remaining_ms = max(1, deadline - self._clock.now().mono_ms)
                    async with asyncio.timeout(remaining_ms / 1000):
                        return Ok(await waiting)
        except TimeoutError:
            return Err(OutcomeUnknown(reason="The log was not read in time."))
        finally:
            self._pending_appends.pop(record.record_id, None)
        raise AssertionError("A result is either Ok or Err.")


def is_valid_document(text: str) -> bool:
    """Return whether a published text is a valid service document."""
    return read_document(text).is_ok()


def _describe(failure: FieldInvalid) -> str:
    return failure.detail
