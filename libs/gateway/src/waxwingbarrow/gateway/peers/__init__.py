"""Other hosts: membership, relays and the exchange of state."""

from waxwingbarrow.gateway.peers._internal_endpoints import InternalEndpoints
from waxwingbarrow.gateway.peers._members import Member, Members
from waxwingbarrow.gateway.peers._peer_sync import PeerSync
from waxwingbarrow.gateway.peers._peers import PeerProtocol
from waxwingbarrow.gateway.peers._relays import compute_relay_mbps

__all__ = [
    "InternalEndpoints",
    "Member",
    "Members",
    "PeerProtocol",
    "PeerSync",
    "compute_relay_mbps",
]
