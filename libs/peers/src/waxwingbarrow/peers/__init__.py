"""Exchange of gossip and control state between daemons over gRPC."""

from waxwingbarrow.peers._control import (
    ControlCallbacks,
    ControlEntries,
    ControlEntry,
    ControlSnapshot,
    ControlSync,
    ControlUpdate,
)
from waxwingbarrow.peers._frames import (
    Frame,
    FrameInvalid,
    Hello,
    decode_frame,
    encode_frame,
)
from waxwingbarrow.peers._link import (
    LinkFailure,
    PeerCounters,
    PeerSilent,
    SelfConnected,
    StreamBroken,
)
from waxwingbarrow.peers._node import PeerNode
from waxwingbarrow.peers._settings import PeerSettings, TlsSettings
from waxwingbarrow.peers._transport import (
    EXCHANGE_METHOD,
    PeerListenError,
    open_channel,
)

__all__ = [
    "EXCHANGE_METHOD",
    "ControlCallbacks",
    "ControlEntries",
    "ControlEntry",
    "ControlSnapshot",
    "ControlSync",
    "ControlUpdate",
    "Frame",
    "FrameInvalid",
    "Hello",
    "LinkFailure",
    "PeerCounters",
    "PeerListenError",
    "PeerNode",
    "PeerSettings",
    "PeerSilent",
    "SelfConnected",
    "StreamBroken",
    "TlsSettings",
    "decode_frame",
    "encode_frame",
    "open_channel",
]
