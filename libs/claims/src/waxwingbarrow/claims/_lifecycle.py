"""State machine of a claim in the process that wrote it."""

from typing import Any

from transitions import Machine

NEW = "new"
APPENDING = "appending"
WON = "won"
LOST = "lost"
UNSETTLED = "unsettled"
FAILED = "failed"
SENT = "sent"
COMPLETED = "completed"
UNKNOWN = "unknown"
RELEASED = "released"

_STATES = [
    NEW,
    APPENDING,
    WON,
    LOST,
    UNSETTLED,
    FAILED,
    SENT,
    COMPLETED,
    UNKNOWN,
    RELEASED,
]

# No path leads from "unsettled" to "sent", because the caller has already been
# answered. "not_sent" applies only if sending failed before the first byte.
_TRANSITIONS: list[Any] = [
    ["append", NEW, APPENDING],
    ["win", APPENDING, WON],
    ["lose", [APPENDING, UNSETTLED], LOST],
    ["abandon", APPENDING, UNSETTLED],
    ["fail", APPENDING, FAILED],
    ["send", WON, SENT],
    ["not_sent", SENT, WON],
    ["complete", SENT, COMPLETED],
    ["lose_response", SENT, UNKNOWN],
    ["release", [WON, UNSETTLED], RELEASED],
]

# All claims share one machine. It has no models, because a registered model would stay
# in memory for as long as the machine.
_MACHINE = Machine(
    model=None,
    states=_STATES,
    transitions=_TRANSITIONS,
    initial=NEW,
    auto_transitions=False,
)


class ClaimLifecycle:
    """State of a claim of this process; a forbidden step raises ``MachineError``."""

    def __init__(self) -> None:
        self.state = NEW

    def append(self) -> None:
        """Record that the claim record is being appended to the log."""
        self._trigger("append")

    def win(self) -> None:
        """Record that the claim was read back and is in force."""
        self._trigger("win")

    def lose(self) -> None:
        """Record that the claim was read back and another one is in force."""
        self._trigger("lose")

    def abandon(self) -> None:
        """Record that the claim was not read back by the deadline."""
        self._trigger("abandon")

    def fail(self) -> None:
        """Record that the append definitely did not take effect."""
        self._trigger("fail")

    def send(self) -> None:
        """Record, before the first byte is sent, that sending begins."""
        self._trigger("send")

    def not_sent(self) -> None:
        """Record that sending definitely failed before the first byte."""
        self._trigger("not_sent")

    def complete(self) -> None:
        """Record that the complete response has arrived."""
        self._trigger("complete")

    def lose_response(self) -> None:
        """Record that the request may have run but its response was lost."""
        self._trigger("lose_response")

    def release(self) -> None:
        """Record that the claim is released."""
        self._trigger("release")

    def _trigger(self, name: str) -> None:
        _MACHINE.events[name].trigger(self)
