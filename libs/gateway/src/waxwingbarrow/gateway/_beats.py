"""Messages that hosts send to each other several times a second."""

import msgspec
from result import Err, Ok, Result

from waxwingbarrow.gateway._ports import Unreadable

FORMAT = 5


class Beat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """What one host tells its peers.

    Parameters
    ----------
    started_ms : int
        Wall time of the start of the process; a later one replaces an earlier.
    ends : dict
        Offset up to which the sender knows each keyed topic.
    loads : list
        Upstream, running requests, unread tokens, used tokens.
    demands : list
        Account and demand per second.
    usage : list
        Window, account and requests that began to run there.
    counts : list
        Rollout counts; see `Rollouts.list_own`.
    parts : list
        Upstream, and identifiers and lengths of the prompt parts sent to it.
    suspects : list
        Fingerprints of requests that crash upstreams, and what they crashed.
    work : list
        Service and the engine time that its requests ask for, in ms per second.
    taken : list
        Account and what was charged to it since the start of the process.
    holds : int
        Fencing number under which the sender holds the duties; 0 if it does not.
    fleet : int
        Hash of the upstreams that the sender knows.
    withdrawn : list
        Service and order of rollouts that the sender has withdrawn.
    strength : int
        How well the sender is suited as a relay.
    readiness : int
        Whether the sender could hold the duties; see `Readiness`.
    """

    format: int
    host: str
    started_ms: int
    data_centre: str
    ends: dict[str, int]
    loads: list[tuple[str, int, int, int]] = []
    demands: list[tuple[str, float]] = []
    usage: list[tuple[int, str, int]] = []
    counts: list[tuple[str, int, bool, str, int, int, float]] = []
    parts: list[tuple[str, list[tuple[int, int]]]] = []
    suspects: list[tuple[str, list[tuple[str, int]]]] = []
    work: list[tuple[str, float]] = []
    taken: list[tuple[str, float]] = []
    holds: int = 0
    fleet: int = 0
    withdrawn: list[tuple[str, int]] = []
    strength: int = 0
    readiness: int = 1


class Digest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """Sums over the hosts of one data centre, or of all, from a relay.

    Parameters
    ----------
    relay, started_ms, data_centre : str, int, str
        Sender, as in `Beat`.
    is_total : bool
        Whether the sums are over all data centres.
    hosts : int
        Number of hosts in the sums.
    members : list
        Names of the hosts of the relay's data centre.
    holder : tuple or None
        Fencing number and IP address of the holder of the duties.
    readiness : int
        As in `Beat`.
    """

    format: int
    relay: str
    started_ms: int
    data_centre: str
    is_total: bool
    hosts: int
    members: list[str]
    holder: tuple[int, str] | None
    ends: dict[str, int]
    fleet: int
    loads: list[tuple[str, int, int, int]]
    demands: list[tuple[str, float]]
    work: list[tuple[str, float]]
    parts: list[tuple[str, list[tuple[int, int]]]]
    suspects: list[tuple[str, list[tuple[str, int]]]]
    withdrawn: list[tuple[str, int]]
    readiness: int = 1


class QuotaAsk(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Request for quota, to the host that decides for all.

    Parameters
    ----------
    number : int
        Identifies the request at the sender.
    cost : float
        What the account is to be charged.
    """

    format: int
    number: int
    account: str
    cost: float


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """Answer to an `QuotaAsk`.

    Parameters
    ----------
    is_keeper : bool
        Whether the sender decides for all; otherwise nothing was charged.
    retry_after_s : float or None
        When the quota will suffice, if it does not.
    left : float or None
        What is left of it then.
    """

    format: int
    number: int
    is_keeper: bool
    admitted: bool
    retry_after_s: float | None = None
    left: float | None = None


Message = Beat | Digest | QuotaAsk | QuotaGrant

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
    Beat | Digest | QuotaAsk | QuotaGrant
)


def encode_message(message: Message) -> bytes:
    """Serialize a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Result[Message, Unreadable]:
    """Read a message; anything else that arrives is an error, not an exception."""
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(Unreadable(str(error)))
    if message.format != FORMAT:
        return Err(Unreadable(f"format {message.format}"))
    return Ok(message)
