"""Hosts to which a relay sends its sums before it knows the other relays."""

from waxwingbarrow.core import DataCentre, HostId
from waxwingbarrow.gateway.peers._members import Member, Members
from waxwingbarrow.gateway.peers._relays import rank_relays

# Preferred hosts to which a relay sends its sums at each exchange, so that it learns of
# those that run.
MAX_PROBED_HOSTS = 3


class RelayDirectory:
    """Finds likely relays among the registered hosts.

    Parameters
    ----------
    own : Member
        This host.
    """

    def __init__(self, own: Member, members: Members) -> None:
        self._own = own
        self._members = members

    def find_relay_mbps(self, host: HostId) -> int:
        """Return the rate at which a host can relay; see `compute_relay_mbps`."""
        if host == self._own.host:
            return self._own.relay_mbps
        member = self._members.find(host)
        return member.relay_mbps if member is not None else 0

    def guess_relay(self, centre: DataCentre, turn: int) -> set[str]:
        """Return the address to try in a data centre whose relay is not known.

        The first host in rank is the relay as long as it runs, so it is tried every
        other time. The other hosts forward summaries to their relay, so they are tried
        in turn in between.

        Parameters
        ----------
        turn : int
            Number of the exchange.
        """
        ranked = rank_relays(self._members.list_hosts_in(centre), self.find_relay_mbps)
        if not ranked:
            return set()
        host = ranked[0] if turn % 2 == 0 else ranked[turn // 2 % len(ranked)]
        return self._find_addresses([host])

    def list_preferred(self, turn: int) -> set[str]:
        """Return addresses of hosts that are preferred to this one as relay.

        The first one in rank is always among them; the others follow in turn.

        Parameters
        ----------
        turn : int
            Number of the exchange.
        """
        hosts = {*self._members.list_hosts_in(self._own.data_centre), self._own.host}
        ranked = rank_relays(hosts, self.find_relay_mbps)
        preferred = ranked[: ranked.index(self._own.host)]
        if not preferred:
            return set()
        first = turn * (MAX_PROBED_HOSTS - 1)
        others = [
            preferred[(first + step) % len(preferred)]
            for step in range(MAX_PROBED_HOSTS - 1)
        ]
        return self._find_addresses([preferred[0], *others])

    def _find_addresses(self, hosts: list[HostId]) -> set[str]:
        members = [self._members.find(host) for host in hosts]
        return {member.address[0] for member in members if member is not None}
