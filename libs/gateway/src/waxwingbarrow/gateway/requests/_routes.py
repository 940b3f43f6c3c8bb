"""Lookup of the route and the account of a request."""

import attrs
import xxhash

from waxwingbarrow.core import AccountId, ServiceName
from waxwingbarrow.gateway.base import Account, Configuration, Route, Service


@attrs.frozen
class NoRoute:
    """No route matches the host name and path of a request."""


@attrs.frozen
class NoAccount:
    """The route needs a key, and the request has none or an unknown one."""


@attrs.frozen
class RouteMatch:
    """Route and account of a request; no account if the route needs no key."""

    route: Route
    account: Account | None


class RouteTable:
    """Lookup tables for one configuration.

    Attributes
    ----------
    configuration : Configuration
        The configuration itself.
    services, accounts : dict
        Its services and accounts by name.

    Examples
    --------
    >>> from waxwingbarrow.core import RouteName
    >>> from waxwingbarrow.gateway.base import RouteKind
    >>> routes = tuple(
    ...     Route(name=RouteName(p), host="h", path_prefix=p,
    ...           kind=RouteKind.REPEATABLE, backends=())
    ...     for p in ("/a/", "/a/b/")
    ... )
    >>> table = RouteTable(Configuration(version=1, routes=routes))
    >>> table.find("h", "/a/b/c", None).route.name
    '/a/b/'
    >>> table.find("h", "/b/", None)
    NoRoute()
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[ServiceName, Service] = {
            service.name: service for service in configuration.services
        }
        self.accounts: dict[AccountId, Account] = {
            account.name: account for account in configuration.accounts
        }
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._accounts_by_key = {
            key: account for account in configuration.accounts for key in account.keys
        }

    def find(
        self, host: str, path: str, key: str | None
    ) -> RouteMatch | NoRoute | NoAccount:
        """Return the route with the longest matching prefix, and the key's account.

        Parameters
        ----------
        key : str or None
            Bearer key of the request.
        """
        route = self._find_route(host, path)
        if route is None:
            return NoRoute()
        if not self.configuration.has_accounts or route.public:
            return RouteMatch(route, None)
        account = self._accounts_by_key.get(key) if key is not None else None
        return NoAccount() if account is None else RouteMatch(route, account)

    def _find_route(self, host: str, path: str) -> Route | None:
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: Route, request_id: str) -> ServiceName:
    """Choose a service by the weights of the route's backends.

    The request's ID decides, so all attempts of a request go to the same service.
    """
    backends = route.backends
    if len(backends) == 1:
        return backends[0].service
    total = sum(backend.weight for backend in backends)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for backend in backends:
        point -= backend.weight
        if point < 0:
            return backend.service
    return backends[-1].service
