"""Guards against JSON of other processes that is nested too deep for the parser.

RecursionError ended the task that read it, and with it the daemon.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingbarrow.core import parse_json
from waxwingbarrow.daemon._requests import check_json
from waxwingbarrow.daemon._settings import read_settings
from waxwingbarrow.platform._http import HttpResponse
from waxwingbarrow.upstreams._events import MalformedEventError, read_event
from waxwingbarrow.upstreams._load import read_load_header

NESTED = "[" * 100_000
READERS = {
    "body of a request": lambda text: check_json(text.encode()).is_err(),
    "response of the platform": lambda text: (
        HttpResponse(200, {}, text.encode()).read_json_object() is None
    ),
    "load header": lambda text: read_load_header({"upstream-load": text}) is None,
}


@pytest.mark.parametrize("reader", READERS)
def test_deeply_nested_json_is_unreadable(reader):
    assert READERS[reader](NESTED)


def test_deeply_nested_event_is_malformed():
    with pytest.raises(MalformedEventError):
        read_event("token", NESTED)


def test_deeply_nested_settings_are_refused(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(NESTED)
    assert read_settings(path).is_err()


@given(text=st.text(alphabet='[]{}":,0123456789eE+-. \\u', max_size=80))
@settings(derandomize=True)
def test_any_text_is_parsed_or_a_value_error(text):
    try:
        parse_json(text)
    except ValueError:
        return
