"""Load reports in the answers of upstreams."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from waxwingbarrow.core import parse_json, read_data

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load that an upstream reports about itself.

    Parameters
    ----------
    in_flight : int
        Number of requests in the running batch.
    queued_tokens : int
        Number of prompt tokens that wait for prefill.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Measured rates of prefill and decoding.
    batch_limit : int
        Largest number of requests in the batch.
    age_ms : int
        Age of these values when the answer was sent.
    """

    in_flight: int
    queued_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    batch_limit: int = 0
    age_ms: int = 0


def read_known(data: Any, kind: type[T], source: str) -> T | None:
    """Read an object that an upstream sent, or return None if it is malformed.

    Fields that `kind` lacks are skipped, because a newer upstream may send more.
    """
    if not isinstance(data, dict):
        return None
    names = {field.name for field in attrs.fields(kind)}  # type: ignore[arg-type]
    known = {name: value for name, value in data.items() if name in names}
    return read_data(known, kind, source).ok()


def read_load_header(headers: Mapping[str, str]) -> LoadReport | None:
    """Read the ``Upstream-Load`` header; a malformed header counts as absent."""
    try:
        data = parse_json(headers.get("upstream-load", ""))
    except ValueError:
        return None
    return read_known(data, LoadReport, "Upstream-Load")
