"""Guards against two holders of the duties, and against differing usage reports."""

import asyncio

import pytest
from peer_network import StrictSupervisor
from result import Err, Ok

from waxwingbarrow.core import AccountId, HostId, Instant, ManualClock
from waxwingbarrow.gateway import (
    CloudRefused,
    CloudUnreachable,
    DutyAssignment,
    Fenced,
    HistoryGone,
    KeyedPage,
    KeyedRecord,
    Record,
    RecordPage,
    StoreUnreachable,
)
from waxwingbarrow.gateway.base._metrics import Metrics
from waxwingbarrow.gateway.duties import _duties
from waxwingbarrow.gateway.duties._duties import DutyRunner, Lease
from waxwingbarrow.gateway.duties._duty_tasks import UsageTask
from waxwingbarrow.gateway.requests._usage import UsageCounter

RETURN_WAIT_MS = 3_000
TTL_MS = 2_000


def at(ms):
    return Instant(1_000_000 + ms, ms)


class TestLease:
    def make_held_lease(self):
        lease = Lease(RETURN_WAIT_MS)
        for ms in range(0, 4_000, 600):
            lease.note_assignment(True, 7, at(ms))
        return lease

    def test_a_new_holder_waits_before_it_acts(self):
        lease = Lease(RETURN_WAIT_MS)
        lease.note_assignment(True, 7, at(0))
        assert lease.find_token(at(100)) is None
        for ms in range(600, 4_000, 600):
            lease.note_assignment(True, 7, at(ms))
        assert lease.find_token(at(3_700)) == 7

    def test_a_holder_that_was_frozen_does_not_act_when_it_wakes(self):
        lease = self.make_held_lease()
        assert lease.find_token(at(3_700)) == 7
        assert lease.find_token(at(3_600 + TTL_MS)) is None

    def test_an_expired_lease_starts_over_even_in_the_same_generation(self):
        lease = self.make_held_lease()
        lease.note_assignment(True, 7, at(9_000))
        assert lease.find_token(at(9_100)) is None

    def test_a_change_of_other_members_does_not_interrupt_the_holder(self):
        lease = self.make_held_lease()
        lease.note_assignment(True, 8, at(4_000))
        assert lease.find_token(at(4_100)) == 8

    def test_a_host_that_gets_the_lease_back_waits_again(self):
        lease = self.make_held_lease()
        lease.note_assignment(False, 8, at(4_000))
        lease.note_assignment(True, 9, at(4_900))
        assert lease.find_token(at(5_000)) is None

    def test_a_host_that_acted_before_waits_longer_than_a_new_one(self):
        returning, new = self.make_held_lease(), Lease(RETURN_WAIT_MS)
        returning.note_act(at(3_700))
        returning.note_assignment(False, 8, at(4_000))
        for ms in range(4_600, 8_000, 600):
            returning.note_assignment(True, 9, at(ms))
            new.note_assignment(True, 9, at(ms))
        assert new.find_token(at(6_400)) == 9
        assert returning.find_token(at(6_400)) is None
        assert returning.find_token(at(7_700)) == 9

    def test_a_new_holder_waits_until_the_previous_lease_has_expired(self):
        lease = Lease(RETURN_WAIT_MS)
        lease.note_assignment(True, 7, at(0))
        last_valid_ms = max(
            ms for ms in range(0, 4_000, 10) if ms < lease._valid_until_ms
        )
        assert last_valid_ms < lease._wait_ms

    def test_a_new_holder_of_a_slow_store_waits_for_the_previous_lease(self):
        # Guards against ONE without fencing: the store renewed the previous lease while
        # the new holder's first renewal, sent before, was on its way.
        previous, new = self.make_held_lease(), Lease(RETURN_WAIT_MS)
        previous.note_assignment(True, 7, at(4_250))
        new.note_assignment(True, 8, at(4_000), at(4_300))
        acted_together = []
        for ms in range(4_300, 9_000, 10):
            if ms % 600 == 0:
                new.note_assignment(True, 8, at(ms))
            if previous.find_token(at(ms)) and new.find_token(at(ms)):
                acted_together.append(ms)
        assert new.find_token(at(8_990)) == 8
        assert acted_together == []

    def test_a_host_that_left_does_not_act(self):
        lease = self.make_held_lease()
        lease.note_left()
        assert lease.find_token(at(3_700)) is None

    def test_a_host_does_not_act_when_another_host_has_the_lease(self):
        lease = self.make_held_lease()
        lease.note_assignment(False, 8, at(4_000))
        assert lease.find_token(at(4_100)) is None

    def test_a_host_does_not_act_with_a_refused_token(self):
        lease = self.make_held_lease()
        lease.note_refusal(7)
        assert lease.find_token(at(3_700)) is None

    def test_the_lease_time_runs_from_the_sending_of_a_renewal(self):
        lease = self.make_held_lease()
        # The answer to a renewal sent at 3.6 s arrives late. The time to live may have
        # begun at 3.6 s in the store.
        lease.note_assignment(True, 7, at(3_600))
        assert lease.find_token(at(5_300)) is None


def make_lease(wait_ms=0):
    """Return a lease with a shorter wait than its time to live requires."""
    lease = Lease(wait_ms)
    lease._wait_ms = wait_ms
    return lease


class FakeStore:
    def __init__(self):
        self.records = []
        # Records before this offset have expired.
        self.first_offset = 0
        self.epoch = 0
        self.lose_answers = 0
        self.era = 0
        self.starts = {}

    def restore(self, count):
        """Come back from a copy with the first `count` records."""
        self.era += 1
        del self.records[count:]

    async def fence(self, topic, epoch):
        self.epoch = max(self.epoch, epoch)
        return Ok(None)

    async def read_records(self, topic, offset):
        if not self.first_offset <= offset <= len(self.records):
            return Err(HistoryGone(self.first_offset))
        records = tuple(
            Record(number, value)
            for number, value in enumerate(self.records)
            if number >= offset
        )
        return Ok(RecordPage(records, len(self.records), self.era))

    async def read_newest(self, topic):
        records = tuple(KeyedRecord(0, *item) for item in self.starts.items())
        return Ok(KeyedPage(records, len(records), self.era))

    async def write_keyed(self, topic, key, value, epoch=None):
        self.starts[key] = value
        return Ok(0)

    async def append(self, topic, value, epoch):
        if epoch < self.epoch:
            return Err(Fenced())
        self.records.append(value)
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(StoreUnreachable("lost"))
        return Ok(len(self.records) - 1)


class FakeCloud:
    def __init__(self):
        self.reports = []
        self.failures = []

    async def report_usage(self, window, counts, token):
        if self.failures:
            failure = self.failures.pop(0)
            if isinstance(failure, CloudUnreachable):
                self.reports.append((window, counts))
            return Err(failure)
        self.reports.append((window, counts))
        return Ok(None)


ACCOUNT = AccountId("depot")
ORIGIN = (HostId("h2"), 1)


def make_task(store, cloud, lease=None, start_ms=0, delay_ms=0):
    counter = UsageCounter(window_s=5.0)
    lease = lease or make_lease()
    task = UsageTask(
        counter, store, cloud, lease, at(start_ms), 10.0, lambda now: delay_ms
    )
    return counter, task


async def test_a_report_whose_answer_was_lost_is_repeated_with_the_same_counts():
    store, cloud = FakeStore(), FakeCloud()
    counter, task = make_task(store, cloud)
    counter.count(ACCOUNT, at(100))
    cloud.failures = [CloudUnreachable("lost")]
    await task.step(7, at(9_000))
    # Counts of a host that was unreachable arrive in between.
    counter.update_from_peer(ORIGIN, counter.find_window(at(100)), ACCOUNT, 40)
    await task.step(7, at(10_000))
    first, second = cloud.reports[:2]
    assert first == second


async def test_a_record_whose_answer_was_lost_is_reported_as_recorded():
    store, cloud = FakeStore(), FakeCloud()
    counter, task = make_task(store, cloud)
    counter.count(ACCOUNT, at(100))
    store.lose_answers = 1
    await task.step(7, at(9_000))
    assert cloud.reports == []
    counter.update_from_peer(ORIGIN, counter.find_window(at(100)), ACCOUNT, 40)
    await task.step(7, at(10_000))
    assert cloud.reports[0][1] == {ACCOUNT: 1}


async def test_the_next_holder_reports_the_recorded_counts():
    store, cloud = FakeStore(), FakeCloud()
    counter, task = make_task(store, cloud)
    counter.count(ACCOUNT, at(100))
    cloud.failures = [CloudUnreachable("lost")]
    await task.step(7, at(9_000))
    _, later = make_task(store, cloud)
    await later.step(8, at(10_000))
    reports = [report for report in cloud.reports if report[0] == cloud.reports[0][0]]
    assert len(reports) == 2
    assert reports[0] == reports[1]


async def test_a_new_holder_with_relays_waits_for_the_counts_of_the_others():
    # While hosts were restarted in turn, a relay that had just become the holder
    # reported 26 of 1,046 requests, because it had no counts of other hosts yet.
    store, cloud = FakeStore(), FakeCloud()
    counter, task = make_task(store, cloud, delay_ms=3_000)
    counter.count(ACCOUNT, at(100))
    for ms in (9_000, 9_900, 10_800):
        await task.step(4, at(ms))
    assert cloud.reports == []
    counter.update_from_peer(ORIGIN, counter.find_window(at(100)), ACCOUNT, 40)
    await task.step(4, at(12_000))
    assert cloud.reports[0][1] == {ACCOUNT: 41}
    # With a new fencing token but no pause the holder does not wait again.
    await task.step(5, at(13_000))
    assert len(cloud.reports) == 2


async def test_a_new_holder_repeats_only_the_window_that_was_recorded_last():
    store, first, second = FakeStore(), FakeCloud(), FakeCloud()
    _, task = make_task(store, first)
    for ms in (9_000, 14_000, 19_000):
        await task.step(4, at(ms))
    _, other = make_task(store, second)
    await other.step(5, at(19_500))
    assert [window for window, _ in second.reports] == [first.reports[-1][0]]


async def test_a_new_holder_reports_when_earlier_records_have_expired():
    """A holder that asked for expired records never reported anything."""
    store, first, second = FakeStore(), FakeCloud(), FakeCloud()
    _, task = make_task(store, first)
    for ms in (9_000, 14_000, 19_000):
        await task.step(4, at(ms))
    store.first_offset = 2
    _, other = make_task(store, second)
    await other.step(5, at(24_000))
    assert [window for window, _ in second.reports][-1] > first.reports[-1][0]


async def test_window_whose_record_the_store_has_lost_is_reported_once():
    """The next holder reported a window again, with other counts, as it had no record.

    The store came back from a copy that lacked the record.
    """
    store, cloud = FakeStore(), FakeCloud()
    store.era = 1
    counter, task = make_task(store, cloud)
    other_counter, other = make_task(store, cloud)
    for ms in (4_000, 9_000, 14_000):
        counter.count(ACCOUNT, at(ms))
        await task.step(4, at(ms))
    reported = [window for window, _ in cloud.reports]
    store.restore(len(store.records) - 1)
    # This host never heard of the requests at the other one.
    for ms in (14_500, 19_500, 24_500):
        other_counter.count(ACCOUNT, at(ms))
        await other.step(5, at(ms))
    windows = [window for window, _ in cloud.reports[len(reported) :]]
    # The window before the lost one is repeated from its record.
    assert set(windows) & set(reported) <= {reported[-2]}
    assert cloud.reports[len(reported)] == cloud.reports[len(reported) - 2]
    assert max(windows) > max(reported)


async def test_holder_that_stays_records_again_what_the_store_has_lost():
    """A later holder reported a window again whose record only the first one knew."""
    store, first, second = FakeStore(), FakeCloud(), FakeCloud()
    store.era = 1
    counter, task = make_task(store, first)
    for ms in (4_000, 9_000, 14_000):
        counter.count(ACCOUNT, at(ms))
        await task.step(4, at(ms))
    recorded = list(store.records)
    store.restore(0)
    await task.step(5, at(14_900))
    assert store.records == recorded
    _, other = make_task(store, second)
    await other.step(6, at(15_500))
    assert second.reports == first.reports[-1:]


async def test_window_whose_record_has_expired_is_reported_once():
    """A window was reported again, as empty, after a time without a holder."""
    store, first, second = FakeStore(), FakeCloud(), FakeCloud()
    counter, task = make_task(store, first)
    counter.count(ACCOUNT, at(9_000))
    for ms in (9_000, 14_000):
        await task.step(4, at(ms))
    _, other = make_task(store, second)
    # The store keeps records for 20 s.
    store.first_offset = len(store.records)
    await other.step(5, at(34_500))
    reported = {window for window, _ in first.reports}
    assert second.reports
    assert not reported & {window for window, _ in second.reports}


@pytest.mark.parametrize(("away_ms", "is_reported"), [(2_500, True), (4_500, False)])
async def test_holder_that_was_the_only_one_reports_what_was_due_meanwhile(
    away_ms, is_reported
):
    """Guards against a missing report each time the store returns for a calm holder.

    After a longer absence another host may have reported the window.
    """
    store, cloud, lease = FakeStore(), FakeCloud(), Lease(RETURN_WAIT_MS, TTL_MS)
    store.era = 1
    _, task = make_task(store, cloud, lease)
    for ms in range(5_000, 12_600, 600):
        lease.note_assignment(True, 4, at(ms), at(ms))
        await task.step(4, at(ms))
    reported = {window for window, _ in cloud.reports}
    store.restore(0)
    back_ms = 12_200 + away_ms
    lease.note_assignment(True, 5, at(back_ms), at(back_ms))
    await task.step(5, at(back_ms + 1_800))
    due = task._counter.find_window(at(12_000)) - 1
    assert due not in reported
    assert (due in {window for window, _ in cloud.reports}) == is_reported


async def test_next_holder_of_an_era_reports_what_the_first_one_left():
    """Guards against windows that no holder reports after the store has returned."""
    store, first, second = FakeStore(), FakeCloud(), FakeCloud()
    store.era = 2
    _, task = make_task(store, first)
    _, other = make_task(store, second)
    await task.step(4, at(9_000))
    await other.step(5, at(24_000))
    windows = [window for window, _ in second.reports]
    assert len(windows) >= 2
    assert windows[-1] == other._counter.find_window(at(21_000)) - 1


async def test_a_fenced_host_reports_nothing():
    store, cloud = FakeStore(), FakeCloud()
    lease = make_lease()
    counter, task = make_task(store, cloud, lease)
    counter.count(ACCOUNT, at(100))
    await store.fence("usage", 8)
    await task.step(7, at(9_000))
    assert cloud.reports == []
    lease.note_assignment(True, 7, at(9_000))
    assert lease.find_token(at(9_100)) is None


async def test_a_host_whose_report_is_refused_stops_acting():
    store, cloud = FakeStore(), FakeCloud()
    lease = make_lease()
    counter, task = make_task(store, cloud, lease)
    counter.count(ACCOUNT, at(100))
    cloud.failures = [CloudRefused(409, True)]
    await task.step(7, at(9_000))
    lease.note_assignment(True, 7, at(9_000))
    assert lease.find_token(at(9_100)) is None


class FakeGroup(FakeStore):
    def __init__(self):
        super().__init__()
        self.held = True
        self.generation = 1
        self.renewals = 0
        self.leave_calls = 0

    async def leave_group(self, member):
        self.leave_calls += 1
        return Ok(None)

    async def renew_membership(self, member, ttl_ms, generation):
        self.renewals += 1
        return Ok(DutyAssignment(self.held, self.generation))


async def test_renewals_go_on_while_a_task_waits_for_an_answer(monkeypatch):
    # The lease would expire if a slow call of a task delayed the renewals.
    monkeypatch.setattr(_duties, "RENEW_INTERVAL_S", 0.01)
    monkeypatch.setattr(_duties, "ACT_INTERVAL_S", 0.01)
    store = FakeGroup()
    renewals = []

    class Task:
        async def step(self, token, now):
            before = store.renewals
            await asyncio.sleep(0.2)
            renewals.append(store.renewals - before)

    duty_runner = DutyRunner(
        "h",
        store,
        make_lease(),
        [Task()],
        ManualClock(),
        lambda: True,
        lambda token: None,
        StrictSupervisor(Metrics().unexpected_failures),
    )
    running = asyncio.create_task(duty_runner.run())
    while not renewals:
        await asyncio.sleep(0.01)
    running.cancel()
    assert renewals[0] > 3


async def test_a_host_that_is_no_longer_a_candidate_leaves_the_group(monkeypatch):
    monkeypatch.setattr(_duties, "RENEW_INTERVAL_S", 0.01)
    store = FakeGroup()
    is_candidate = [True]
    duty_runner = DutyRunner(
        "h",
        store,
        make_lease(),
        [],
        ManualClock(),
        lambda: is_candidate[0],
        lambda token: None,
        StrictSupervisor(Metrics().unexpected_failures),
    )
    running = asyncio.create_task(duty_runner.run())
    await asyncio.sleep(0.05)
    is_candidate[0] = False
    await asyncio.sleep(0.05)
    renewals = store.renewals
    await asyncio.sleep(0.05)
    running.cancel()
    assert store.leave_calls == 1
    assert store.renewals == renewals


async def test_a_stopping_host_does_not_join_the_group_again(monkeypatch):
    # The duties would go back to a host that is about to end.
    monkeypatch.setattr(_duties, "RENEW_INTERVAL_S", 0.01)
    store = FakeGroup()
    duty_runner = DutyRunner(
        "h",
        store,
        make_lease(),
        [],
        ManualClock(),
        lambda: True,
        lambda token: None,
        StrictSupervisor(Metrics().unexpected_failures),
    )
    running = asyncio.create_task(duty_runner.run())
    await asyncio.sleep(0.05)
    await duty_runner.stop()
    renewals = store.renewals
    await asyncio.sleep(0.05)
    running.cancel()
    assert (store.leave_calls, store.renewals) == (1, renewals)


async def test_the_holder_fences_before_it_acts_and_stops_when_it_loses_the_lease():
    clock = ManualClock(1_000_000, 0)
    store = FakeGroup()
    acted = []

    class Task:
        async def step(self, token, now):
            acted.append((token, store.epoch))

    tokens = []
    duty_runner = DutyRunner(
        "h",
        store,
        make_lease(500),
        [Task()],
        clock,
        lambda: True,
        tokens.append,
        StrictSupervisor(Metrics().unexpected_failures),
    )
    for _ in range(3):
        await duty_runner._renew()
        await duty_runner._act()
        clock.advance_ms(400)
    assert acted == [(1, 1)]
    store.held, store.generation = False, 2
    await duty_runner._renew()
    await duty_runner._act()
    assert acted == [(1, 1)]
    assert tokens == [1, 0]


@pytest.mark.parametrize("late", [False, True])
def test_counts_of_one_origin_only_grow(late):
    counter = UsageCounter(window_s=5.0)
    window = counter.find_window(at(0))
    counter.update_from_peer(ORIGIN, window, ACCOUNT, 5)
    counter.update_from_peer(ORIGIN, window, ACCOUNT, 3 if late else 7)
    assert counter.sum_window(window) == {ACCOUNT: 5 if late else 7}


def test_a_restarted_host_counts_as_another_origin():
    # Its counts begin at 0 again and would be ignored as lower than the known ones.
    counter = UsageCounter(window_s=5.0)
    window = counter.find_window(at(0))
    counter.update_from_peer((HostId("h2"), 1), window, ACCOUNT, 5)
    counter.update_from_peer((HostId("h2"), 2), window, ACCOUNT, 3)
    assert counter.sum_window(window) == {ACCOUNT: 8}
