"""Parsing of the platform's JSON responses."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from result import Err, Ok, Result

from waxwingbarrow.core import FieldInvalid, read_data
from waxwingbarrow.platform._failures import ReadFailure, Refused, Unavailable
from waxwingbarrow.platform._http import HttpFailure, HttpResponse

T = TypeVar("T")


def read_known_fields(
    data: Any, attrs_class: type[T], source: str
) -> Result[T, FieldInvalid]:
    """Parse a JSON object from the platform into an attrs class.

    Unknown fields are ignored, because a newer platform may send more.
    """
    if isinstance(data, dict):
        names = {field.name for field in attrs.fields(attrs_class)}  # type: ignore[arg-type]
        data = {name: value for name, value in data.items() if name in names}
    return read_data(data, attrs_class, source)


def parse_response(
    result: Result[HttpResponse, HttpFailure],
    parse: Callable[[dict[str, Any]], Result[T, FieldInvalid]],
) -> Result[T, ReadFailure]:
    """Convert the response to a GET request into a value or a typed failure."""
    match result:
        case Err(failure):
            return Err(Unavailable(failure.reason))
        case Ok(HttpResponse(status=200) as response):
            match parse(response.read_json_object() or {}):
                case Ok(value):
                    return Ok(value)
                case Err(invalid):
                    return Err(Unavailable(invalid.detail))
        case Ok(HttpResponse(status=status) as error_response):
            if 400 <= status < 500 and status not in (408, 429):
                return Err(Refused(status, error_response.describe()))
            retry_after_s = error_response.read_retry_after_s()
            return Err(Unavailable(error_response.describe(), retry_after_s))
