"""Clients for the platform: log, weight store, cloud API, host list."""

from waxwingbarrow.platform._appender import AppenderPolicy, LogAppender
from waxwingbarrow.platform._cloud import (
    CloudClient,
    HttpCloudClient,
    InstanceRequest,
    ReclaimNotice,
    ReclaimNoticePage,
)
from waxwingbarrow.platform._failures import (
    ChangeFailure,
    Expired,
    LogFailure,
    LogRejected,
    NotSent,
    ReadFailure,
    Refused,
    Unavailable,
    Unsettled,
)
from waxwingbarrow.platform._hosts import (
    Host,
    HostList,
    HostListClient,
    HostPoller,
    HostState,
    HttpHostListClient,
    PollPolicy,
)
from waxwingbarrow.platform._http import (
    EXCHANGE_ERRORS,
    HttpFailure,
    HttpResponse,
    HttpSession,
    HttpStream,
    classify_error,
)
from waxwingbarrow.platform._log import (
    HttpLogClient,
    JsonRecord,
    LogClient,
    LogPage,
    RawEntry,
)
from waxwingbarrow.platform._reader import LogReader, ReaderPolicy
from waxwingbarrow.platform._weights import (
    HttpWeightStoreClient,
    Weights,
    WeightStoreClient,
)

__all__ = [
    "EXCHANGE_ERRORS",
    "AppenderPolicy",
    "ChangeFailure",
    "CloudClient",
    "Expired",
    "Host",
    "HostList",
    "HostListClient",
    "HostPoller",
    "HostState",
    "HttpCloudClient",
    "HttpFailure",
    "HttpHostListClient",
    "HttpLogClient",
    "HttpResponse",
    "HttpSession",
    "HttpStream",
    "HttpWeightStoreClient",
    "InstanceRequest",
    "JsonRecord",
    "LogAppender",
    "LogClient",
    "LogFailure",
    "LogPage",
    "LogReader",
    "LogRejected",
    "NotSent",
    "PollPolicy",
    "RawEntry",
    "ReadFailure",
    "ReaderPolicy",
    "ReclaimNotice",
    "ReclaimNoticePage",
    "Refused",
    "Unavailable",
    "Unsettled",
    "WeightStoreClient",
    "Weights",
    "classify_error",
]
