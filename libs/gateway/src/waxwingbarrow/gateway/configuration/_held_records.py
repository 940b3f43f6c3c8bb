"""Records that may be outdated, as the store came back from an older copy."""

from waxwingbarrow.core import Instant

# The operator and the upstreams write again what the copy lacks, upstreams within two
# seconds. What is not written again until then is taken as it stands in the store.
HOLD_MS = 3_000


class HeldRecords:
    """Keys whose records in a restored store differ from what was known before.

    Such a record may be older than the known one, and a key without a record may be
    written again. So the known state stays in force until the key is written in the new
    era, at most for `HOLD_MS`.
    """

    def __init__(self) -> None:
        # Monotonic time until which each key of a topic is held.
        self._until_ms: dict[tuple[str, str], int] = {}

    def hold(self, topic: str, key: str, now: Instant) -> None:
        """Hold a key."""
        self._until_ms[topic, key] = now.mono_ms + HOLD_MS

    def list_held(self, topic: str) -> set[str]:
        """Return the keys of a topic that are held."""
        return {key for held_topic, key in self._until_ms if held_topic == topic}

    def release(self, topic: str, key: str) -> None:
        """Stop holding a key, as it was written in the new era."""
        self._until_ms.pop((topic, key), None)

    def take_due(self, now: Instant) -> list[tuple[str, str]]:
        """Return topic and key of those that were held long enough, once."""
        due = [
            held for held, until_ms in self._until_ms.items() if until_ms <= now.mono_ms
        ]
        for held in due:
            del self._until_ms[held]
        return due
