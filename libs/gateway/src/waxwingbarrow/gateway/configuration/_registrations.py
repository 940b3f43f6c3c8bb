"""Registrations of the hosts in the store, by which they find each other."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

import msgspec
from result import Err, Result

from waxwingbarrow.core import Clock, HostId, Instant
from waxwingbarrow.gateway.base import (
    MAX_PORT,
    BoundedInt,
    Store,
    Topic,
    Unreadable,
    decode_json,
    describe_failure,
    is_ip_address,
)
from waxwingbarrow.gateway.peers import Member, Members
from waxwingbarrow.gateway.replication import Replica

logger = logging.getLogger("waxwingbarrow.gateway")

RETRY_INTERVAL_S = 0.5
# Longer than the interval at which the list of hosts is read.
CHECK_INTERVAL_S = 35.0


class HostRegistration(msgspec.Struct, frozen=True):
    """Registration of a host in the store.

    Parameters
    ----------
    port : int
        Port for messages between hosts.
    started_ms : int
        Wall time of the start of its process.
    relay_mbps : int
        Rate in Mbit/s at which it can relay; see `compute_relay_mbps`.
    """

    ip: str
    port: BoundedInt
    data_centre: str
    started_ms: BoundedInt
    relay_mbps: BoundedInt = msgspec.field(name="strength", default=0)


def read_host(value: bytes) -> Result[HostRegistration, Unreadable]:
    """Decode the registration of a host."""
    decoded = decode_json(value, HostRegistration)
    if isinstance(decoded, Err):
        return decoded
    host = decoded.ok_value
    if not is_ip_address(host.ip) or not 0 < host.port <= MAX_PORT:
        return Err(Unreadable("not an IPv4 address with a port"))
    return decoded


class Registrations:
    """Writes the registration of this host, and removes those of ended hosts.

    Parameters
    ----------
    own : Member
        This host.
    replica : Replica
        Copy of the registrations.
    list_removable : callable
        Returns which of the registered hosts this host is to remove.
    follow_hosts : callable
        Follows the list of hosts until cancelled.
    """

    def __init__(
        self,
        own: Member,
        store: Store,
        replica: Replica,
        members: Members,
        list_removable: Callable[[Iterable[HostId], Instant], list[HostId]],
        follow_hosts: Callable[[], Awaitable[None]],
        clock: Clock,
    ) -> None:
        self._own = own
        self._store = store
        self._replica = replica
        self._members = members
        self._list_removable = list_removable
        self._follow_hosts = follow_hosts
        self._clock = clock

    async def register(self) -> None:
        """Register this host in the store, then follow the list of hosts."""
        while not await self._write_own():
            await asyncio.sleep(RETRY_INTERVAL_S)
        await self._follow_hosts()

    async def maintain(self) -> None:
        """Remove the registrations of hosts that have ended, and keep the own one.

        Another host may remove the one of this host while a network partition lasts.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check(self._clock.now())

    async def check(self, now: Instant) -> bool:
        """Remove the registrations of ended hosts once, and write a lost own one.

        Returns
        -------
        bool
            Whether this host is registered.
        """
        registered = [HostId(host) for host in self._replica.records]
        for host in self._list_removable(registered, now):
            if await self._write(host, b""):
                logger.info("host removed", extra={"removed": host})
                self._members.forget_absent(host, now)
        if not self._replica.is_loaded:
            return False
        record = self._replica.records.get(self._own.host)
        # An older copy may have the registration of an earlier start.
        if record is not None and record.value == self._encode_own():
            return True
        return await self._write_own()

    async def _write_own(self) -> bool:
        """Write the registration of this host; return whether the store took it."""
        return await self._write(self._own.host, self._encode_own())

    def _encode_own(self) -> bytes:
        ip, port = self._own.address
        registration = HostRegistration(
            ip=ip,
            port=port,
            data_centre=self._own.data_centre,
            started_ms=self._own.started_ms,
            relay_mbps=self._own.relay_mbps,
        )
        return msgspec.json.encode(registration)

    async def _write(self, host: HostId, value: bytes) -> bool:
        written = await self._store.write_keyed(Topic.HOSTS, host, value)
        if isinstance(written, Err):
            reason = describe_failure(written.err_value)
            logger.warning(
                "host not registered", extra={"registered": host, "reason": reason}
            )
            return False
        return True
