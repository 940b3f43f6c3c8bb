"""Settings and faults of the engine stand-in."""

import attrs


@attrs.frozen
class EngineSettings:
    """Speed, capacity, reporting delays and retention of the engine.

    Parameters
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of one stream.
    batch_limit : int
        Maximum number of streams that run at the same time.
    cache_tokens : int
        Capacity of the prefix cache.
    cache_event_lag_s : float
        Delay until a cache event can be read.
    lose_cache_event_every : int
        Every n-th cache event is never published; 0 publishes all.
    load_lag_s : float
        Minimum age of reported load; the first report may be younger.
    keep_s : float
        Retention of a stream that nobody reads.
    checks_fencing : bool
        Whether orders with an old fencing token are refused.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 500.0
    batch_limit: int = 16
    cache_tokens: int = 65_536
    cache_event_lag_s: float = 0.0
    lose_cache_event_every: int = 0
    load_lag_s: float = 0.0
    keep_s: float = 30.0
    checks_fencing: bool = True


@attrs.frozen
class EngineFaults:
    """Faults in force; an index of -1 turns a fault off.

    Parameters
    ----------
    crash_marker : str
        The process exits when a prompt contains this text; empty for never.
    only_marker : str
        Limits the faults of streams to prompts that contain this text; empty for all.
        `crash_marker`, `leaving`, refused transfers and the reported load do not depend
        on it.
    fail_status : int
        HTTP status to answer with instead of generating; 0 for none.
    fail_at : int
        Index at which the stream ends with an error event.
    slow_factor : float
        Factor by which both rates are divided.
    wrong_length : int
        Difference between the announced and the true number of tokens.
    duplicate_at, reorder_at : int
        Index of a token that is sent twice, or after its successor.
    overlap : int
        Number of tokens that a resumed stream repeats.
    cut_at : int
        Index before which the connection breaks.
    cut_count : int
        Number of connections that `cut_at` breaks.
    stall_at : int
        Index before which the stream stops sending with the connection left open.
    leaving : bool
        Whether responses carry ``Upstream-State: leaving``.
    refuse_export, refuse_import : bool
        Whether transfers of a KV cache are refused.
    """

    crash_marker: str = ""
    only_marker: str = ""
    fail_status: int = 0
    fail_at: int = -1
    slow_factor: float = 1.0
    wrong_length: int = 0
    duplicate_at: int = -1
    reorder_at: int = -1
    overlap: int = 0
    cut_at: int = -1
    cut_count: int = 1_000_000
    stall_at: int = -1
    leaving: bool = False
    refuse_export: bool = False
    refuse_import: bool = False
