"""Guards against hosts that together exceed a limit, or refuse what it allows.

Runs the quotas of several hosts without a network, with reports in steps of time.
"""

import pytest

from waxwingbarrow.core import AccountId, HostId, Instant
from waxwingbarrow.gateway.admission._quotas import Quotas
from waxwingbarrow.gateway.base._model import Account

NAME = AccountId("large")
RATE_PER_S = 1_000.0
TICK_MS = 250


def make_account(rate_per_s=RATE_PER_S):
    return Account(
        name=NAME,
        keys=("k",),
        counts_tokens=True,
        rate_per_s=rate_per_s,
        burst=rate_per_s,
    )


class Hosts:
    """Hosts that report to each other what they charged, once in each tick."""

    def __init__(self, count, tolerance=600.0):
        self.now = Instant(0, 0)
        self.count = count
        self.tolerance = tolerance
        self.admitted = []
        self.hosts = [self.make() for _ in range(count)]

    def make(self, is_first_start=True):
        quotas = Quotas(self.tolerance, self.now.wall_ms, is_first_start)
        quotas.set_accounts([make_account()], self.count, self.now)
        return [quotas, self.now.wall_ms]

    def restart(self, index):
        self.hosts[index] = self.make(is_first_start=False)

    def tick(self, reachable=True):
        self.now = self.now.plus_ms(TICK_MS)
        for index, (sender, started_ms) in enumerate(self.hosts):
            host = HostId(f"h{index}")
            for receiver, _ in self.hosts:
                if receiver is sender or not reachable:
                    continue
                for name, demand in sender.list_demands(self.now):
                    receiver.note_peer_demand(name, host, demand, self.now)
                for name, taken in sender.list_charges():
                    origin = (host, started_ms)
                    receiver.note_peer_charges(AccountId(name), origin, taken, self.now)
        for quotas, _ in self.hosts:
            quotas.update_shares(self.count, self.now)

    def ask(self, index, cost):
        taken = self.hosts[index][0].try_take(make_account(), cost, self.now)
        if taken.is_ok():
            self.admitted.append((self.now.mono_ms, cost))
        return taken.is_ok()

    def max_in_window(self, window_ms=8_000):
        """Return the most tokens that were admitted within any window."""
        return max(
            sum(cost for at, cost in self.admitted if start <= at < start + window_ms)
            for start, _ in self.admitted
        )


# Tokens that may be admitted within 8 s: the limit, a tenth of it and a fixed slack.
ALLOWED_TOKENS = (RATE_PER_S * 8 + RATE_PER_S) * 1.1 + 1_000


def test_a_large_request_within_the_limit_is_admitted_wherever_it_arrives():
    hosts = Hosts(6)
    for index in range(6):
        assert hosts.ask(index, 0.3 * RATE_PER_S) or index > 2
    hosts.tick()
    for _ in range(8):
        hosts.tick()
    assert hosts.ask(5, 0.9 * RATE_PER_S)


def test_a_steady_demand_below_the_limit_is_never_refused():
    hosts = Hosts(6)
    for step in range(200):
        hosts.tick()
        assert hosts.ask(step % 6, 0.8 * RATE_PER_S * TICK_MS / 1000)


@pytest.mark.parametrize("reachable", [True, False])
def test_a_flood_at_all_hosts_stays_under_the_limit(reachable):
    hosts = Hosts(6)
    for _ in range(80):
        hosts.tick(reachable)
        for index in range(6):
            for _ in range(10):
                hosts.ask(index, 50)
    assert hosts.max_in_window() <= ALLOWED_TOKENS


def test_a_flood_while_all_hosts_restart_stays_under_the_limit():
    # After a restart no host knows what was admitted before it.
    hosts = Hosts(6)
    for step in range(80):
        hosts.tick()
        if step == 40:
            for index in range(6):
                hosts.restart(index)
        for index in range(6):
            for _ in range(10):
                hosts.ask(index, 50)
    assert hosts.max_in_window() <= ALLOWED_TOKENS


def test_a_changed_limit_includes_what_was_charged_before():
    # A new bucket that starts full would admit the whole burst again.
    hosts = Hosts(1)
    while hosts.ask(0, 100):
        pass
    quotas = hosts.hosts[0][0]
    quotas.set_accounts([make_account(RATE_PER_S * 0.9)], 1, hosts.now)
    assert not hosts.ask(0, 100)


def test_a_flood_at_hosts_with_only_totals_stays_under_the_limit_in_a_partition():
    # A large account floods while a third of the hosts is cut off and totals arrive a
    # second late.
    count, partitioned_count, tick_ms = 30, 10, 250
    now = Instant(0, 0)
    hosts = []
    for _ in range(count):
        quotas = Quotas(600.0, 0, True)
        quotas.set_accounts([make_account()], count, now)
        hosts.append(quotas)
    admitted = []
    history = []
    for step in range(80):
        now = now.plus_ms(tick_ms)
        demands = [dict(q.list_demands(now)).get(NAME, 0.0) for q in hosts]
        history.append(demands)
        delayed = history[max(step - 4, 0)]
        is_partitioned = 20 <= step < 60
        reachable = range(partitioned_count, count) if is_partitioned else range(count)
        for index, quotas in enumerate(hosts):
            if step % 2 == 0 and index in reachable:
                others = sum(delayed[i] for i in reachable if i != index)
                quotas.note_peer_totals(NAME, others, len(reachable), count, now)
            quotas.update_shares(count, now)
        for quotas in hosts:
            for _ in range(4 if step >= 16 else 0):
                if quotas.try_take(make_account(), 25, now).is_ok():
                    admitted.append((now.mono_ms, 25))
    most = max(
        sum(cost for at, cost in admitted if start <= at < start + 8_000)
        for start, _ in admitted
    )
    assert most <= ALLOWED_TOKENS
