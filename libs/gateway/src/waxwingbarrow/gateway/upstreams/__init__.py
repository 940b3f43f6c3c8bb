"""Upstreams: their connections, state, health, statements and crashes."""

from waxwingbarrow.gateway.upstreams._attempts import (
    AttemptFailure,
    ConnectionLost,
    InvalidResponse,
    Moved,
    NotRun,
    NotSent,
    ResponseReceived,
    ResponseStarted,
    TimedOut,
    compute_timeout_s,
    read_response,
    release,
    start_attempt,
)
from waxwingbarrow.gateway.upstreams._channel_pools import (
    CONNECT_TIMEOUT_S,
    ChannelPool,
)
from waxwingbarrow.gateway.upstreams._channels import (
    BrokenError,
    ChannelError,
    ConnectError,
)
from waxwingbarrow.gateway.upstreams._cold_phases import ColdPhases, ColdReport
from waxwingbarrow.gateway.upstreams._crash_checker import CrashChecker
from waxwingbarrow.gateway.upstreams._crash_records import CrashRecorder
from waxwingbarrow.gateway.upstreams._crash_tracker import (
    CrashTracker,
    Fingerprints,
    PartLosses,
    merge_part_losses,
    merge_suspects,
)
from waxwingbarrow.gateway.upstreams._engine_estimates import (
    EngineEstimates,
    SpeedReport,
)
from waxwingbarrow.gateway.upstreams._evacuations import Evacuations
from waxwingbarrow.gateway.upstreams._events import EVENT_END, EventSplitter
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.gateway.upstreams._notices import (
    NoticeReport,
    UpstreamNotices,
    UpstreamProcess,
)
from waxwingbarrow.gateway.upstreams._stream_meters import StreamMeter
from waxwingbarrow.gateway.upstreams._upstreams import Job, Load, Upstream

__all__ = [
    "CONNECT_TIMEOUT_S",
    "EVENT_END",
    "AttemptFailure",
    "BrokenError",
    "ChannelError",
    "ChannelPool",
    "ColdPhases",
    "ColdReport",
    "ConnectError",
    "ConnectionLost",
    "CrashChecker",
    "CrashRecorder",
    "CrashTracker",
    "EngineEstimates",
    "Evacuations",
    "EventSplitter",
    "Fingerprints",
    "Fleet",
    "InvalidResponse",
    "Job",
    "Load",
    "Moved",
    "NotRun",
    "NotSent",
    "NoticeReport",
    "PartLosses",
    "ResponseReceived",
    "ResponseStarted",
    "SpeedReport",
    "StreamMeter",
    "TimedOut",
    "Upstream",
    "UpstreamNotices",
    "UpstreamProcess",
    "compute_timeout_s",
    "merge_part_losses",
    "merge_suspects",
    "read_response",
    "release",
    "start_attempt",
]
