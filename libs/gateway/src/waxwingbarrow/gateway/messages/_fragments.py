"""Fragmentation of messages that do not fit into one datagram."""

import logging
import struct
import zlib
from collections import OrderedDict

import attrs
from result import Err, Ok, Result

from waxwingbarrow.gateway.base import Unreadable

logger = logging.getLogger("waxwingbarrow.gateway.peers")

# Maximum payload of a datagram after its header. Larger datagrams may be fragmented by
# IP, and some links drop fragmented datagrams.
MAX_FRAGMENT_BYTES = 1_200
# Messages of at least this size are compressed: names repeat within a message, and
# traffic between data centres is charged by the byte.
COMPRESS_FROM_BYTES = 600
MAX_FRAGMENTS = 64
# Maximum size of a message after decompression.
MAX_MESSAGE_BYTES = 262_144
# Maximum number of incomplete messages that are kept. Beyond it the oldest are dropped,
# as they have probably lost a fragment.
MAX_INCOMPLETE_MESSAGES = 256
# Message number, fragment position, number of fragments, whether compressed.
HEADER = struct.Struct(">IBBB")


@attrs.define
class _IncompleteMessage:
    """Fragments of a message that have arrived, by position."""

    fragments: dict[int, bytes] = attrs.Factory(dict)


class Fragmenter:
    """Splits messages into datagrams of at most `MAX_FRAGMENT_BYTES` and a header."""

    def __init__(self) -> None:
        self._message_number = 0

    def split(self, message: bytes) -> list[bytes]:
        """Return the datagrams of a message; none if it needs too many.

        Examples
        --------
        >>> datagrams = Fragmenter().split(b"a" * 500)
        >>> message = Reassembler().join("10.0.0.1", datagrams[0]).ok()
        >>> len(datagrams), message == b"a" * 500
        (1, True)
        """
        self._message_number = (self._message_number + 1) % 2**32
        is_compressed = len(message) >= COMPRESS_FROM_BYTES
        data = zlib.compress(message, 1) if is_compressed else message
        pieces = [
            data[start : start + MAX_FRAGMENT_BYTES]
            for start in range(0, max(len(data), 1), MAX_FRAGMENT_BYTES)
        ]
        if len(pieces) > MAX_FRAGMENTS or len(message) > MAX_MESSAGE_BYTES:
            logger.error(
                "message to a peer is too large and was not sent",
                extra={"size_bytes": len(message), "fragments": len(pieces)},
            )
            return []
        return [
            HEADER.pack(self._message_number, position, len(pieces), is_compressed)
            + piece
            for position, piece in enumerate(pieces)
        ]


class Reassembler:
    """Puts messages together from datagrams that arrive in any order."""

    def __init__(self) -> None:
        # By sender address and message number.
        self._incomplete: OrderedDict[tuple[str, int], _IncompleteMessage] = (
            OrderedDict()
        )

    def join(self, address: str, datagram: bytes) -> Result[bytes | None, Unreadable]:
        """Return the message if this datagram completes it, else None."""
        if len(datagram) < HEADER.size:
            return Err(Unreadable("datagram is shorter than a fragment header"))
        if len(datagram) > HEADER.size + MAX_FRAGMENT_BYTES:
            return Err(Unreadable(f"fragment of {len(datagram)} bytes"))
        number, position, count, is_compressed = HEADER.unpack_from(datagram)
        if position >= count or count > MAX_FRAGMENTS:
            return Err(
                Unreadable(f"invalid fragment header: position {position} of {count}")
            )
        piece = datagram[HEADER.size :]
        if count > 1:
            key = (address, number)
            incomplete = self._incomplete.setdefault(key, _IncompleteMessage())
            incomplete.fragments[position] = piece
            if len(incomplete.fragments) < count:
                while len(self._incomplete) > MAX_INCOMPLETE_MESSAGES:
                    self._incomplete.popitem(last=False)
                return Ok(None)
            del self._incomplete[key]
            piece = b"".join(
                incomplete.fragments[index] for index in sorted(incomplete.fragments)
            )
        if not is_compressed:
            return Ok(piece)
        try:
            decompressor = zlib.decompressobj()
            message = decompressor.decompress(piece, MAX_MESSAGE_BYTES)
        except zlib.error as error:
            return Err(Unreadable(str(error)))
        if decompressor.unconsumed_tail:
            return Err(Unreadable(f"message has more than {MAX_MESSAGE_BYTES} bytes"))
        return Ok(message)
