"""Interfaces that an adapter to a platform implements.

They are the metadata store, the cloud API and the formats of messages. Failures of the
calls are returned as values of the classes here.
"""

import enum
from typing import Protocol

import attrs
from result import Result

from waxwingbarrow.core import AccountId, DataCentre, Failure, ServiceName
from waxwingbarrow.gateway.base._eras import Position
from waxwingbarrow.gateway.base._model import (
    Call,
    CallMetadata,
    Configuration,
    ForwardingMetadata,
    Headers,
    ResponseHead,
    ResponseMetadata,
    RolloutOrder,
    RolloutStatus,
    UpstreamEntry,
)
from waxwingbarrow.gateway.base._operator_keys import OperatorKey


@attrs.frozen
class StoreUnreachable(Failure):
    """The store gave no usable response; the call may have been carried out."""

    reason: str

    @property
    def detail(self) -> str:
        """Why the outcome is unknown."""
        return self.reason


@attrs.frozen
class StoreRefused(Failure):
    """The store rejected the call and changed nothing."""

    status: int
    reason: str

    @property
    def detail(self) -> str:
        """Status and text of the response."""
        return f"status {self.status}: {self.reason}"


@attrs.frozen
class HistoryGone(Failure):
    """The store no longer keeps the records at the requested offset.

    Parameters
    ----------
    first_offset : int
        Offset of the oldest record that is kept.
    """

    first_offset: int


@attrs.frozen
class Fenced(Failure):
    """The fencing token is outdated: another process used a higher one."""


@attrs.frozen
class Unreadable(Failure):
    """A message that cannot be decoded."""

    reason: str

    @property
    def detail(self) -> str:
        """Why the message cannot be decoded."""
        return self.reason


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic, in which a newer record replaces one of the same key.

    An empty value removes the key.
    """

    offset: int
    key: str
    value: bytes


@attrs.frozen
class KeyedPage:
    """Records of a keyed topic, and the offset after the topic's newest record.

    Parameters
    ----------
    era : int
        Era of the store that the offsets belong to; see `Position`.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position after the topic's newest record."""
        return Position(self.era, self.end)


@attrs.frozen
class Record:
    """A record of a plain topic, whose records have no keys."""

    offset: int
    value: bytes


@attrs.frozen
class RecordPage:
    """Records of a plain topic, and the offset after the topic's newest record.

    Parameters
    ----------
    era : int
        Era of the store that the offsets belong to; see `Position`.
    """

    records: tuple[Record, ...]
    end: int
    era: int = 0


@attrs.frozen
class DutyAssignment:
    """Result of joining the group or renewing the membership.

    Parameters
    ----------
    held : bool
        Whether this member holds the lease on the duties.
    generation : int
        Generation of the group; the holder of the lease uses it as fencing token. It
        rises over the eras of the store.
    """

    held: bool
    generation: int


StoreFailure = StoreUnreachable | StoreRefused | HistoryGone | Fenced


class Topic:
    """Topics that a gateway uses; the adapter maps them to names in the store.

    Attributes
    ----------
    OPERATOR, STATUS
        Configuration and rollout orders; states of rollouts.
    UPSTREAMS, HOSTS
        Registrations of upstreams and of hosts.
    CRASHES
        Prompt parts that crash upstreams.
    USAGE
        Usage of each time window; a plain topic, the others are keyed.
    USAGE_ERAS
        First usage window of each era of the store.
    CONFIGURATION
        The configuration in force, with its version as offset; only between hosts. A
        store that came back from an older copy may have an earlier version.
    """

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    STATUS = "status"
    HOSTS = "hosts"
    CRASHES = "crashes"
    USAGE = "usage"
    USAGE_ERAS = "usage_eras"
    CONFIGURATION = "configuration"


class Store(Protocol):
    """The platform's metadata store."""

    async def read_newest(self, topic: str) -> Result[KeyedPage, StoreFailure]:
        """Return the newest record of each key; none if the topic does not exist."""
        ...

    async def read_keyed(
        self, topic: str, offset: int, wait_ms: int
    ) -> Result[KeyedPage, StoreFailure]:
        """Return records of a keyed topic from an offset on.

        Parameters
        ----------
        wait_ms : int
            Time for which the store waits for a new record before it responds.
        """
        ...

    async def write_keyed(
        self, topic: str, key: str, value: bytes, epoch: int | None = None
    ) -> Result[int, StoreFailure]:
        """Append a keyed record and return its offset.

        Parameters
        ----------
        epoch : int or None
            Fencing token; if given, the store refuses the record if a higher one was
            used before.
        """
        ...

    async def read_records(
        self, topic: str, offset: int
    ) -> Result[RecordPage, StoreFailure]:
        """Return records of a plain topic from an offset on."""
        ...

    async def append(
        self, topic: str, value: bytes, epoch: int
    ) -> Result[int, StoreFailure]:
        """Append a record to a plain topic and return its offset.

        Parameters
        ----------
        epoch : int
            Fencing token; the store refuses the record if a higher one was used before.
        """
        ...

    async def fence(self, topic: str, epoch: int) -> Result[None, StoreFailure]:
        """Make the store refuse later records with a lower fencing token.

        Parameters
        ----------
        epoch : int
            Fencing token.
        """
        ...

    async def renew_membership(
        self, member: str, ttl_ms: int, generation: int
    ) -> Result[DutyAssignment, StoreFailure]:
        """Join the group whose members compete for the duties, or renew the membership.

        Parameters
        ----------
        ttl_ms : int
            Time after which the store removes a member that has not renewed.
        generation : int
            Last known generation of the group.
        """
        ...

    async def leave_group(self, member: str) -> Result[None, StoreFailure]:
        """Leave the group, so that another member gets the duties."""
        ...


@attrs.frozen
class CloudRefused(Failure):
    """The cloud API refused a call.

    Parameters
    ----------
    fenced : bool
        Whether it was refused because another process used a higher fencing token.
    """

    status: int
    fenced: bool


@attrs.frozen
class CloudUnreachable(Failure):
    """The cloud API gave no response; the call may have been carried out."""

    reason: str


@attrs.frozen
class LeaseEnded(Failure):
    """The call was not made, or was ended, because this host lost its lease.

    Parameters
    ----------
    sent : bool
        Whether the call may have been carried out.
    """

    sent: bool


CloudFailure = CloudRefused | CloudUnreachable | LeaseEnded


class Cloud(Protocol):
    """Calls to the cloud API that only the holder of the duties makes.

    The `token` of each call is the fencing token.
    """

    async def report_usage(
        self, window: int, counts: dict[AccountId, int], token: int
    ) -> Result[None, CloudFailure]:
        """Report for each account how many requests began to run in a window.

        Parameters
        ----------
        window : int
            Number of the window; see `UsageCounter`.
        """
        ...

    async def order_workers(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        reclaimable: bool,
        token: int,
    ) -> Result[None, CloudFailure]:
        """Set the desired number of regular or reclaimable workers in a data centre."""
        ...


class MoveState(enum.Enum):
    """Outcome of a call that moves a run.

    Attributes
    ----------
    COPIED
        The run was stopped and its memory was copied to the target.
    STOPPED
        The run was stopped, but its memory is only at the source.
    NO_RUN
        The source does not run the request.
    """

    COPIED = "copied"
    STOPPED = "stopped without a copy elsewhere"
    NO_RUN = "no such run"


class Codec(Protocol):
    """Translation between the platform's formats and the gateway's types.

    Covers the headers of callers and upstreams and the documents in the store.
    """

    def read_call(self, call: Call) -> Result[CallMetadata, Unreadable]:
        """Decode the headers of a request."""
        ...

    def write_request(self, call: Call, forwarding: ForwardingMetadata) -> Headers:
        """Return the headers to send to an upstream."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the headers of an upstream's response."""
        ...

    def write_move(
        self, request_id: str, target_address: str
    ) -> tuple[bytes, Headers, bytes]:
        """Return path, headers and body of the call that moves a run to an upstream.

        Parameters
        ----------
        target_address : str
            IP address and port of that upstream.
        """
        ...

    def read_move(
        self, status: int, body: bytes
    ) -> Result[tuple[MoveState, str], Unreadable]:
        """Decode the response to a move: its outcome and the name of the copy.

        The name is empty if there is no run.
        """
        ...

    def write_state_query(self) -> tuple[bytes, Headers]:
        """Return path and headers of the call that asks an upstream for its state."""
        ...

    def read_process_start(self, body: bytes) -> int | None:
        """Return the wall time in ms at which the process of an upstream started.

        None if its state does not say so.
        """
        ...

    def write_response(self, head: ResponseHead) -> Headers:
        """Return the headers to pass on to the caller."""
        ...

    def write_refusal(
        self, request_id: str | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of a response that the gateway generates itself."""
        ...

    def read_configuration(self, value: bytes) -> Result[Configuration, Unreadable]:
        """Decode the configuration."""
        ...

    def read_upstream(
        self, key: str, value: bytes
    ) -> Result[UpstreamEntry, Unreadable]:
        """Decode an upstream's registration."""
        ...

    def read_operator_key(self, key: str) -> OperatorKey | None:
        """Return which order has this key; None for a configuration."""
        ...

    def read_rollout(
        self, value: bytes, offset: int
    ) -> Result[RolloutOrder, Unreadable]:
        """Decode an operator's rollout order."""
        ...

    def read_status(self, value: bytes) -> Result[RolloutStatus, Unreadable]:
        """Decode a recorded rollout state."""
        ...

    def write_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return key and value of a rollout state."""
        ...


def describe_failure(failure: StoreFailure | CloudFailure) -> str:
    """Format a failure for a log line."""
    return f"{type(failure).__name__}: {failure.detail}"
