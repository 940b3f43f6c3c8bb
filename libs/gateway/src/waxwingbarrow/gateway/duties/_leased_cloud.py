"""Calls to the cloud that are made only while this host holds the lease."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err, Result

from waxwingbarrow.core import AccountId, Clock, DataCentre, ServiceName
from waxwingbarrow.gateway.base import Cloud, CloudFailure, LeaseEnded
from waxwingbarrow.gateway.duties._duties import Lease


class LeasedCloud(Cloud):
    """Makes calls only while the lease is valid, and ends them with it.

    A task of the holder makes several calls, each of which may wait for a slow cloud.
    Some platforms do not check the fencing token, so no call may reach them after
    another host has begun to act. Ending a call resets its connection, so that its
    bytes are not delivered once a cut network heals.
    """

    def __init__(self, cloud: Cloud, lease: Lease, clock: Clock) -> None:
        self._cloud = cloud
        self._lease = lease
        self._clock = clock

    async def report_usage(
        self, window: int, counts: dict[AccountId, int], token: int
    ) -> Result[None, CloudFailure]:
        """Report the usage of a window; see `Cloud`."""
        return await self._call(self._cloud.report_usage(window, counts, token), token)

    async def order_workers(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        reclaimable: bool,
        token: int,
    ) -> Result[None, CloudFailure]:
        """Set the desired number of workers in a data centre; see `Cloud`."""
        return await self._call(
            self._cloud.order_workers(service, data_centre, count, reclaimable, token),
            token,
        )

    async def _call(
        self, call: Coroutine[Any, Any, Result[None, CloudFailure]], token: int
    ) -> Result[None, CloudFailure]:
        left_ms = self._lease.measure_left_ms(token, self._clock.now())
        if left_ms <= 0:
            call.close()
            return Err(LeaseEnded(sent=False))
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await call
        except TimeoutError:
            return Err(LeaseEnded(sent=True))
