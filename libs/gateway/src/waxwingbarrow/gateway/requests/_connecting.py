"""Connect timeouts of attempts, from the objective of the route."""

import attrs

from waxwingbarrow.gateway.base import Route
from waxwingbarrow.gateway.upstreams import CONNECT_TIMEOUT_S

# Two attempts to connect and a response fit into an objective.
OBJECTIVE_FRACTION = 0.25
# A connection between distant data centres can take most of this time.
MIN_CONNECT_TIMEOUT_S = 0.1


@attrs.frozen
class ConnectPolicy:
    """Choice of the connect timeout.

    Parameters
    ----------
    is_fast : bool
        Whether the timeout depends on the objective; otherwise it is
        `CONNECT_TIMEOUT_S`.
    """

    is_fast: bool = False

    def choose_timeout_s(self, route: Route) -> float:
        """Return the connect timeout of an attempt.

        Examples
        --------
        >>> from waxwingbarrow.core import RouteName
        >>> from waxwingbarrow.gateway.base import RouteKind
        >>> route = Route(name=RouteName("read"), host="h", path_prefix="/",
        ...               kind=RouteKind.REPEATABLE, backends=(), objective_ms=800.0)
        >>> ConnectPolicy().choose_timeout_s(route)
        0.6
        >>> ConnectPolicy(is_fast=True).choose_timeout_s(route)
        0.2
        """
        if not self.is_fast:
            return CONNECT_TIMEOUT_S
        timeout_s = OBJECTIVE_FRACTION * route.objective_ms / 1000
        return min(max(timeout_s, MIN_CONNECT_TIMEOUT_S), CONNECT_TIMEOUT_S)
