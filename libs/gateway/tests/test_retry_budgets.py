"""Guards against more retries than the budget allows all hosts together."""

from waxwingbarrow.core import Instant, ServiceName
from waxwingbarrow.gateway.base._settings import Bounds
from waxwingbarrow.gateway.requests._retry_budgets import RetryBudgets

SERVICE = ServiceName("desk")
NOW = Instant(0, 0)
BOUNDS = Bounds(budget_ratio=0.2, budget_window_s=10, budget_slack=52.0)


def count_retries(budgets, now=NOW):
    count = 0
    while budgets.try_spend(SERVICE, now):
        count += 1
    return count


def test_hosts_divide_the_retry_budget_once_they_know_each_other():
    # A host that knew no others at its start kept the retries of all hosts for good.
    budgets = [RetryBudgets(BOUNDS) for _ in range(6)]
    for budget in budgets:
        budget.set_host_count(1)
        budget.record_request(SERVICE, NOW)
    for budget in budgets:
        budget.set_host_count(6)
    assert sum(count_retries(budget) for budget in budgets) <= BOUNDS.budget_slack


def test_the_retry_budget_grows_with_the_requests():
    budgets = RetryBudgets(BOUNDS)
    budgets.set_host_count(6)
    few = count_retries(budgets)
    later = NOW.plus_ms(20_000)
    for second in range(10):
        for _ in range(50):
            budgets.record_request(SERVICE, later.plus_ms(1_000 * second))
    retries = count_retries(budgets, later.plus_ms(9_000))
    assert few < retries <= 0.2 * 500
