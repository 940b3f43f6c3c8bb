"""Reading of the platform's JSON answers."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import FieldInvalid, read_data
from waxwingbarrow.platform._failures import ReadFailure, Refused, Unavailable
from waxwingbarrow.platform._http import HttpFailure, HttpResponse

T = TypeVar("T")


def read_known(data: Any, kind: type[T], source: str) -> Result[T, FieldInvalid]:
    """Read an object of an outside system into an attrs class.

    Fields that `kind` lacks are skipped, because a newer platform may send more.
    """
    if isinstance(data, dict):
        names = {field.name for field in attrs.fields(kind)}  # type: ignore[arg-type]
        data = {name: value for name, value in data.items() if name in names}
    return read_data(data, kind, source)


def read_answer(
    answer: Result[HttpResponse, HttpFailure],
    parse: Callable[[dict[str, Any]], Result[T, FieldInvalid]],
) -> Result[T, ReadFailure]:
    """Turn the answer to a GET request into a value or a typed failure."""
    match answer:
        case Err(failure):
            return Err(Unavailable(failure.reason))
        case Ok(HttpResponse(status=200) as success):
            match parse(success.read_json_object() or {}):
                case Ok(value):
                    return Ok(value)
                case Err(invalid):
                    return Err(Unavailable(invalid.detail))
        case Ok(HttpResponse(status=status) as refusal):
            if 400 <= status < 500 and status not in (408, 429):
                return Err(Refused(status, refusal.describe()))
            retry_after_s = refusal.read_retry_after_s()
            return Err(Unavailable(refusal.describe(), retry_after_s))
