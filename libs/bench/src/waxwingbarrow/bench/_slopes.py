"""Slopes of the decision libraries: cost against size, with repetitions."""

import functools
import gc
import json
import random
import time
import tracemalloc
import uuid
from collections.abc import Callable, Sequence

from waxwingbarrow.bench._documents import (
    BOOKING_SERVICE,
    MODEL_SERVICE,
    make_model_document,
)
from waxwingbarrow.bench._gossip import (
    NodeCost,
    measure_simulation,
)
from waxwingbarrow.bench._measuring import Slope, fit_slope
from waxwingbarrow.bench._rollouts import make_document
from waxwingbarrow.bench._routing import SERVICE
from waxwingbarrow.claims import (
    Append,
    ClaimIdentity,
    ClaimLedger,
    ClaimPolicy,
    LocalClaims,
    Settled,
    check_key,
    make_answer,
)
from waxwingbarrow.core import (
    AccountId,
    DataCentre,
    HostId,
    Incarnation,
    Instant,
    PriorityClass,
    RouteName,
    ServiceName,
    SystemClock,
    UpstreamId,
    VersionName,
    Zone,
)
from waxwingbarrow.limits import (
    AccountLimit,
    AdmissionController,
    AdmissionPolicy,
    AdmissionRequest,
)
from waxwingbarrow.rollout import (
    EvidenceKey,
    EvidenceRecorder,
    ResponseQuality,
    decode_evidence,
    encode_evidence,
)
from waxwingbarrow.routing import (
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    choose_upstream,
)
from waxwingbarrow.state import (
    PublishBody,
    Record,
    Writer,
    apply,
    make_control_record,
    make_initial_state,
    read_entry,
    write_record,
)

REPETITIONS = 3
ENTRY_COUNTS = (500, 1_000, 2_000)
CLAIM_COUNTS = (1_000, 2_000, 4_000)
MEMBER_COUNTS = (30, 60, 120)
REMOTE_MEMBER_COUNTS = (0, 600, 1_200)
# Two rounds of reports about remote members, which are sent every 30 s, and a margin.
REMOTE_SETTLE_S = 62
REMOTE_WINDOW_S = 30
CANDIDATE_COUNTS = (8, 64, 256)
CHOICE_COUNT = 200
REQUEST_COUNTS = (1_000, 2_000, 4_000)
PAIR_COUNTS = (2, 8, 32)
CLAIM_POLICY = ClaimPolicy(key_max_age_s=3_600, log_retention_s=86_400)
OWN_WRITER = Writer(HostId("host-a1"), Incarnation(1, 1))
OTHER_WRITER = Writer(HostId("host-a2"), Incarnation(1, 2))
BOOKING_BODY = b'{"number":123456,"request_id":"01890a5d-ac96-774b-bcce-b302099a8057"}'

MeasureFunction = Callable[[int], float]


def measure_slope(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measure: MeasureFunction,
    repetitions: int = REPETITIONS,
) -> Slope:
    """Measure every size in every repetition and fit a line to each repetition."""
    measure(sizes[0])  # fills caches and compiles validators
    rounds = [[measure(size) for size in sizes] for _ in range(repetitions)]
    return fit_slope(name, unit, sizes, rounds)


def measure_library_slopes(repetitions: int = REPETITIONS) -> tuple[Slope, ...]:
    """Measure all slopes of the decision libraries."""
    measures: tuple[tuple[str, str, tuple[int, ...], MeasureFunction], ...] = (
        (
            "fold: read and apply an entry",
            "us per entry",
            ENTRY_COUNTS,
            measure_fold_us,
        ),
        ("claim: own, whole life", "us per claim", CLAIM_COUNTS, measure_own_claims_us),
        (
            "claim: of another host",
            "us per claim",
            CLAIM_COUNTS,
            measure_other_claims_us,
        ),
        ("claim: memory", "bytes per claim", CLAIM_COUNTS, measure_claim_memory_bytes),
        ("claim: log bytes", "bytes per claim", CLAIM_COUNTS, count_claim_bytes),
        (
            "upstream choice",
            "us per candidate",
            CANDIDATE_COUNTS,
            measure_upstream_choice_us,
        ),
        ("admission", "us per request", REQUEST_COUNTS, measure_admission_us),
        (
            "evidence: encode and decode",
            "us per pair",
            PAIR_COUNTS,
            measure_evidence_coding_us,
        ),
        ("evidence: payload", "bytes per pair", PAIR_COUNTS, count_evidence_bytes),
    )
    slopes = [measure_slope(*item, repetitions) for item in measures]
    return (*slopes, *measure_gossip_slopes(min(repetitions, 3)))


def measure_gossip_slopes(repetitions: int) -> tuple[Slope, ...]:
    """Measure gossip against members of the own and of other data centres."""
    return (
        *_fit_gossip("member", MEMBER_COUNTS, measure_simulation, repetitions),
        *_fit_gossip(
            "remote member",
            REMOTE_MEMBER_COUNTS,
            measure_remote_members,
            repetitions,
        ),
    )


def measure_remote_members(count: int) -> NodeCost:
    """Measure a data centre of 12 members that know `count` remote members."""
    return measure_simulation(
        12, remote_members=count, seconds=REMOTE_WINDOW_S, settle_s=REMOTE_SETTLE_S
    )


def _fit_gossip(
    label: str,
    sizes: Sequence[int],
    measure: Callable[[int], NodeCost],
    repetitions: int,
) -> list[Slope]:
    rounds = [[measure(size) for size in sizes] for _ in range(repetitions)]
    parts: tuple[tuple[str, str, Callable[[NodeCost], float]], ...] = (
        ("processor time", "core percent", lambda cost: cost.core_percent),
        ("bytes sent", "bytes/s", lambda cost: cost.bytes_per_s),
        ("frames sent", "frames/s", lambda cost: cost.frames_per_s),
    )
    return [
        fit_slope(
            f"gossip: {part} by {label}s",
            f"{unit} per {label}",
            sizes,
            [[read(cost) for cost in costs] for costs in rounds],
        )
        for part, unit, read in parts
    ]


def measure_fold_us(count: int) -> float:
    """Return the processor time in us of folding publications of 40 services."""
    text = make_model_document()
    revisions: dict[int, int] = {}
    raw_records = []
    for offset in range(1, count + 1):
        service = offset % 40
        body = PublishBody(
            ServiceName(f"service-{service}"), revisions.get(service, 0), text, "ann"
        )
        revisions[service] = offset
        raw_records.append(
            _write(make_control_record(f"r{offset}", body, OWN_WRITER, Instant(0, 0)))
        )
    state = make_initial_state(1)
    started_s = time.process_time()
    for offset, record in enumerate(raw_records, 1):
        entry = read_entry(offset, json.loads(record))
        state, _ = apply(state, entry, lambda _: True)
    return 1e6 * (time.process_time() - started_s)


def measure_own_claims_us(count: int) -> float:
    """Return the processor time in us of own claims, from begin to outcome."""
    clock, keys = SystemClock(), [make_key() for _ in range(count)]
    local = LocalClaims(ClaimLedger(0), OWN_WRITER, CLAIM_POLICY, lambda *_: False)
    offset = 0
    started_s = time.process_time()
    for number, text in enumerate(keys):
        now = clock.now()
        key = check_key(text, now, CLAIM_POLICY, True).unwrap()
        identity = ClaimIdentity(AccountId("a"), ServiceName(BOOKING_SERVICE), text)
        began = local.begin(identity, key, "d" * 64, True, f"c{number}", now)
        assert isinstance(began, Append)
        entry = read_entry(offset, json.loads(_write(began.record)))
        assert isinstance(local.apply(entry, now), Settled)
        local.start_sending(began.claim)
        answer = make_answer(200, "application/json", BOOKING_BODY, CLAIM_POLICY)
        record = local.complete(began.claim, answer, f"o{number}", now)
        entry = read_entry(offset + 1, json.loads(_write(record)))
        local.apply(entry, now)
        offset += 2
    return 1e6 * (time.process_time() - started_s)


@functools.lru_cache(maxsize=len(CLAIM_COUNTS))
def make_claim_log(count: int) -> tuple[str, ...]:
    """Return the JSON of claims and outcomes that another host wrote."""
    clock = SystemClock()
    local = LocalClaims(ClaimLedger(0), OTHER_WRITER, CLAIM_POLICY, lambda *_: False)
    raw_records: list[str] = []
    for number in range(count):
        now, text = clock.now(), make_key()
        key = check_key(text, now, CLAIM_POLICY, True).unwrap()
        identity = ClaimIdentity(AccountId("a"), ServiceName(BOOKING_SERVICE), text)
        claim_id, digest = str(uuid.uuid4()), f"{number:064x}"
        began = local.begin(identity, key, digest, True, claim_id, now)
        assert isinstance(began, Append)
        raw_records.append(_write(began.record))
        local.apply(read_entry(len(raw_records) - 1, json.loads(raw_records[-1])), now)
        local.start_sending(began.claim)
        answer = make_answer(200, "application/json", BOOKING_BODY, CLAIM_POLICY)
        record = local.complete(began.claim, answer, str(uuid.uuid4()), now)
        raw_records.append(_write(record))
        local.apply(read_entry(len(raw_records) - 1, json.loads(raw_records[-1])), now)
    return tuple(raw_records)


def measure_other_claims_us(count: int) -> float:
    """Return the processor time in us of reading and applying another host's claims."""
    raw_records = make_claim_log(count)
    local = LocalClaims(ClaimLedger(0), OWN_WRITER, CLAIM_POLICY, lambda *_: False)
    now = SystemClock().now()
    started_s = time.process_time()
    for offset, text in enumerate(raw_records):
        local.apply(read_entry(offset, json.loads(text)), now)
    return 1e6 * (time.process_time() - started_s)


def measure_claim_memory_bytes(count: int) -> float:
    """Return the memory in bytes of a ledger of completed claims."""
    raw_records = make_claim_log(count)
    gc.collect()
    tracemalloc.start()
    try:
        ledger = ClaimLedger(0)
        for offset, text in enumerate(raw_records):
            ledger.apply(read_entry(offset, json.loads(text)))
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()


def count_claim_bytes(count: int) -> float:
    """Return the bytes of claims and outcomes in the JSON of log pages."""
    entries = enumerate(make_claim_log(count))
    return float(sum(len(f'{{"offset":{n},"record":{t}}},') for n, t in entries))


def measure_upstream_choice_us(count: int) -> float:
    """Return the processor time in us of one choice among `count` candidates."""
    location = (DataCentre("dc"), Zone("zone"))
    views = [
        UpstreamView(
            upstream=UpstreamId(f"engine-{number}"),
            service=SERVICE,
            version=VersionName("v1"),
            address="",
            data_centre=location[0],
            zone=location[1],
            prefill_tokens_per_s=20_000.0,
            decode_tokens_per_s=500.0,
            batch_limit=16,
        )
        for number in range(count)
    ]
    policy, index = (
        RoutingPolicy(data_centre=location[0], zone=location[1]),
        PrefixIndex(),
    )
    rng, now = random.Random(1), Instant(0, 0)
    started_s = time.process_time()
    for number in range(CHOICE_COUNT):
        request = RouteRequest(
            service=SERVICE,
            route=RouteName("care-plan"),
            prefix_blocks=tuple(range(number, number + 16)),
            prompt_tokens=1_000,
            max_output_tokens=100,
            account=AccountId("a"),
            fingerprint=str(number),
        )
        choose_upstream(request, views, index, policy, now, rng).unwrap()
    return 1e6 * (time.process_time() - started_s) / CHOICE_COUNT


def measure_admission_us(count: int) -> float:
    """Return the processor time in us of admitting and finishing requests."""
    controller = AdmissionController(64, 1e6, AdmissionPolicy())
    accounts = [AccountId(f"a{number}") for number in range(5)]
    limits = [
        AccountLimit(account=name, tokens_per_s=1e9, requests_per_s=1e9)
        for name in accounts
    ]
    controller.set_shares(limits, Instant(0, 0))
    started_s = time.process_time()
    for number in range(count):
        now = Instant(number, number)
        request = AdmissionRequest(
            account=accounts[number % 5],
            priority_class=PriorityClass.STANDARD,
            tokens=800,
            deadline=now.plus_ms(10_000),
        )
        controller.finish(controller.admit(request, now).unwrap(), 800, now)
    return 1e6 * (time.process_time() - started_s)


def make_evidence(pairs: int) -> EvidenceRecorder:
    """Return a recorder with 200 requests for each pair of version and route."""
    _, rollout = make_document()
    key = EvidenceKey(
        ServiceName(MODEL_SERVICE), 1, OWN_WRITER.host_id, OWN_WRITER.incarnation
    )
    recorder, rng = EvidenceRecorder(key, rollout), random.Random(1)
    for number in range(200 * pairs):
        route, version = divmod(number % pairs, 2)
        recorder.record(
            (rollout.from_version, rollout.to_version)[version],
            RouteName(f"route-{route}"),
            ResponseQuality.COMPLETE,
            rng.lognormvariate(5, 0.5),
            Instant(rollout.start_ms, 0),
        )
    return recorder


def measure_evidence_coding_us(pairs: int) -> float:
    """Return the processor time in us of encoding and decoding one origin's counts."""
    evidence = make_evidence(pairs).snapshot()
    started_s = time.process_time()
    for _ in range(50):
        decode_evidence(encode_evidence(evidence)).unwrap()
    return 1e6 * (time.process_time() - started_s) / 50


def count_evidence_bytes(pairs: int) -> float:
    """Return the size in bytes of one origin's encoded evidence."""
    return float(len(encode_evidence(make_evidence(pairs).snapshot())))


def make_key() -> str:
    """Return a UUIDv7 of the present time.

    `uuid6.uuid7` isn't used: if it is called often, it advances its time by 1 ms at
    each call, so that its keys soon lie in the future.
    """
    time_bits = int(time.time() * 1000) << 80
    random_bits = random.getrandbits(74)
    low = (random_bits >> 62) << 64 | 0b10 << 62 | random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=time_bits | 7 << 76 | low))


def _write(record: Record) -> str:
    return json.dumps(write_record(record), separators=(",", ":"))
