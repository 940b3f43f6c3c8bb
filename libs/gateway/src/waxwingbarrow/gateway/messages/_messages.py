"""Messages that the hosts of a deployment send to each other."""

import enum

import msgspec
from result import Err, Result

from waxwingbarrow.core import UpstreamId
from waxwingbarrow.gateway.base import (
    BoundedFloat,
    BoundedInt,
    Position,
    Unreadable,
    Unsigned64,
    decode_with,
)
from waxwingbarrow.gateway.messages._capacity_admission import (
    CapacityAnswer,
    CapacityDecision,
    CapacityQuery,
)
from waxwingbarrow.gateway.upstreams import (
    ColdReport,
    NoticeReport,
    PartLosses,
    SpeedReport,
    UpstreamProcess,
)

# Version of the message format; messages of another version are ignored.
MESSAGE_FORMAT = 5


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """State that one host sends to its peers several times a second.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    started_ms : int
        Wall time of the start of the process. Messages of an earlier start are ignored.
    end_offsets : dict
        Offset up to which the sender knows each keyed topic.
    loads : list
        For each upstream with requests of the sender: running requests, prompt tokens
        that are not prefilled yet, and tokens of engine memory in use.
    demands : list
        Account, and quota per second that its requests at the sender ask for.
    usage : list
        Usage window, account, and requests that began to run in the window.
    rollout_counts : list
        Counts of undecided rollouts; see `Rollouts.list_own`.
    parts : list
        Upstream, and identifiers and lengths in tokens of the prompt parts sent to it.
    suspects : list
        Fingerprints of requests that crash upstreams, and for each the upstreams that
        it crashed with their start times.
    work : list
        Service, and engine time that its requests at the sender need, in ms per second.
    taken : list
        Account, and quota charged to it by the sender since the start of the process.
    fencing_token : int
        Fencing token under which the sender holds the duties, which one host at a time
        does for all; see `DutyRunner`. 0 if it does not hold them.
    fleet_hash : int
        Hash of the upstreams that the sender knows; see `Fleet.compute_hash`.
    withdrawn : list
        Service, and offset of the rollout order that the sender has withdrawn.
    relay_mbps : int
        Rate in Mbit/s at which the sender can relay; see `compute_relay_mbps`.
    eligibility : int
        Whether the sender could hold the duties; see `DutyEligibility`.
    is_for_holder : bool
        Whether it is sent to the holder of the duties, which need not be the sender's
        relay.
    operator_age_ms : int or None
        Time since the store confirmed that the sender knows the operator's topic up to
        its end offset; None if it has not.
    part_losses : list
        Service and identifier of prompt parts, and for each its depth in the prompts,
        the time in ms since the last change, the upstreams that crashed under it and
        those of them that it did not crash, with their start times.
    notices : list
        What upstreams ask of the hosts; see `NoticeReport`.
    speeds : list
        Speed of the engines, if the sender is the keeper; see `SpeedReport`.
    cold : list
        Upstreams that are cold, which no registration states; see `ColdReport`.
    store_era : int
        Era of the store that `end_offsets` belong to; see `Position`.
    """

    format: BoundedInt
    host: str
    started_ms: BoundedInt
    data_centre: str
    end_offsets: dict[str, BoundedInt]
    loads: list[tuple[str, BoundedInt, BoundedInt, BoundedInt]] = []
    demands: list[tuple[str, BoundedFloat]] = []
    usage: list[tuple[BoundedInt, str, BoundedInt]] = []
    rollout_counts: list[
        tuple[str, BoundedInt, bool, str, BoundedInt, BoundedInt, BoundedFloat]
    ] = []
    parts: list[tuple[str, list[tuple[Unsigned64, BoundedInt]]]] = []
    suspects: list[tuple[str, list[tuple[str, BoundedInt]]]] = []
    work: list[tuple[str, BoundedFloat]] = []
    taken: list[tuple[str, BoundedFloat]] = []
    fencing_token: BoundedInt = 0
    fleet_hash: Unsigned64 = 0
    withdrawn: list[tuple[str, BoundedInt]] = []
    relay_mbps: BoundedInt = 0
    eligibility: BoundedInt = 1
    is_for_holder: bool = False
    operator_age_ms: BoundedInt | None = None
    part_losses: list[PartLosses] = []
    notices: list[NoticeReport] = []
    speeds: list[SpeedReport] = []
    cold: list[ColdReport] = []
    store_era: BoundedInt = 0


class RelaySummary(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """Sums over the hosts of one data centre or of all data centres, from a relay.

    Hosts send it as an array, so the order of the fields is part of the format. Fields
    that are not listed here are as in `Heartbeat`, summed or joined over the hosts.

    Parameters
    ----------
    relay, started_ms, data_centre : str, int, str
        Sender, as in `Heartbeat`.
    is_total : bool
        Whether the sums are over all data centres. Relays send such sums to the hosts
        of their data centre, and the sums over their data centre to other relays.
    host_count : int
        Number of hosts in the sums.
    members : list
        Names of the hosts of the relay's data centre.
    holder : tuple or None
        Fencing token and IP address of the holder of the duties.
    end_offsets, fleet_hash, eligibility, store_era : dict, int, int, int
        Of the relay itself, as in `Heartbeat`.
    replacement : str
        Host that replaces the sender as relay of its data centre; empty if none does.
    operator_age_ms : int or None
        Time since the store confirmed that the sender knows the operator's topic up to
        its end offset; None if it has not.
    deputies : list
        Addresses of the relays that decide on quotas while the holder of the duties
        does not answer, the preferred one first.
    """

    format: BoundedInt
    relay: str
    started_ms: BoundedInt
    data_centre: str
    is_total: bool
    host_count: BoundedInt
    members: list[str]
    holder: tuple[BoundedInt, str] | None
    end_offsets: dict[str, BoundedInt]
    fleet_hash: Unsigned64
    loads: list[tuple[str, BoundedInt, BoundedInt, BoundedInt]]
    demands: list[tuple[str, BoundedFloat]]
    work: list[tuple[str, BoundedFloat]]
    parts: list[tuple[str, list[tuple[Unsigned64, BoundedInt]]]]
    suspects: list[tuple[str, list[tuple[str, BoundedInt]]]]
    withdrawn: list[tuple[str, BoundedInt]]
    eligibility: BoundedInt = 1
    replacement: str = ""
    operator_age_ms: BoundedInt | None = None
    deputies: list[str] = []
    part_losses: list[PartLosses] = []
    notices: list[NoticeReport] = []
    speeds: list[SpeedReport] = []
    cold: list[ColdReport] = []
    store_era: BoundedInt = 0


def list_positions(message: Heartbeat | RelaySummary) -> dict[str, Position]:
    """Return the position up to which the sender of a message knows each topic."""
    return {
        topic: Position(message.store_era, end)
        for topic, end in message.end_offsets.items()
    }


class PlacementQuery(msgspec.Struct, array_like=True, frozen=True):
    """Request for advice on where to send a request to a model engine.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    data_centre : str
        Data centre of the host that asks.
    prompt_tokens, output_tokens : int
        Size of the request.
    parts : list
        Identifiers and lengths in tokens of the parts of the prompt.
    latest_start_ms : float
        The request is refused if it would start later than in this time.
    version : str
        Version that the upstream must have; empty if any may be used.
    excluded_versions, avoided_upstreams : list
        Versions and upstreams that must not be used.
    capacity : CapacityQuery or None
        Set if the request is to be admitted by urgency.
    """

    service: str
    data_centre: str
    prompt_tokens: BoundedInt
    output_tokens: BoundedInt
    parts: list[tuple[Unsigned64, BoundedInt]]
    latest_start_ms: BoundedFloat
    version: str = ""
    excluded_versions: list[str] = []
    avoided_upstreams: list[str] = []
    admission: CapacityQuery | None = None


class PlacementAdvice(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a `PlacementQuery`.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    start_ms : float
        Estimated time until the prompt is prefilled.
    cached_tokens : int
        Prompt tokens that the upstream is assumed to have cached.
    running : int
        Requests that run at the upstream.
    candidates : int
        Number of upstreams that could be used.
    is_permitted : bool
        Whether a permit was taken, if the upstream limits its requests.
    capacity : CapacityAnswer or None
        Whether the request is served, if the query asked for it and the sender decides.
    is_cold : bool
        Whether the sender knows that the upstream is cold, so that the permit covers
        that.
    """

    upstream: str
    start_ms: BoundedFloat
    cached_tokens: BoundedInt
    running: BoundedInt
    candidates: BoundedInt
    is_permitted: bool = False
    admission: CapacityAnswer | None = None
    is_cold: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether the request must not be served."""
        return (
            self.admission is not None
            and self.admission.decision is CapacityDecision.REFUSE
        )


class AttemptOutcome(enum.IntEnum):
    """How far an attempt at a model engine came.

    Attributes
    ----------
    FIRST_EVENT
        The first event arrived.
    FAILED
        The attempt failed, or the engine answered with an error.
    UNREACHABLE
        The engine did not accept a connection.
    NOT_RUN
        The engine turned the request away.
    ENDED
        The stream ended, and its decoding steps were measured.
    """

    FIRST_EVENT = 1
    FAILED = 2
    UNREACHABLE = 3
    NOT_RUN = 4
    ENDED = 5


class AttemptReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """Outcome of an attempt at a model engine, sent to the host that places requests.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    number : int
        Number of the `QuotaRequest` whose answer advised the engine; 0 if none did.
    started_ms : int
        Wall time of the start of the engine's process, as it is registered.
    step_ms, running : float or None
        Time of a decoding step, and requests that ran meanwhile, if it was measured.
    """

    format: BoundedInt
    number: BoundedInt
    upstream: str
    started_ms: BoundedInt
    outcome: AttemptOutcome
    step_ms: BoundedFloat | None = None
    running: BoundedFloat | None = None


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Request for quota, sent to the host that decides on quotas for all hosts.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    number : int
        Identifies the request at the sender.
    account : str
        Account to charge; empty if only advice on the placement is needed.
    cost : float
        Quota to charge to the account: tokens or requests, by the account's unit.
    placement : PlacementQuery or None
        For a request to a model engine: what its placement depends on.
    """

    format: BoundedInt
    number: BoundedInt
    account: str
    cost: BoundedFloat
    placement: PlacementQuery | None = None


class QuotaReply(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """Answer to a `QuotaRequest`.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    number : int
        Number of the request.
    is_keeper : bool
        Whether the sender decides for all hosts; otherwise nothing was charged.
    admitted : bool
        Whether enough quota was left and the cost was charged. Nothing is charged for
        a request that `placement` refuses.
    retry_after_s : float or None
        Time until enough quota will be left; only set if too little is.
    left : float or None
        Quota that is left; only set if it is too little. Negative if the account has
        used more than its limit.
    placement : PlacementAdvice or None
        Where to send an admitted request.
    """

    format: BoundedInt
    number: BoundedInt
    is_keeper: bool
    admitted: bool
    retry_after_s: BoundedFloat | None = None
    left: BoundedFloat | None = None
    placement: PlacementAdvice | None = None


class PermitRequest(msgspec.Struct, array_like=True, frozen=True, tag="permit"):
    """Request for a permit to send one request to an upstream that limits them.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    number : int
        Identifies the request at the sender.
    notice : tuple
        What the sender knows of the upstream's limit.
    cold : list
        What the sender knows of the upstream's cold phase, if it is cold.
    """

    format: BoundedInt
    number: BoundedInt
    notice: NoticeReport
    cold: list[ColdReport] = []

    @property
    def process(self) -> UpstreamProcess:
        """The upstream's process."""
        return UpstreamId(self.notice[0]), self.notice[1]


class PermitReply(msgspec.Struct, array_like=True, frozen=True, tag="permitted"):
    """Answer to a `PermitRequest`.

    Hosts send it as an array, so the order of the fields is part of the format.

    Parameters
    ----------
    number : int
        Number of the request.
    is_keeper : bool
        Whether the sender decides for all hosts; otherwise nothing was granted.
    wait_ms : int
        Time until a permit will be available, if none was granted.
    """

    format: BoundedInt
    number: BoundedInt
    is_keeper: bool
    granted: bool
    wait_ms: BoundedInt = 0


Message = (
    Heartbeat
    | RelaySummary
    | QuotaRequest
    | QuotaReply
    | AttemptReport
    | PermitRequest
    | PermitReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Serialize a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Result[Message, Unreadable]:
    """Deserialize a message; bytes that are not a message give an `Err`."""
    decoded = decode_with(_decoder.decode, data)
    if isinstance(decoded, Err):
        return decoded
    message = decoded.ok_value
    if message.format != MESSAGE_FORMAT:
        return Err(Unreadable(f"unsupported message format {message.format}"))
    return decoded
