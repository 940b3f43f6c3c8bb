"""Guards against service documents that are accepted but cannot be applied."""

import copy
import hashlib
import json
import re
from pathlib import Path

import jsonschema
import pytest
from result import Err, Ok

from waxwingbarrow.document import (
    Added,
    Changed,
    Removed,
    Section,
    diff_documents,
    document_schema,
    read_document,
    to_json,
)

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = sorted((ROOT / "examples").glob("*/*.json"))
MODEL = json.loads((ROOT / "examples/directorate/care-assistant.json").read_text())
PLAIN = json.loads((ROOT / "examples/cooperative/rota-booking.json").read_text())
REMOVED = object()


def change_field(data, path, value):
    """Return a copy of parsed JSON with one field replaced or removed."""
    copied = copy.deepcopy(data)
    target = copied
    for step in path[:-1]:
        target = target[step]
    if value is REMOVED:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return copied


MALFORMED_CASES = [
    (MODEL, ["schema_version"], 2, "schema_version", "1 to 1"),
    (MODEL, ["service"], "Care", "service", "lower-case"),
    (MODEL, ["service"], "\ud800", "service", "lower-case"),
    (MODEL, ["service"], REMOVED, "service", "required"),
    (MODEL, ["kind"], "other", "kind", "one of model, plain"),
    (MODEL, ["colour"], 1, "colour", "no such field"),
    (MODEL, ["accounts"], [], "accounts", "at least one"),
    (MODEL, ["accounts", 0, "key_hashes"], [], "accounts[0].key_hashes", "one item"),
    (
        MODEL,
        ["accounts", 1, "key_hashes", 0],
        "sha256:12",
        "accounts[1].key_hashes[0]",
        "64 lower-case hex",
    ),
    (
        MODEL,
        ["accounts", 1, "key_hashes", 0],
        MODEL["accounts"][0]["key_hashes"][0],
        "accounts[1].key_hashes[0]",
        "not used before",
    ),
    (MODEL, ["accounts", 1, "account"], "ward-north", "accounts[1].account", "before"),
    (MODEL, ["accounts", 0, "requests_per_s"], 0, "accounts[0].requests_per_s", "per"),
    (
        MODEL,
        ["accounts", 0, "requests_per_s"],
        float("nan"),
        "accounts[0].requests_per_s",
        "requests per s",
    ),
    (MODEL, ["accounts", 0, "tokens_per_s"], 0, "accounts[0].tokens_per_s", "model"),
    (PLAIN, ["accounts", 0, "tokens_per_s"], 5, "accounts[0].tokens_per_s", "plain"),
    (MODEL, ["accounts", 0, "classes"], {"batch": 1}, "accounts[0].classes", "a list"),
    (MODEL, ["accounts"], {"a": 1}, "accounts", "a list"),
    (MODEL, ["accounts", 0, "classes"], ["fast"], "accounts[0].classes[0]", "batch"),
    (
        MODEL,
        ["accounts", 0, "classes"],
        ["batch", "batch"],
        "accounts[0].classes",
        "each class once",
    ),
    (MODEL, ["routes", 1, "route"], "care-plan", "routes[1].route", "not used before"),
    (MODEL, ["routes", 0, "repeatable"], False, "routes[0].repeatable", "true for a"),
    (MODEL, ["routes", 0, "repeatable"], "yes", "routes[0].repeatable", "true or"),
    (MODEL, ["routes", 0, "deadline_ms"], 0, "routes[0].deadline_ms", "1 to 3600000"),
    (MODEL, ["routes", 0, "deadline_ms"], 1.5, "routes[0].deadline_ms", "whole"),
    (
        MODEL,
        ["routes", 0, "max_output_tokens"],
        0,
        "routes[0].max_output_tokens",
        "at least 1",
    ),
    (
        PLAIN,
        ["routes", 0, "max_output_tokens"],
        7,
        "routes[0].max_output_tokens",
        "0 for a plain",
    ),
    (MODEL, ["versions", 1, "version"], "v7", "versions[1].version", "not used before"),
    (MODEL, ["versions", 1, "model"], None, "versions[1].model", "a model for"),
    (PLAIN, ["versions", 1, "model"], "x", "versions[1].model", "null for a plain"),
    (MODEL, ["stable_version"], "v9", "stable_version", "one of v7, v8"),
    (MODEL, ["rollout", "to_version"], "v9", "rollout.to_version", "one of v7, v8"),
    (MODEL, ["rollout", "to_version"], "v7", "rollout.to_version", "another than"),
    (MODEL, ["rollout", "from_version"], "v8", "rollout.from_version", "stable"),
    (MODEL, ["rollout", "start"], "tomorrow", "rollout.start", "RFC 3339"),
    (MODEL, ["rollout", "start"], "2027-03-01T08:00:00", "rollout.start", "offset"),
    (MODEL, ["rollout", "start"], "2027-02-30T08:00:00Z", "rollout.start", "RFC"),
    (
        MODEL,
        ["rollout", "finish_by"],
        "2027-03-01T08:00:00Z",
        "rollout.finish_by",
        "later than",
    ),
    (
        MODEL,
        ["rollout", "first_share_percent"],
        101,
        "rollout.first_share_percent",
        "0.1 to 50 percent",
    ),
    (
        MODEL,
        ["rollout", "max_failure_percent"],
        -1,
        "rollout.max_failure_percent",
        "0 to 100 percent",
    ),
    (MODEL, ["latency", "percentile"], 100, "latency.percentile", "percent"),
    (MODEL, ["placements", 0, "workers"], -1, "placements[0].workers", "0 to"),
    (MODEL, ["placements"], [], "placements", "at least one"),
    (
        MODEL,
        ["placements", 1, "data_centre"],
        "dc-1",
        "placements[1].data_centre",
        "not used before",
    ),
    (
        MODEL,
        ["placements", 0, "max_reclaimable_percent"],
        100.5,
        "placements[0].max_reclaimable_percent",
        "0 to 100 percent",
    ),
    (
        MODEL,
        ["placements"],
        [{"data_centre": "dc-1", "workers": 0}],
        "placements",
        "at least one worker",
    ),
]


@pytest.mark.parametrize(("data", "path", "value", "field", "allowed"), MALFORMED_CASES)
def test_error_for_a_malformed_document_names_field_and_allowed_values(
    data, path, value, field, allowed
):
    text = json.dumps(change_field(data, path, value))
    failure = read_document(text, "care.json").unwrap_err()
    assert failure.field == field
    assert allowed in failure.allowed
    assert failure.detail.startswith(f"care.json: {field} is ")


UNEXPECTED_VALUES = [
    None,
    True,
    -1,
    10**400,
    float("inf"),
    float("nan"),
    "",
    "x" * 2000,
    [],
    [[]],
    {},
    {"a": 1},
]


def list_paths(data, path=()):
    """Yield the path of every value inside parsed JSON."""
    items = data.items() if isinstance(data, dict) else enumerate(data)
    for step, value in items:
        yield [*path, step]
        if isinstance(value, dict | list):
            yield from list_paths(value, (*path, step))


@pytest.mark.parametrize("data", [MODEL, PLAIN], ids=["model", "plain"])
def test_reading_does_not_raise_for_any_value_of_any_field(data):
    for path in list_paths(data):
        for value in UNEXPECTED_VALUES:
            text = json.dumps(change_field(data, path, value))
            match read_document(text):
                case Ok(document):
                    assert read_document(to_json(document)).is_ok()
                case Err(failure):
                    assert failure.allowed


INVALID_TEXTS = [
    ("", "", "valid JSON"),
    ("[]", "", "an object"),
    ("null", "", "an object"),
    ("[" * 100_000, "", "fields of a document"),
    (" " * 1_048_577, "", "at most 1048576 bytes"),
    ('{"service": "a", "service": "b"}', "service", "each field once"),
]


@pytest.mark.parametrize(("text", "field", "allowed"), INVALID_TEXTS)
def test_text_that_is_not_a_document_is_a_typed_error(text, field, allowed):
    failure = read_document(text).unwrap_err()
    assert failure.field == field
    assert allowed in failure.allowed


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_reads_back_equal_and_fits_the_schema(path):
    text = path.read_text()
    jsonschema.validate(
        json.loads(text),
        document_schema(),
        format_checker=jsonschema.FormatChecker(),
    )
    document = read_document(text).unwrap()
    assert read_document(to_json(document)).unwrap() == document


def test_key_hashes_of_the_examples_belong_to_documented_test_keys():
    # Nobody could use or revoke a key that is known by its hash only.
    readme = (ROOT / "examples/README.md").read_text()
    keys = re.findall(r"`(test-key-[a-z-]+)`", readme)
    hashes = {"sha256:" + hashlib.sha256(key.encode()).hexdigest() for key in keys}
    for path in EXAMPLES:
        document = read_document(path.read_text()).unwrap()
        found = {
            key_hash for grant in document.accounts for key_hash in grant.key_hashes
        }
        assert found <= hashes


def test_all_four_examples_are_present():
    assert [path.stem for path in EXAMPLES] == [
        "language-model-pool",
        "rota-booking",
        "care-assistant",
        "swap-listings",
    ]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["kind"], "other"),
        (["colour"], 1),
        (["accounts", 0, "key_hashes", 0], "sha256:12"),
        (["versions", 0, "model"], "-"),
        (["rollout", "first_share_percent"], 101),
        (["routes", 0, "deadline_ms"], 1.5),
    ],
)
def test_schema_rejects_what_reading_rejects(path, value):
    data = change_field(MODEL, path, value)
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(data, document_schema())


def test_committed_schema_equals_the_generated_one():
    committed = (ROOT / "docs/service-document.schema.json").read_text()
    assert json.loads(committed) == document_schema()


def test_documentation_page_describes_every_field():
    page = (ROOT / "docs/service-document.md").read_text()

    def list_names(schema):
        for name, described in schema.get("properties", {}).items():
            yield name
            yield from list_names(described)
            yield from list_names(described.get("items", {}))
            for option in described.get("anyOf", ()):
                yield from list_names(option)

    missing = [
        name for name in list_names(document_schema()) if f"`{name}`" not in page
    ]
    assert missing == []


def test_diff_lists_each_change_and_ignores_the_order_of_lists():
    old = read_document(json.dumps(MODEL)).unwrap()
    data = copy.deepcopy(MODEL)
    data["accounts"].reverse()
    data["accounts"][0]["requests_per_s"] = 2
    data["routes"][0]["route"] = "plan"
    data["rollout"] = None
    data["latency"]["first_token_ms"] = 400
    new = read_document(json.dumps(data)).unwrap()
    assert diff_documents(old, new) == (
        Changed(Section.LATENCY, "", "first_token_ms", "310", "400"),
        Changed(Section.ACCOUNT, "training", "requests_per_s", "1.0", "2.0"),
        Removed(Section.ROUTE, "care-plan"),
        Added(Section.ROUTE, "plan"),
        Removed(Section.ROLLOUT, "v8"),
    )
    assert Added(Section.ROLLOUT, "v8") in diff_documents(new, old)
    assert diff_documents(old, old) == ()


@pytest.mark.parametrize(
    ("value", "field"),
    [
        ("raw-secret-key", "accounts[0].key_hashes"),
        (["raw-secret-key"], "accounts[0].key_hashes[0]"),
    ],
)
def test_key_in_place_of_its_hash_is_not_shown_in_the_error(value, field):
    data = change_field(MODEL, ["accounts", 0, "key_hashes"], value)
    failure = read_document(json.dumps(data)).unwrap_err()
    assert failure.field == field
    assert "raw-secret-key" not in repr(failure)


def test_rollout_times_are_converted_to_milliseconds():
    rollout = read_document(json.dumps(MODEL)).unwrap().rollout
    assert rollout.finish_by_ms - rollout.start_ms == 4 * 3600 * 1000
