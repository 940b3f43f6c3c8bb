"""Load pattern: long prompts at hundreds of hosts, whose figures of load come late.

Each host sees one request in two hundred, and learns of the others when their prompts
have been prefilled. Guards against several long prompts at one engine while others are
idle, which makes the answers of all callers there late.
"""

import heapq
import random

import attrs
import pytest

from waxwingbarrow.core import DataCentre, Instant, ServiceName, UpstreamId, VersionName
from waxwingbarrow.gateway.admission._permit_keeper import PermitKeeper
from waxwingbarrow.gateway.admission._placements import PlacementAdviser
from waxwingbarrow.gateway.base._model import Engine, UpstreamEntry
from waxwingbarrow.gateway.messages._messages import (
    MESSAGE_FORMAT,
    AttemptOutcome,
    AttemptReport,
    PlacementQuery,
)
from waxwingbarrow.gateway.peers._peer_sync import ALL_OTHERS
from waxwingbarrow.gateway.upstreams._fleet import Fleet
from waxwingbarrow.gateway.upstreams._upstreams import Load
from waxwingbarrow.routing import (
    PlacementPolicy,
    PromptPart,
    RequestSize,
    choose_worker,
)

HOST = "10.0.0.9"
POOL = ServiceName("pool")
CENTRES = ("a", "b", "c")
ENGINES = 39
ENGINE = Engine(slots=32, memory_tokens=500_000)
PREFILL_TOKENS_PER_MS = 55.0
OBJECTIVE_MS = 500.0
SECONDS = 20
# One heartbeat, one exchange between relays and one total.
TOTALS_LAG_MS = 750
# A quarter of what the engines can prefill.
TOKENS_PER_MS = ENGINES * PREFILL_TOKENS_PER_MS / 4
MEAN_PROMPT_TOKENS = 4_000
MAX_PROMPT_TOKENS = 20_000
# Time to the first event that does not depend on the prompt.
FIXED_MS = 25.0


@attrs.frozen
class Request:
    arrival_ms: int
    prompt_tokens: int
    parts: tuple[PromptPart, ...]


def make_entry(number):
    return UpstreamEntry(
        upstream=UpstreamId(f"u{number}"),
        service=POOL,
        host="10.0.0.1",
        port=80 + number,
        data_centre=DataCentre(CENTRES[number % len(CENTRES)]),
        version=VersionName("v1"),
    )


def make_fleet():
    fleet = Fleet()
    for number in range(ENGINES):
        fleet.put(make_entry(number), Instant(0, 0))
    return fleet


def make_requests(rng, sessions=0):
    """Return prompts of very different lengths at random times."""
    requests, at_ms = [], 0.0
    while at_ms < SECONDS * 1000:
        at_ms += rng.expovariate(TOKENS_PER_MS / MEAN_PROMPT_TOKENS)
        drawn = int(rng.lognormvariate(0, 1.2) * MEAN_PROMPT_TOKENS / 2)
        own_tokens = min(max(drawn, 50), MAX_PROMPT_TOKENS)
        parts = [PromptPart(rng.getrandbits(48), own_tokens)]
        if sessions:
            parts.insert(0, PromptPart(rng.randrange(sessions), MEAN_PROMPT_TOKENS))
        prompt_tokens = sum(part.tokens for part in parts)
        requests.append(Request(int(at_ms), prompt_tokens, tuple(parts)))
    return requests


class Engines:
    """Engines that prefill one prompt after the other and keep all of its parts."""

    def __init__(self):
        self.free_at_ms = {}
        self.cached = {}
        self.prefilled_tokens = 0

    def run(self, name, request):
        """Prefill a prompt; return the time from its arrival to its end in ms."""
        cached = self.cached.setdefault(name, set())
        missing = [part for part in request.parts if part.part not in cached]
        cached.update(part.part for part in request.parts)
        tokens = sum(part.tokens for part in missing)
        self.prefilled_tokens += tokens
        start_ms = max(self.free_at_ms.get(name, 0.0), request.arrival_ms)
        self.free_at_ms[name] = start_ms + tokens / PREFILL_TOKENS_PER_MS
        return self.free_at_ms[name] - request.arrival_ms


def make_query(request, data_centre="a", **fields):
    return PlacementQuery(
        service=POOL,
        data_centre=data_centre,
        prompt_tokens=request.prompt_tokens,
        output_tokens=100,
        parts=[(part.part, part.tokens) for part in request.parts],
        **{"latest_start_ms": 10_000.0, **fields},
    )


def make_adviser(fleet, seed=1):
    return PlacementAdviser(
        fleet,
        PlacementPolicy(data_centre=DataCentre("a")),
        random.Random(seed),
        lambda service: ENGINE if service == POOL else None,
        PermitKeeper(fleet.notices, lambda now: 1.0),
    )


class Reports:
    """First events that hosts are going to report to the adviser."""

    def __init__(self, adviser):
        self.adviser = adviser
        self.pending = []

    def add(self, at_ms, name, number):
        heapq.heappush(self.pending, (at_ms + FIXED_MS, name, number))

    def deliver(self, now_ms):
        while self.pending and self.pending[0][0] <= now_ms:
            at_ms, name, number = heapq.heappop(self.pending)
            report(self.adviser, name, number, AttemptOutcome.FIRST_EVENT, at_ms)


def report(adviser, name, number, outcome, at_ms=0, started_ms=0):
    message = AttemptReport(MESSAGE_FORMAT, number, name, started_ms, outcome)
    adviser.note_attempt(message, HOST, Instant(int(at_ms), int(at_ms)))


def serve_by_advice(requests, rng):
    adviser, engines = make_adviser(make_fleet()), Engines()
    reports, waits_ms = Reports(adviser), []
    for number, request in enumerate(requests):
        reports.deliver(request.arrival_ms)
        query = make_query(request, rng.choice(CENTRES))
        now = Instant(request.arrival_ms, request.arrival_ms)
        name = adviser.advise(query, (HOST, number), now).upstream
        waits_ms.append(engines.run(name, request))
        reports.add(request.arrival_ms + waits_ms[-1], name, number)
    return waits_ms, engines


def serve_by_late_totals(requests, rng):
    """Let each request be placed by a host that knows the load of some time ago."""
    engines, fleet, sent = Engines(), make_fleet(), []
    waits_ms = []
    for request in requests:
        known_until_ms = request.arrival_ms - TOTALS_LAG_MS
        now = Instant(request.arrival_ms, request.arrival_ms)
        for name, upstream in fleet.upstreams.items():
            pending = [
                tokens
                for at_ms, end_ms, placed, tokens in sent
                if placed == name and at_ms <= known_until_ms < end_ms
            ]
            load = Load(len(pending), sum(pending), 0)
            upstream.peer_loads[ALL_OTHERS] = (load, now.mono_ms)
        chosen = choose_worker(
            RequestSize(prompt_tokens=request.prompt_tokens),
            fleet.view(fleet.list_usable(POOL, None), (), ENGINE, now),
            PlacementPolicy(data_centre=DataCentre(rng.choice(CENTRES))),
            rng,
        ).unwrap()
        name = chosen.view.upstream
        wait_ms = engines.run(name, request)
        end_ms = request.arrival_ms + wait_ms
        sent.append((request.arrival_ms, end_ms, name, request.prompt_tokens))
        sent = [item for item in sent if item[1] > known_until_ms]
        waits_ms.append(wait_ms)
    return waits_ms, engines


def count_late(waits_ms):
    return sum(wait_ms > OBJECTIVE_MS for wait_ms in waits_ms)


@pytest.mark.parametrize("seed", range(3))
def test_long_prompts_do_not_queue_while_other_engines_are_idle(seed):
    """An idle engine prefills the longest prompt within the objective."""
    rng = random.Random(seed)
    requests = make_requests(rng)
    advised_ms, _ = serve_by_advice(requests, rng)
    alone_ms, _ = serve_by_late_totals(requests, rng)
    assert count_late(advised_ms) == 0
    assert count_late(alone_ms) > 0


def test_prompts_of_a_session_return_to_the_engine_that_cached_it():
    """At least nine tenths of the shared tokens must not be prefilled again."""
    rng = random.Random(1)
    sessions = 100
    requests = make_requests(rng, sessions)
    _, engines = serve_by_advice(requests, rng)
    first_tokens = sessions * MEAN_PROMPT_TOKENS
    own_tokens = sum(request.parts[1].tokens for request in requests)
    repeated_tokens = engines.prefilled_tokens - own_tokens - first_tokens
    shared_tokens = len(requests) * MEAN_PROMPT_TOKENS - first_tokens
    assert repeated_tokens < 0.1 * shared_tokens


def test_a_request_that_cannot_start_in_time_is_not_counted():
    """A refused request is not sent, so it must not delay the requests after it."""
    adviser = make_adviser(make_fleet())
    late = Request(0, 200_000, (PromptPart(1, 200_000),))
    for number in range(10 * ENGINES):
        query = make_query(late, latest_start_ms=100.0)
        advice = adviser.advise(query, (HOST, number), Instant(0, 0))
        assert advice.start_ms > 100.0
    usual = Request(0, 1_000, (PromptPart(2, 1_000),))
    advice = adviser.advise(make_query(usual), (HOST, 0), Instant(0, 0))
    assert advice.start_ms == pytest.approx(1_000 / PREFILL_TOKENS_PER_MS, abs=0.1)


def test_advice_respects_the_rules_of_the_host_that_asks():
    """Guards against requests at versions and upstreams that the host must not use."""
    adviser = make_adviser(make_fleet())
    request = Request(0, 1_000, ())
    avoided = [f"u{number}" for number in range(1, ENGINES)]

    def advise(**fields):
        query = make_query(request, **fields)
        return adviser.advise(query, (HOST, 0), Instant(0, 0))

    for _ in range(5):
        assert advise(avoided_upstreams=avoided).upstream == "u0"
    assert advise(version="v2") is None
    assert advise(excluded_versions=["v1"]) is None


@attrs.define
class Deployment:
    """Engines of different speed and the hosts that report first events.

    Parameters
    ----------
    slow : dict
        Times that an engine takes for a prompt, as a multiple of the usual one.
    silent : set
        Engines that never send anything.
    """

    slow: dict = attrs.Factory(dict)
    silent: set = attrs.Factory(set)
    adviser: PlacementAdviser = attrs.Factory(lambda: make_adviser(make_fleet()))
    placed: list = attrs.Factory(list)

    def run(self, start_s, seconds, rng):
        """Send ten requests of 4,000 tokens per second and engine."""
        free_at_ms, reports = {}, Reports(self.adviser)
        interval_ms = 1000 / 10 / ENGINES
        now_ms, number = start_s * 1000.0, len(self.placed)
        while now_ms < (start_s + seconds) * 1000:
            now_ms += interval_ms
            number += 1
            reports.deliver(now_ms)
            request = Request(int(now_ms), 4_000, (PromptPart(number, 4_000),))
            now = Instant(int(now_ms), int(now_ms))
            query = make_query(request, rng.choice(CENTRES))
            name = self.adviser.advise(query, (HOST, number), now).upstream
            self.placed.append((now_ms, name))
            if name in self.silent:
                continue
            start_ms = max(free_at_ms.get(name, 0.0), now_ms)
            prefill_ms = 4_000 / PREFILL_TOKENS_PER_MS * self.slow.get(name, 1.0)
            free_at_ms[name] = start_ms + prefill_ms
            reports.add(free_at_ms[name], name, number)

    def share(self, names, since_s):
        """Return the part of the requests since a time that were placed at engines."""
        recent = [name for at_ms, name in self.placed if at_ms >= since_s * 1000]
        return sum(name in names for name in recent) / len(recent)


def test_slow_engines_get_less_than_they_can_prefill():
    """Guards against requests that queue at engines which turned slow."""
    slow = {f"u{number}": 5.0 for number in range(6)}
    deployment = Deployment(slow=slow)
    rng = random.Random(1)
    deployment.run(0, 12, rng)
    # Ten requests a second need more than an engine of a fifth of the speed has.
    could_prefill = 1000 / (4_000 / PREFILL_TOKENS_PER_MS * 5.0)
    assert deployment.share(set(slow), 4) * 10 * ENGINES < len(slow) * could_prefill


def test_engines_of_another_generation_are_not_taken_for_slow():
    """Figures of one deployment must not make a host refuse requests of another."""
    slow = {f"u{number}": 2.0 for number in range(ENGINES)}
    deployment = Deployment(slow=slow)
    deployment.run(0, 10, random.Random(1))
    advice = deployment.adviser.advise(
        make_query(Request(0, 20_000, ())), (HOST, 0), Instant(60_000, 60_000)
    )
    expected_ms = 2 * 20_000 / PREFILL_TOKENS_PER_MS
    assert advice.start_ms == pytest.approx(expected_ms, rel=0.15)


def test_silent_engines_are_avoided_within_two_seconds():
    """Guards against hosts that each wait for the deadline to find a hung engine."""
    silent = {f"u{number}" for number in range(4)}
    deployment = Deployment(silent=silent)
    deployment.run(0, 4, random.Random(1))
    assert deployment.share(silent, 2) == 0.0


def test_an_engine_that_answers_again_is_used_again():
    silent = {f"u{number}" for number in range(4)}
    deployment = Deployment(silent=silent)
    rng = random.Random(1)
    deployment.run(0, 4, rng)
    deployment.silent = set()
    deployment.run(4, 16, rng)
    assert deployment.share(silent, 15) > 0.5 * len(silent) / ENGINES


def test_an_engine_that_one_host_could_not_reach_is_avoided_by_all():
    deployment = Deployment()
    report(deployment.adviser, "u3", 0, AttemptOutcome.UNREACHABLE)
    deployment.run(0, 0.5, random.Random(1))
    assert deployment.share({"u3"}, 0) == 0.0


def test_a_report_about_an_earlier_start_of_an_engine_is_ignored():
    deployment = Deployment()
    outcome = AttemptOutcome.UNREACHABLE
    report(deployment.adviser, "u3", 0, outcome, started_ms=77)
    deployment.run(0, 0.5, random.Random(1))
    assert deployment.share({"u3"}, 0) > 0.0
