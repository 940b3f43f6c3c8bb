"""Options of the sockets of connections to upstreams and to the platform."""

import socket
import struct

# A peer that does not acknowledge data for this long counts as unreachable. Round trips
# take a few milliseconds, and TCP retransmits lost packets after about 200 ms.
UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# TCP keep-alive detects a dead peer while no data is sent, on an idle connection or
# while a response is awaited.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Value of SO_LINGER with which a close resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


def discard_unsent(sock: socket.socket) -> None:
    """Make the close of a socket reset the connection and drop what it has not sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def set_timeouts(sock: socket.socket) -> None:
    """Make a socket notice a dead peer, also while it waits or is idle."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
