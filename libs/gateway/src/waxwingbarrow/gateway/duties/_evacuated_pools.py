"""What the orders of workers leave out while data centres are evacuated."""

from collections.abc import Mapping
from typing import TypeVar

from waxwingbarrow.capacity import WorkerPool
from waxwingbarrow.core import DataCentre
from waxwingbarrow.gateway.upstreams import Evacuations

Value = TypeVar("Value")


def leave_out_evacuated(
    pools: Mapping[WorkerPool, Value], evacuations: Evacuations
) -> dict[WorkerPool, Value]:
    """Return the entries of pools that are not in an evacuated data centre.

    Without an entry and a price, `plan_scaling` neither orders nor returns workers.
    """
    return {
        pool: value
        for pool, value in pools.items()
        if not evacuations.is_evacuated(pool.data_centre)
    }


def leave_out_prices(
    prices: Mapping[DataCentre, float], evacuations: Evacuations
) -> dict[DataCentre, float]:
    """Return the prices of the data centres that are not evacuated."""
    return {
        centre: price
        for centre, price in prices.items()
        if not evacuations.is_evacuated(centre)
    }
