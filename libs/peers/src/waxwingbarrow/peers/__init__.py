"""gRPC exchange of gossip and control state between daemons."""

from waxwingbarrow.peers._control import (
    ControlCallbacks,
    ControlEntries,
    ControlEntry,
    ControlNews,
    ControlSnapshot,
    ControlSync,
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
from waxwingbarrow.peers._transport import METHOD, PeerListenError, open_channel

__all__ = [
    "METHOD",
    "ControlCallbacks",
    "ControlEntries",
    "ControlEntry",
    "ControlNews",
    "ControlSnapshot",
    "ControlSync",
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
