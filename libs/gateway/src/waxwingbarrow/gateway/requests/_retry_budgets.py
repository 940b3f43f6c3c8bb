"""One host's part of the retry budgets that all hosts share."""

from waxwingbarrow.core import Instant, ServiceName
from waxwingbarrow.gateway.base import Bounds
from waxwingbarrow.routing import HedgeRefusal, RetryBudget

# Fraction of the allowed retries that the hosts use. The rest is a margin, because they
# do not know each other's retries.
BUDGET_FRACTION = 0.7


class RetryBudgets:
    """Retry budgets of the services.

    Parameters
    ----------
    bounds : Bounds
        Budget of all hosts together: `budget_ratio` retries per request in a window of
        `budget_window_s` seconds, but at least `budget_slack` retries.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._min_retries = 1

    def set_host_count(self, host_count: int) -> None:
        """Divide the minimum number of retries among the hosts.

        The minimum is allowed even without traffic; each host gets at least one retry.
        """
        slack = self._bounds.budget_slack * BUDGET_FRACTION / max(host_count, 1)
        self._min_retries = max(int(slack), 1)
        for budget in self._budgets.values():
            budget.set_min_retries(self._min_retries)

    def record_request(self, service: ServiceName, now: Instant) -> None:
        """Count a first attempt."""
        self._find(service).record_request(now)

    def try_spend(self, service: ServiceName, now: Instant) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        return self._find(service).try_spend(now)

    def try_spend_hedge(
        self, service: ServiceName, extra_share: float, now: Instant
    ) -> HedgeRefusal | None:
        """Count a hedge if one may be sent, otherwise return why not."""
        return self._find(service).try_spend_hedge(extra_share, now)

    def _find(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                retry_ratio=self._bounds.budget_ratio * BUDGET_FRACTION,
                window_s=self._bounds.budget_window_s,
                min_retries=self._min_retries,
            )
        return budget
