"""Interfaces that an adapter to a platform implements."""

import enum
from typing import Protocol

import attrs
from result import Result

from waxwingbarrow.core import AccountId, DataCentre, Failure, ServiceName
from waxwingbarrow.gateway._model import (
    AnswerFacts,
    AnswerHead,
    Call,
    CallFacts,
    Configuration,
    Headers,
    RolloutOrder,
    RolloutStatus,
    Sending,
    UpstreamEntry,
)


@attrs.frozen
class StoreUnreachable(Failure):
    """The call may or may not have been carried out."""

    reason: str

    @property
    def detail(self) -> str:
        """Why the call has no result."""
        return self.reason


@attrs.frozen
class StoreRefused(Failure):
    """The store answered that nothing was done."""

    status: int
    reason: str

    @property
    def detail(self) -> str:
        """Status and reason of the store."""
        return f"status {self.status}: {self.reason}"


@attrs.frozen
class HistoryGone(Failure):
    """The records at the wanted offset are no longer kept."""

    first_offset: int


@attrs.frozen
class Fenced(Failure):
    """Another process used a higher fencing number."""


@attrs.frozen
class Unreadable(Failure):
    """A message that does not have the expected form."""

    reason: str

    @property
    def detail(self) -> str:
        """What is wrong."""
        return self.reason


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic; an empty value removes the key."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class KeyedPage:
    """Records of a keyed topic, and the offset after the newest one."""

    records: tuple[KeyedRecord, ...]
    end: int


@attrs.frozen
class Record:
    """A record of a plain topic."""

    offset: int
    value: bytes


@attrs.frozen
class RecordPage:
    """Records of a plain topic, and the offset after the newest one."""

    records: tuple[Record, ...]
    end: int


@attrs.frozen
class Grant:
    """Whether this member holds the exclusive duty, and the group's generation."""

    held: bool
    generation: int


StoreFailure = StoreUnreachable | StoreRefused | HistoryGone | Fenced


class Topic:
    """Names of the topics that a gateway uses; the adapter maps them."""

    OPERATOR = "operator"
    UPSTREAMS = "upstreams"
    STATUS = "status"
    HOSTS = "hosts"
    USAGE = "usage"


class Store(Protocol):
    """The platform's metadata store."""

    async def read_newest(self, topic: str) -> Result[KeyedPage, StoreFailure]:
        """Return the newest record of each key."""
        ...

    async def read_keyed(
        self, topic: str, offset: int, wait_ms: int
    ) -> Result[KeyedPage, StoreFailure]:
        """Return records of a keyed topic from an offset on."""
        ...

    async def write_keyed(
        self, topic: str, key: str, value: bytes, epoch: int | None = None
    ) -> Result[int, StoreFailure]:
        """Append a keyed record; with an epoch, only while it is not fenced."""
        ...

    async def read_records(
        self, topic: str, offset: int
    ) -> Result[RecordPage, StoreFailure]:
        """Return records of a plain topic from an offset on."""
        ...

    async def append(
        self, topic: str, value: bytes, epoch: int
    ) -> Result[int, StoreFailure]:
        """Append a record to a plain topic unless the epoch is fenced."""
        ...

    async def fence(self, topic: str, epoch: int) -> Result[None, StoreFailure]:
        """Refuse later appends of lower epochs."""
        ...

    async def renew(
        self, member: str, ttl_ms: int, generation: int
    ) -> Result[Grant, StoreFailure]:
        """Join or stay in the group that shares out the exclusive duty."""
        ...

    async def leave(self, member: str) -> Result[None, StoreFailure]:
        """Leave the group."""
        ...


@attrs.frozen
class CloudRefused(Failure):
    """The cloud refused a call; `fenced` tells whether for a higher number."""

    status: int
    fenced: bool


@attrs.frozen
class CloudUnreachable(Failure):
    """The call has no answer and may still be carried out."""

    reason: str


CloudFailure = CloudRefused | CloudUnreachable


class Cloud(Protocol):
    """Calls to the platform that are an exclusive duty."""

    async def report_usage(
        self, window: int, counts: dict[AccountId, int], token: int
    ) -> Result[None, CloudFailure]:
        """Report the requests that began to run in a window."""
        ...

    async def order_workers(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        reclaimable: bool,
        token: int,
    ) -> Result[None, CloudFailure]:
        """Order a number of workers of one kind for a service in a data centre."""
        ...


class MoveState(enum.Enum):
    """What became of a run that was to be moved."""

    COPIED = "copied"
    STOPPED = "stopped without a copy elsewhere"


class Codec(Protocol):
    """Translation of messages on connections to callers and upstreams."""

    def read_call(self, call: Call) -> Result[CallFacts, Unreadable]:
        """Decode the headers of a request."""
        ...

    def write_request(self, call: Call, sending: Sending) -> Headers:
        """Return the headers to send to an upstream."""
        ...

    def read_response(self, head: AnswerHead) -> AnswerFacts:
        """Decode the headers of an upstream's answer."""
        ...

    def write_move(
        self, request_id: str, target_address: str
    ) -> tuple[bytes, Headers, bytes]:
        """Return target, headers and body of the call that moves a run elsewhere."""
        ...

    def read_move(
        self, status: int, body: bytes
    ) -> Result[tuple[MoveState, str], Unreadable]:
        """Decode its answer into what happened and the name of the copy."""
        ...

    def write_response(self, head: AnswerHead) -> Headers:
        """Return the headers to pass on to the caller."""
        ...

    def write_refusal(
        self, request_id: str | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of the gateway's own."""
        ...

    def read_configuration(self, value: bytes) -> Result[Configuration, Unreadable]:
        """Decode the configuration."""
        ...

    def read_upstream(
        self, key: str, value: bytes
    ) -> Result[UpstreamEntry, Unreadable]:
        """Decode an upstream's registration."""
        ...

    def read_operator_key(self, key: str) -> str | None:
        """Return the service that an operator's rollout order names, if it is one."""
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


def describe(failure: StoreFailure | CloudFailure) -> str:
    """Return a short text for a log line."""
    return f"{type(failure).__name__}: {failure.detail}"
