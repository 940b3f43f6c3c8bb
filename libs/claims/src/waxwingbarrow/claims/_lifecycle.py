"""Lifecycle of a claim in the process that wrote it."""

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

# From "unsettled" no path leads to "sent": the caller has already been answered.
# "not_sent" is for failures before the first byte only.
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

# One machine serves all claims; it has no models of its own, so it keeps no claim
# in memory.
_MACHINE = Machine(
    model=None,
    states=_STATES,
    transitions=_TRANSITIONS,
    initial=NEW,
    auto_transitions=False,
)


class ClaimLifecycle:
    """State of one own claim; a step that is not allowed raises ``MachineError``."""

    def __init__(self) -> None:
        self.state = NEW

    def append(self) -> None:
        """Note that the claim record is handed to the log."""
        self._trigger("append")

    def win(self) -> None:
        """Note that the claim was read back and is in force."""
        self._trigger("win")

    def lose(self) -> None:
        """Note that the claim was read back and another one is in force."""
        self._trigger("lose")

    def abandon(self) -> None:
        """Note that the claim was not read back by the deadline."""
        self._trigger("abandon")

    def fail(self) -> None:
        """Note that the append certainly did not take effect."""
        self._trigger("fail")

    def send(self) -> None:
        """Note, before the first byte, that the request is being sent."""
        self._trigger("send")

    def not_sent(self) -> None:
        """Note that sending certainly failed before the first byte."""
        self._trigger("not_sent")

    def complete(self) -> None:
        """Note that the complete response has arrived."""
        self._trigger("complete")

    def lose_response(self) -> None:
        """Note that the request may have run without a complete response."""
        self._trigger("lose_response")

    def release(self) -> None:
        """Note that the claim is given up."""
        self._trigger("release")

    def _trigger(self, name: str) -> None:
        _MACHINE.events[name].trigger(self)
