"""Settings of the exchange between daemons."""

import attrs

from waxwingbarrow.membership import ExchangeSettings


@attrs.frozen
class TlsSettings:
    """Keys for mutual TLS; both sides present a certificate of the same authority.

    Parameters
    ----------
    certificate : bytes
        PEM certificate chain of this host.
    private_key : bytes
        PEM private key of this host; never logged or shown.
    authority : bytes
        PEM certificates of the authority that signs all peers.
    peer_name : str or None
        Name to expect in peers' certificates instead of their address, for an
        authority whose certificates carry one common name and no addresses.
    """

    certificate: bytes = attrs.field(repr=False)
    private_key: bytes = attrs.field(repr=False)
    authority: bytes = attrs.field(repr=False)
    peer_name: str | None = None


@attrs.frozen
class PeerSettings:
    """Addresses, times and bounds of the exchange.

    Parameters
    ----------
    listen_address : str
        ``address:port`` of the gRPC server.
    seeds : tuple of str
        Addresses of some peers, used when no stream is open and for hosts that are not
        members yet.
    tls : TlsSettings or None
        Keys; None for plain TCP.
    peer_count : int
        Streams that this host opens in its data centre; it accepts as many. A stream
        takes about 0.14% of a core. With two, no member of 120 was declared dead for
        pauses of 5 s in a simulation, and with a loss of 10% of the frames.
    gossip_interval_ms : int
        Time between two frames on a stream, and between two heartbeats.
    urgent_spacing_ms : int
        Least time between two frames on a stream, so that a burst of urgent news takes
        a few frames.
    review_ms : int
        Time between two choices of peers.
    hello_timeout_ms, connect_timeout_ms : int
        Time for a peer to send its hello, and for a connection to be made.
    silence_timeout_ms : int
        A stream without a frame for this time is closed and opened again: a half-open
        TCP connection reports no error for minutes.
    reconnect_min_ms, reconnect_max_ms : int
        Bounds of the jittered backoff.
    stop_timeout_ms : int
        Time for open streams to end on a stop.
    max_frame_bytes : int
        Larger frames are refused and end their stream.
    entries_bytes : int
        Control entries in one frame.
    control_resend_ms : int
        Time after which control state that a peer does not report as applied is sent
        again.
    gossip_bytes_per_s : int
        Rate of gossip items of this host, shared by its streams.
    exchange : ExchangeSettings
        Further bounds of gossip on one stream.
    """

    listen_address: str
    seeds: tuple[str, ...] = ()
    tls: TlsSettings | None = None
    peer_count: int = 2
    gossip_interval_ms: int = 1_000
    urgent_spacing_ms: int = 20
    review_ms: int = 2_000
    hello_timeout_ms: int = 3_000
    connect_timeout_ms: int = 3_000
    silence_timeout_ms: int = 5_000
    reconnect_min_ms: int = 200
    reconnect_max_ms: int = 10_000
    stop_timeout_ms: int = 2_000
    max_frame_bytes: int = 4 * 1024 * 1024
    entries_bytes: int = 256 * 1024
    control_resend_ms: int = 3_000
    gossip_bytes_per_s: int = 12_000
    exchange: ExchangeSettings = attrs.Factory(ExchangeSettings)
