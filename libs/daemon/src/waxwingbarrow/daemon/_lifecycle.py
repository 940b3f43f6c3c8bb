"""Lifecycle of the host: starting, ready, draining, stopped."""

from typing import Any

from transitions import Machine


class Lifecycle:
    """State of the host that is shown to the load balancer and to operators."""

    STATES = ("starting", "ready", "draining", "stopped")

    state: str

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=list(self.STATES),
            initial="starting",
            auto_transitions=False,
        )
        self._machine.add_transition("_become_ready", "starting", "ready")
        self._machine.add_transition("_become_unready", "ready", "starting")
        self._machine.add_transition("_drain", ["starting", "ready"], "draining")
        self._machine.add_transition("_stop", "*", "stopped")

    def _fire(self, trigger: str) -> Any:
        """Call a trigger method, which `transitions` adds at run time."""
        return getattr(self, trigger)()

    def update_readiness(self, can_serve: bool) -> None:
        """Move between starting and ready; a draining host is never ready again."""
        if can_serve and self.state == "starting":
            self._fire("_become_ready")
        elif not can_serve and self.state == "ready":
            self._fire("_become_unready")

    def drain(self) -> None:
        """Fail readiness, so that the load balancer sends no new requests."""
        if self.state in ("starting", "ready"):
            self._fire("_drain")

    def stop(self) -> None:
        """Mark the host as stopped."""
        self._fire("_stop")

    @property
    def reports_ready(self) -> bool:
        """Whether the load balancer should send requests."""
        return self.state == "ready"

    @property
    def accepts_requests(self) -> bool:
        """Whether a request that arrives is served.

        A draining host still serves requests that arrive before the load balancer has
        seen that readiness fails. A starting or stopped host refuses them.
        """
        return self.state in ("ready", "draining")
