"""Decoding of bytes that other processes wrote, with bounds on the values.

Anyone may write to the store or send a message, so bytes of any content give a value
within the bounds or an error, never another exception.
"""

import functools
import ipaddress
from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

from waxwingbarrow.gateway.base._ports import Unreadable

# Greatest magnitude of a number in a document or message: integers up to it are exact
# in JSON, and sums of many fit into 64 bits when they are sent on.
MAX_INTEGER = 2**53
MAX_NUMBER = 1e15
MAX_PORT = 65_535
MAX_REASON_CHARACTERS = 200

BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# Hashes and identifiers, which are not added up. MessagePack has no larger integers.
Unsigned64 = Annotated[int, msgspec.Meta(ge=0)]

# What decoders raise: msgspec's own errors, invalid UTF-8 or numbers, nesting that is
# too deep, and numbers without a representation.
DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)

T = TypeVar("T")


def decode_with(decode: Callable[[bytes], T], data: bytes) -> Result[T, Unreadable]:
    """Return what a decoder makes of bytes, or why it cannot read them.

    Examples
    --------
    >>> decode_with(msgspec.json.decode, b"[1]")
    Ok([1])
    >>> decode_with(msgspec.json.decode, b"[" * 100_000).is_err()
    True
    """
    try:
        return Ok(decode(data))
    except DECODING_ERRORS as error:
        return Err(Unreadable(describe_error(error)))


def decode_json(data: bytes, kind: type[T]) -> Result[T, Unreadable]:
    """Decode a JSON document of a type."""
    return decode_with(lambda content: msgspec.json.decode(content, type=kind), data)


def decode_msgpack(data: bytes, kind: type[T]) -> Result[T, Unreadable]:
    """Decode a MessagePack document of a type."""
    return decode_with(lambda content: msgspec.msgpack.decode(content, type=kind), data)


def describe_error(error: Exception) -> str:
    """Return a text of bounded length for an error in bytes of another process."""
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]


def parse_address(address: str) -> tuple[str, int] | None:
    """Parse the IPv4 address and port of a peer or upstream; None for any other text.

    Examples
    --------
    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    >>> [parse_address(text) for text in ("a.b:80", "10.0.0.1:0", "10.0.0.1:70000")]
    [None, None, None]
    """
    host, _, digits = address.rpartition(":")
    if not is_ip_address(host) or parse_decimal(digits, MAX_PORT) in (None, 0):
        return None
    return host, int(digits)


@functools.lru_cache(maxsize=4_096)
def is_ip_address(host: str) -> bool:
    """Return whether a text is an IPv4 address in the usual form."""
    try:
        return str(ipaddress.IPv4Address(host)) == host
    except ValueError:
        return False


def parse_decimal(text: str, maximum: int = MAX_INTEGER) -> int | None:
    """Parse a whole number in ASCII digits; None for other texts and larger numbers.

    Examples
    --------
    >>> [parse_decimal(text) for text in ("12", "-1", "", "²", "9" * 5_000)]
    [12, None, None, None, None]
    """
    significant = text.lstrip("0")
    is_short = len(significant) <= len(str(maximum))
    if not (text.isascii() and text.isdigit() and is_short):
        return None
    number = int(text[-len(significant) :] if significant else "0")
    return number if number <= maximum else None


def is_header_value(text: str) -> bool:
    """Return whether a text can be the value of an HTTP header."""
    return text.isascii() and text.isprintable() and text == text.strip() != ""
