"""Guards against a command line that misreports the response of a host."""

import contextlib
import json
import socket
import threading
import time
from pathlib import Path

import pytest
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route

from waxwingbarrow.cli import ExitCode, main

ROOT = Path(__file__).resolve().parents[3]
CARE_DOCUMENT = ROOT / "examples/directorate/care-assistant.json"
ROTA_DOCUMENT = ROOT / "examples/cooperative/rota-booking.json"
KEY = "test-operator-key-not-secret"
LONG_NAME = "x" * 63
STATUS = {
    "host": "entry-1",
    "data_centre": "dc-1",
    "lifecycle": "ready",
    "control_offset": 1042,
    "log_lag_s": 0.25,
    "peers": 5,
    "added_by_a_newer_host": True,
    "services": [
        {
            "service": LONG_NAME,
            "revision": 7,
            "author": LONG_NAME,
            "accounts": ["a", "b"],
        }
    ],
    "moves": [],
    "upstreams": [
        {
            "upstream": "10.0.0.1:9000/" + LONG_NAME,
            "service": "care-assistant",
            "version": "v7",
            "state": "healthy",
            "in_flight": 3,
        }
    ],
}


def make_move(state):
    return {
        "service": "care-assistant",
        "revision": 7,
        "kind": "rollout",
        "state": state,
        "reason": f"suspected fault on {LONG_NAME}",
        "share_percent": 5.0,
        "finish_by_ms": 1_800_000_000_000,
    }


class FakeHost:
    """Stand-in for the operator interface of one host; a test sets its replies."""

    def __init__(self):
        self.status = STATUS
        self.document = json.loads(CARE_DOCUMENT.read_text())
        self.revision = 7
        self.publication = None
        self.received = []
        routes = [
            Route("/v1/operator/status", self.get_status),
            Route("/v1/operator/documents/{service}", self.get_document),
            Route(
                "/v1/operator/documents/{service}",
                self.put_document,
                methods=["PUT"],
            ),
            Route("/v1/operator/requests/{request}", self.get_request),
            Route("/v1/operator/drain", self.drain, methods=["POST"]),
            Route(
                "/v1/operator/upstreams/{upstream:path}/drain",
                self.drain,
                methods=["POST"],
            ),
        ]
        self.app = Starlette(routes=routes)

    def check_key(self, request):
        self.received.append((request.method, str(request.url.path)))
        if request.headers.get("authorization") != f"Bearer {KEY}":
            return JSONResponse({"title": "The bearer key is unknown"}, 401)
        return None

    async def get_status(self, request):
        if refusal := self.check_key(request):
            return refusal
        if isinstance(self.status, str):
            return PlainTextResponse(self.status)
        return JSONResponse(self.status)

    async def get_document(self, request):
        if refusal := self.check_key(request):
            return refusal
        if request.path_params["service"] != self.document["service"]:
            return JSONResponse({"title": "No such service"}, 404)
        return JSONResponse(
            {"revision": self.revision, "author": "ann", "document": self.document}
        )

    async def put_document(self, request):
        if refusal := self.check_key(request):
            return refusal
        if self.publication is not None:
            return JSONResponse(*self.publication)
        if int(request.query_params["base_revision"]) != self.revision:
            problem = {
                "title": "Conflict",
                "detail": "Another document was published first.",
                "winner_offset": self.revision,
                "winner_author": "ann",
            }
            return JSONResponse(problem, 409)
        self.document = await request.json()
        self.revision += 1
        return JSONResponse({"revision": self.revision})

    async def get_request(self, request):
        if refusal := self.check_key(request):
            return refusal
        name = request.path_params["request"]
        if name == "unknown":
            return JSONResponse({"title": "No such request"}, 404)
        events = [
            {"at_ms": 1_800_000_000_000, "event": "admitted", "detail": ""},
            {"at_ms": 1_800_000_000_250, "event": "sent", "detail": f"to {LONG_NAME}"},
        ]
        return JSONResponse({"request_id": name, "events": events})

    async def drain(self, request):
        if refusal := self.check_key(request):
            return refusal
        ended = request.path_params.get("upstream") == "gone"
        return JSONResponse({"state": "drained" if ended else "draining"}, 202)


@contextlib.contextmanager
def serve(app):
    """Serve an application on a free loopback port."""
    config = uvicorn.Config(app, host="127.0.0.1", port=0, log_level="warning")
    server = uvicorn.Server(config)
    thread = threading.Thread(target=server.run)
    thread.start()
    while not server.started:
        time.sleep(0.005)
    port = server.servers[0].sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.should_exit = True
        thread.join()


@pytest.fixture
def fake_host():
    return FakeHost()


@pytest.fixture
def url(fake_host, monkeypatch):
    for name in ("http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("WAXWINGBARROW_OPERATOR_KEY", KEY)
    with serve(fake_host.app) as address:
        monkeypatch.setenv("WAXWINGBARROW_HOST", address)
        yield address


@pytest.fixture
def run(capsys):
    """Run the command line; check for printed keys and lines over 40 characters."""

    def run_command(*arguments):
        code = main(list(arguments))
        captured = capsys.readouterr()
        text = captured.out + captured.err
        assert KEY not in text
        if "--json" not in arguments:
            assert max(map(len, text.splitlines())) <= 40
        return code, text

    return run_command


@pytest.mark.parametrize(
    ("states", "code", "first"),
    [
        ([], ExitCode.DONE, "DONE no moves"),
        (["done"], ExitCode.DONE, "DONE rollout"),
        (["done", "running"], ExitCode.RUNNING, "DONE rollout"),
        (["running", "withdrawn"], ExitCode.WITHDRAWN, "RUNNING rollout"),
    ],
)
def test_status_exit_code_follows_the_moves(run, fake_host, url, states, code, first):
    fake_host.status = {**STATUS, "moves": [make_move(state) for state in states]}
    found, text = run("status")
    assert found == code
    assert text.startswith(first)
    found, text = run("status", "--json")
    assert found == code
    assert json.loads(text)["control_offset"] == 1042


@pytest.mark.parametrize(
    "status",
    ["not JSON", [], {}, {**STATUS, "host": 5}, {**STATUS, "moves": [{}]}, "[" * 9999],
)
def test_malformed_reply_is_reported_as_unreachable(run, fake_host, url, status):
    fake_host.status = status
    assert run("status")[0] == ExitCode.UNREACHABLE


def test_closed_port_is_unreachable(run, url):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        code, text = run("status", "--host", f"http://127.0.0.1:{port}")
    assert code == ExitCode.UNREACHABLE
    assert "connection refused" in text


def test_lost_response_to_a_publication_is_not_reported_as_refused(run, fake_host, url):
    # The host may have published the document although its response was lost.
    fake_host.publication = ["nonsense"]
    code, text = run("publish", str(CARE_DOCUMENT), "--base-revision", "7")
    assert code == ExitCode.UNREACHABLE
    assert "may be in force" in text


def test_publish_uses_the_revision_in_force(run, fake_host, url):
    code, text = run("publish", str(CARE_DOCUMENT), "--author", "bo")
    assert (code, fake_host.revision) == (ExitCode.DONE, 8)
    assert "DONE published care-assistant r8" in text


def test_conflict_reports_the_winning_author_and_revision(run, fake_host, url):
    code, text = run(
        "publish", str(CARE_DOCUMENT), "--host", url, "--base-revision", "3"
    )
    assert code == ExitCode.WITHDRAWN
    assert "winner ann" in text
    assert "winner r7" in text
    code, text = run("publish", str(CARE_DOCUMENT), "--base-revision=3", "--json")
    assert json.loads(text)["winner_offset"] == 7


@pytest.mark.parametrize(
    ("status", "code"),
    [(422, ExitCode.INVALID), (503, ExitCode.UNREACHABLE), (403, ExitCode.INVALID)],
)
def test_exit_code_of_a_refused_publication_follows_its_status(
    run, fake_host, url, status, code
):
    fake_host.publication = [{"title": "Refused", "detail": "A reason. " * 20}, status]
    assert run("publish", str(CARE_DOCUMENT))[0] == code


def test_diff_lists_every_change(run, fake_host, url):
    assert run("diff", str(CARE_DOCUMENT)) == (
        ExitCode.DONE,
        "SAME care-assistant r7\n",
    )
    fake_host.document["accounts"][0]["requests_per_s"] = 1
    fake_host.document["accounts"][0]["key_hashes"] = ["sha256:" + "0" * 64]
    del fake_host.document["accounts"][1]
    fake_host.document["rollout"] = None
    text = run("diff", str(CARE_DOCUMENT))[1]
    assert text.splitlines() == [
        "CHANGES care-assistant r7",
        "+ account ward-south",
        "~ account ward-north",
        "  key_hashes: other keys",
        "~ account ward-north",
        "  requests_per_s: 1.0 to 40.0",
        "+ rollout v8",
    ]
    changes = json.loads(run("diff", str(CARE_DOCUMENT), "--json")[1])["changes"]
    assert {"change": "added", "section": "rollout", "name": "v8"} in changes


def test_diff_reports_that_a_service_is_not_published(run, url):
    code, text = run("diff", str(ROTA_DOCUMENT))
    assert code == ExitCode.DONE
    assert "no document is published" in text


def test_drain_is_reported_as_done_only_when_it_has_ended(run, fake_host, url):
    assert run("drain", url)[0] == ExitCode.RUNNING
    assert run("drain", "10.0.0.1:9000/a b")[0] == ExitCode.RUNNING
    assert run("drain", "gone")[0] == ExitCode.DONE
    assert fake_host.received[0] == ("POST", "/v1/operator/drain")
    assert fake_host.received[1][1].startswith("/v1/operator/upstreams/10.0.0.1:9000")


def test_explain_shows_events_and_keeps_the_id_as_text(run, fake_host, url):
    # fire would parse an id such as 1e5 as the number 100000.0.
    code, text = run("explain", "1e5")
    assert code == ExitCode.DONE
    assert text.startswith("REQUEST 1e5\n  from 2027-01-15 08:00Z\n+0 ms admitted")
    assert "+250 ms sent" in text
    assert run("explain", "unknown")[0] == ExitCode.INVALID


def test_unknown_key_is_invalid_input_and_not_printed(run, url, monkeypatch):
    monkeypatch.setenv("WAXWINGBARROW_OPERATOR_KEY", "wrong-secret")
    code, text = run("status")
    assert code == ExitCode.INVALID
    assert "401" in text
    assert "wrong-secret" not in text


@pytest.mark.parametrize("key", ["", "bad\nwrong-secret: 1", "wröng-secret"])
def test_unusable_key_is_refused_before_a_connection(
    run, fake_host, url, key, monkeypatch
):
    monkeypatch.setenv("WAXWINGBARROW_OPERATOR_KEY", key)
    code, text = run("status")
    assert code == ExitCode.INVALID
    assert "secret" not in text
    assert fake_host.received == []


@pytest.mark.parametrize(
    "host", ["", "entry-1", "ftp://a", "http://", "http://a:x", "http://u:pw1@a"]
)
def test_malformed_host_is_invalid_input(run, host, monkeypatch):
    monkeypatch.setenv("WAXWINGBARROW_OPERATOR_KEY", KEY)
    monkeypatch.delenv("WAXWINGBARROW_HOST", raising=False)
    code, text = run("status", "--host", host)
    assert code == ExitCode.INVALID
    assert "--host" in text
    assert "pw1" not in text


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["unknown"],
        ["check"],
        ["check", str(CARE_DOCUMENT), "extra"],
        ["check", str(CARE_DOCUMENT), "file"],
        ["publish", str(CARE_DOCUMENT), "--unknown", "1"],
        ["publish", str(CARE_DOCUMENT), "extra", "more", "words", "here"],
        ["status", "--", "--interactive"],
        ["publish", str(CARE_DOCUMENT), "--base-revision", "-1"],
        ["publish", str(CARE_DOCUMENT), "--base-revision", "1.5"],
    ],
)
def test_malformed_command_line_sends_no_request(run, fake_host, url, arguments):
    assert run(*arguments)[0] == ExitCode.INVALID
    assert fake_host.received == []


def test_check_reports_the_invalid_field(run, tmp_path):
    path = tmp_path / ("long-name-" * 6 + ".json")
    path.write_text(CARE_DOCUMENT.read_text().replace('"v8"', '"v9"', 1))
    code, text = run("check", str(path))
    assert code == ExitCode.INVALID
    assert "field rollout.to_version" in text
    assert "allowed: one of v7, v9" in text
    error = json.loads(run("check", str(path), "--json")[1])
    assert error["field"] == "rollout.to_version"


@pytest.mark.parametrize("content", [None, b"\xff\xfe", b"{"])
def test_unreadable_file_is_invalid_input(run, tmp_path, content):
    path = tmp_path / "document.json"
    if content is not None:
        path.write_bytes(content)
    assert run("check", str(path))[0] == ExitCode.INVALID


def test_check_schema_and_help_need_no_host(run, monkeypatch):
    monkeypatch.delenv("WAXWINGBARROW_OPERATOR_KEY", raising=False)
    assert run("check", str(CARE_DOCUMENT))[0] == ExitCode.DONE
    assert run("schema")[0] == ExitCode.DONE
    schema = json.loads(run("schema", "--json")[1])
    committed = (ROOT / "docs/service-document.schema.json").read_text()
    assert schema == json.loads(committed)
    assert run("--help")[0] == ExitCode.DONE
