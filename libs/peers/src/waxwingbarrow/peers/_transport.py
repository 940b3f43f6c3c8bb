"""gRPC server and client channels for streams of frames."""

from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from waxwingbarrow.peers._peer_pb2 import DESCRIPTOR
from waxwingbarrow.peers._settings import PeerSettings, TlsSettings

_SERVICE = DESCRIPTOR.services_by_name["Peer"]
EXCHANGE_METHOD = f"/{_SERVICE.full_name}/{_SERVICE.methods[0].name}"
MAX_INBOUND_STREAMS = 256

StreamHandler = Callable[[Any], Awaitable[None]]


class PeerListenError(OSError):
    """Raised when the server cannot listen at its address."""


def make_server(settings: PeerSettings, handler: StreamHandler) -> grpc.aio.Server:
    """Return a server that is bound to its address but not started.

    gRPC passes frames on as undecoded bytes, so that a malformed one reaches the code
    that reports it.

    Raises
    ------
    PeerListenError
        If the address is in use or the TLS keys cannot be used.
    """

    async def serve(_: Any, context: Any) -> None:
        await handler(context)

    server = grpc.aio.server(
        options=[*_list_options(settings), ("grpc.so_reuseport", 0)],
        maximum_concurrent_rpcs=MAX_INBOUND_STREAMS,
    )
    method = grpc.stream_stream_rpc_method_handler(serve)
    handlers = {_SERVICE.methods[0].name: method}
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(_SERVICE.full_name, handlers),)
    )
    address = settings.listen_address
    try:
        if settings.tls is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, _server_credentials(settings.tls))
    except RuntimeError as error:
        raise PeerListenError(f"Cannot listen at {address}: {error}") from error
    if port == 0:
        raise PeerListenError(f"Cannot listen at {address}.")
    return server


def open_channel(settings: PeerSettings, address: str) -> grpc.aio.Channel:
    """Return a client channel to a peer."""
    # With a shared subchannel pool, attempts would share gRPC's own reconnect backoff,
    # which grows to two minutes.
    options = [*_list_options(settings), ("grpc.use_local_subchannel_pool", 1)]
    if settings.tls is None:
        return grpc.aio.insecure_channel(address, options=options)
    if settings.tls.peer_name is not None:
        options.append(("grpc.ssl_target_name_override", settings.tls.peer_name))
    credentials = grpc.ssl_channel_credentials(
        root_certificates=settings.tls.authority,
        private_key=settings.tls.private_key,
        certificate_chain=settings.tls.certificate,
    )
    return grpc.aio.secure_channel(address, credentials, options=options)


def _list_options(settings: PeerSettings) -> list[tuple[str, Any]]:
    return [
        ("grpc.max_receive_message_length", settings.max_frame_bytes),
        ("grpc.max_send_message_length", settings.max_frame_bytes),
        # Peers are reached directly, even if the environment sets a proxy.
        ("grpc.enable_http_proxy", 0),
    ]


def _server_credentials(tls: TlsSettings) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(tls.private_key, tls.certificate)],
        root_certificates=tls.authority,
        require_client_auth=True,
    )
