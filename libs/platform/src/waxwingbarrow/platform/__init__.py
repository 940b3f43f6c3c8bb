"""Clients for the platform: log, weight store, cloud API, host list."""

from waxwingbarrow.platform._appender import AppenderPolicy, LogAppender
from waxwingbarrow.platform._failures import (
    Expired,
    LogFailure,
    LogRejected,
    NotSent,
    Unsettled,
)
from waxwingbarrow.platform._http import (
    EXCHANGE_ERRORS,
    HttpAnswer,
    HttpFailure,
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

__all__ = [
    "EXCHANGE_ERRORS",
    "AppenderPolicy",
    "Expired",
    "HttpAnswer",
    "HttpFailure",
    "HttpLogClient",
    "HttpSession",
    "HttpStream",
    "JsonRecord",
    "LogAppender",
    "LogClient",
    "LogFailure",
    "LogPage",
    "LogReader",
    "LogRejected",
    "NotSent",
    "RawEntry",
    "ReaderPolicy",
    "Unsettled",
    "classify_error",
]
