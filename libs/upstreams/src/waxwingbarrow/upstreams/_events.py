"""Events of a model engine's streamed answer and their wire format."""

from collections.abc import Callable
from typing import Any

import attrs

from waxwingbarrow.core import parse_json
from waxwingbarrow.upstreams._load import LoadReport, read_known

MAX_EVENT_BYTES = 1 << 20


@attrs.frozen
class Opened:
    """The headers of the answer have arrived.

    Parameters
    ----------
    leaving : bool
        Whether the engine reports that it is leaving.
    load : LoadReport or None
        Load report of the engine, if present.
    """

    leaving: bool
    load: LoadReport | None


@attrs.frozen
class Started:
    """The engine has accepted the request and assigned it a stream id.

    Parameters
    ----------
    stream_id : str
        Identity of the stream at this engine, with which it can be resumed.
    attempt_id : str
        Attempt that this stream belongs to.
    cached_tokens : int
        Number of prompt tokens that the engine found in its cache.
    """

    stream_id: str
    attempt_id: str
    cached_tokens: int


@attrs.frozen
class Token:
    """One generated token and its index in the whole text."""

    attempt_id: str
    index: int
    text: str


@attrs.frozen
class Finished:
    """The text is complete.

    Parameters
    ----------
    attempt_id : str
        Attempt that this stream belongs to.
    count : int
        Tokens of the whole text, including those before ``first_index``.
    load : LoadReport or None
        Load report of the engine, if present.
    """

    attempt_id: str
    count: int
    load: LoadReport | None = None


@attrs.frozen
class EngineError:
    """The engine ended the stream with an error event."""

    attempt_id: str
    reason: str


EngineEvent = Opened | Started | Token | Finished | EngineError


class MalformedEventError(ValueError):
    """Raised when an event cannot be parsed."""


class EventParser:
    """Incremental parser for a byte stream of server-sent events.

    Examples
    --------
    >>> parser = EventParser()
    >>> parser.feed(b"event: token\\ndata: {}\\n")
    []
    >>> parser.feed(b"\\n")
    [('token', '{}')]
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[tuple[str, str]]:
        """Return the name and data of each event that `chunk` completes.

        Raises
        ------
        MalformedEventError
            If an incomplete event exceeds `MAX_EVENT_BYTES`, or one is not UTF-8.
        """
        text = (self._buffer + chunk).replace(b"\r\n", b"\n")
        *blocks, self._buffer = text.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedEventError("an event is too large")
        try:
            events = [_parse_block(block.decode()) for block in blocks]
        except UnicodeDecodeError as error:
            raise MalformedEventError("an event is not UTF-8") from error
        return [(name, data) for name, data in events if data]


def _parse_block(block: str) -> tuple[str, str]:
    name, data = "message", []
    for line in block.split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            name = value
        elif field == "data":
            data.append(value)
    return name, "\n".join(data)


def read_event(name: str, text: str) -> EngineEvent | None:
    """Decode one event; an event with an unknown name gives None.

    Raises
    ------
    MalformedEventError
        If the data of a known event is malformed.
    """
    if name not in _READERS:
        return None
    try:
        data = parse_json(text)
        if not isinstance(data, dict):
            raise TypeError(name)
        return _READERS[name](data)
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedEventError(f"an event {name} is malformed") from error


def _require_field(data: Any, name: str, kind: type) -> Any:
    value = data[name]
    if type(value) is not kind:
        raise TypeError(name)
    return value


def _read_started(data: Any) -> Started:
    return Started(
        _require_field(data, "stream_id", str),
        _require_field(data, "attempt_id", str),
        _require_field(data, "cached_tokens", int),
    )


def _read_token(data: Any) -> Token:
    return Token(
        _require_field(data, "attempt_id", str),
        _require_field(data, "index", int),
        _require_field(data, "text", str),
    )


def _read_finished(data: Any) -> Finished:
    load = read_known(data.get("load"), LoadReport, "done")
    return Finished(
        _require_field(data, "attempt_id", str),
        _require_field(data, "count", int),
        load,
    )


def _read_error(data: Any) -> EngineError:
    return EngineError(str(data.get("attempt_id", "")), str(data.get("reason", "")))


_READERS: dict[str, Callable[[Any], EngineEvent]] = {
    "start": _read_started,
    "token": _read_token,
    "done": _read_finished,
    "error": _read_error,
}
