"""Copies of the store's topics, from the store or from other hosts."""

from waxwingbarrow.gateway.replication._follower import Follower, StoreHealth
from waxwingbarrow.gateway.replication._operator_coverage import OperatorCoverage
from waxwingbarrow.gateway.replication._replica import Change, Replica
from waxwingbarrow.gateway.replication._replica_fetcher import (
    ReplicaFetcher,
    decode_positions,
    encode_listing,
    list_end_offsets,
)

__all__ = [
    "Change",
    "Follower",
    "OperatorCoverage",
    "Replica",
    "ReplicaFetcher",
    "StoreHealth",
    "decode_positions",
    "encode_listing",
    "list_end_offsets",
]
