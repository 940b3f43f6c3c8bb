"""Limits on memory and connections, derived from the size of the host."""

import attrs

from waxwingbarrow.gateway.base._settings import HostSize

MIB = 1_048_576
# Part of the memory for callers that requests to the internal endpoints may hold.
INTERNAL_MEMORY_SHARE = 0.2
# Fraction of the memory for responses of upstreams that are read as a whole.
UPSTREAM_MEMORY_SHARE = 0.2
# Fraction of the descriptors for the connections to each internal endpoint: probe,
# control and metrics.
INTERNAL_CONNECTION_SHARE = 1 / 32
INTERNAL_ENDPOINTS = 3
MIN_INTERNAL_CONNECTIONS = 8
# Descriptors for files, listening sockets, and connections to the store and to peers.
OWN_DESCRIPTORS = 64


@attrs.frozen(kw_only=True)
class SizeLimits:
    """Limits of one host.

    Parameters
    ----------
    caller_memory_bytes, internal_memory_bytes : int
        What may be held on behalf of callers, and of the internal endpoints' clients.
    upstream_body_bytes : int
        Bound on the responses of all upstreams that are read as a whole.
    caller_connections, internal_connections : int
        Most connections of callers, and to each internal endpoint.
    """

    caller_memory_bytes: int
    internal_memory_bytes: int
    upstream_body_bytes: int
    caller_connections: int
    internal_connections: int


def compute_size_limits(size: HostSize, max_open_files: int) -> SizeLimits:
    """Derive the limits of a host.

    A request of a caller needs two descriptors: the caller's connection and one to an
    upstream.

    Parameters
    ----------
    max_open_files : int
        Limit of the operating system on the descriptors of the process.

    Examples
    --------
    >>> limits = compute_size_limits(HostSize(max_descriptors=1_024), 20_000)
    >>> limits.caller_connections, limits.internal_connections
    (432, 32)
    """
    memory_bytes = int(size.memory_mb * MIB)
    callers_bytes = int(memory_bytes * size.caller_memory_share)
    internal_bytes = int(callers_bytes * INTERNAL_MEMORY_SHARE)
    descriptors = min(size.max_descriptors, max_open_files)
    internal = max(
        int(descriptors * INTERNAL_CONNECTION_SHARE), MIN_INTERNAL_CONNECTIONS
    )
    left = descriptors - OWN_DESCRIPTORS - INTERNAL_ENDPOINTS * internal
    return SizeLimits(
        caller_memory_bytes=callers_bytes - internal_bytes,
        internal_memory_bytes=internal_bytes,
        upstream_body_bytes=int(memory_bytes * UPSTREAM_MEMORY_SHARE),
        caller_connections=max(left // 2, 1),
        internal_connections=internal,
    )
