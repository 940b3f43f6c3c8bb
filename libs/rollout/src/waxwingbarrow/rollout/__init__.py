"""Traffic share and verdict of a rollout."""

from waxwingbarrow.rollout._assessment import (
    FALSE_ALARM_PROBABILITY,
    Assessment,
    RouteAssessment,
    assess,
)
from waxwingbarrow.rollout._decision import (
    Decision,
    Done,
    Running,
    Share,
    Verdict,
    Withdrawn,
    compute_share,
    decide_rollout,
    decide_verdict,
    make_withdrawal,
    pick_version,
)
from waxwingbarrow.rollout._evidence import (
    Evidence,
    EvidenceKey,
    EvidenceRecorder,
    LatencyCount,
    OriginEvidence,
    ResponseQuality,
    RouteEvidence,
)
from waxwingbarrow.rollout._moves import (
    LINE_CHARS,
    Move,
    MoveState,
    describe_moves,
    fit_line,
    format_time,
    make_move,
)
from waxwingbarrow.rollout._schedule import DONE_WINDOW, WINDOWS, find_window
from waxwingbarrow.rollout._statistic import Stratum, compute_log_evidence
from waxwingbarrow.rollout._wire import (
    decode_evidence,
    decode_withdrawals,
    encode_evidence,
    encode_withdrawals,
)
from waxwingbarrow.rollout._withdrawals import (
    DEADLINE_REASON,
    Withdrawal,
    Withdrawals,
)

__all__ = [
    "DEADLINE_REASON",
    "DONE_WINDOW",
    "FALSE_ALARM_PROBABILITY",
    "LINE_CHARS",
    "WINDOWS",
    "Assessment",
    "Decision",
    "Done",
    "Evidence",
    "EvidenceKey",
    "EvidenceRecorder",
    "LatencyCount",
    "Move",
    "MoveState",
    "OriginEvidence",
    "ResponseQuality",
    "RouteAssessment",
    "RouteEvidence",
    "Running",
    "Share",
    "Stratum",
    "Verdict",
    "Withdrawal",
    "Withdrawals",
    "Withdrawn",
    "assess",
    "compute_log_evidence",
    "compute_share",
    "decide_rollout",
    "decide_verdict",
    "decode_evidence",
    "decode_withdrawals",
    "describe_moves",
    "encode_evidence",
    "encode_withdrawals",
    "find_window",
    "fit_line",
    "format_time",
    "make_move",
    "make_withdrawal",
    "pick_version",
]
