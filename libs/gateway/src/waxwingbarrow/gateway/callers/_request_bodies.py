"""Bodies of requests while they are received."""

# Pieces of at least this size are kept as they are.
MIN_PART_BYTES = 4_096


class IncomingBody:
    """A body that arrives in pieces.

    Attributes
    ----------
    size_bytes : int
        What has arrived.
    left_bytes : int
        What is missing, if the length is declared; otherwise 0.
    counted_bytes : int
        Part of `size_bytes` that is already counted against a budget.
    """

    __slots__ = ("_parts", "counted_bytes", "left_bytes", "size_bytes")

    def __init__(self) -> None:
        self._parts: list[bytes | bytearray] = []
        self.size_bytes = 0
        self.left_bytes = 0
        self.counted_bytes = 0

    def add(self, piece: bytes) -> None:
        """Append a piece.

        Pieces of a few bytes each would need far more memory than they contain, so they
        are copied together.
        """
        parts = self._parts
        if not parts or len(piece) >= MIN_PART_BYTES:
            parts.append(piece)
        elif isinstance(parts[-1], bytearray):
            parts[-1] += piece
        else:
            parts.append(bytearray(piece))
        self.size_bytes += len(piece)
        if self.left_bytes:
            self.left_bytes -= len(piece)

    def join(self) -> bytes:
        """Return the whole body."""
        parts = self._parts
        # The first part is never a bytearray.
        return parts[0] if len(parts) == 1 else b"".join(parts)  # type: ignore[return-value]
