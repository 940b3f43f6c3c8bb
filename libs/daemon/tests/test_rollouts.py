"""Guards against a rollout shown as done before the log records its completion."""

import json

from waxwingbarrow.core import Incarnation, Instant
from waxwingbarrow.daemon._control import Configuration
from waxwingbarrow.daemon._rollouts import Rollouts
from waxwingbarrow.document import read_document
from waxwingbarrow.rollout import Decision, Done, MoveState, Share
from waxwingbarrow.state import AgreedVerdict, VerdictKind

NOW = Instant(1_764_547_205_000, 1_000)  # five seconds after the start
DOCUMENT = {
    "schema_version": 1,
    "service": "rota",
    "kind": "plain",
    "accounts": [
        {
            "account": "depot",
            "key_hashes": ["sha256:" + "0" * 64],
            "requests_per_s": 5,
            "classes": ["standard"],
        }
    ],
    "routes": [{"route": "book", "repeatable": False}],
    "versions": [{"version": "v1"}, {"version": "v2"}],
    "stable_version": "v1",
    "rollout": {
        "from_version": "v1",
        "to_version": "v2",
        "start": "2025-12-01T00:00:00+00:00",
        "finish_by": "2025-12-01T01:00:00+00:00",
    },
    "placements": [{"data_centre": "dc-a", "workers": 1}],
}


def describe(agreed, monkeypatch):
    text = json.dumps(DOCUMENT)
    document = read_document(text).unwrap()
    configuration = Configuration(3, "author", document, text)
    rollouts = Rollouts("host-1", Incarnation(1, 1))
    decision = Decision(Share(100.0, "done"), Done())
    monkeypatch.setattr(rollouts, "decide", lambda *_: decision)
    return rollouts.describe(configuration, agreed, NOW)


def test_a_completion_is_shown_only_when_it_is_recorded(monkeypatch):
    shown = describe(None, monkeypatch)
    assert shown.state is MoveState.RUNNING
    assert "record" in shown.reason


def test_a_recorded_completion_is_shown_as_done(monkeypatch):
    agreed = AgreedVerdict(VerdictKind.DONE, "proven", 7)
    assert describe(agreed, monkeypatch).state is MoveState.DONE
