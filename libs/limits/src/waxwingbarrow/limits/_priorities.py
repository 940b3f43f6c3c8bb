"""Recent demand of the priority classes and their accounts, and fair shares of it."""

import attrs

from waxwingbarrow.core import AccountId, Instant
from waxwingbarrow.limits._demand import DemandMeter

# Engine time counted for a request whose prompt is cached.
MIN_WORK_MS = 5.0
# Weight of one request in the measured size of the largest tenth, and the part of the
# requests that is smaller.
LARGE_WEIGHT, LARGE_QUANTILE = 0.1, 0.9
# Time for which the shares of the accounts are not computed again.
SHARE_REFRESH_MS = 50
# Demand in ms per second below which an account is forgotten.
MIN_DEMAND_PER_S = 1e-3


@attrs.define
class AccountDemand:
    """Engine time that an account asks for and gets, in ms per second.

    Parameters
    ----------
    last_due_ms : int
        Monotonic time of the last promise made to the account.
    """

    demand: DemandMeter
    served: DemandMeter
    last_due_ms: int = 0


class PriorityClass:
    """Recent demand of one priority.

    Parameters
    ----------
    window_s : float
        Time constant of the measured demand; see `DemandMeter`.

    Attributes
    ----------
    large_ms : float
        Engine time that a tenth of its requests exceeds.
    accounts : dict
        Accounts with recent demand.
    share_per_s : float
        Engine time per second that each account may get.

    Examples
    --------
    >>> now, interactive = Instant(0, 0), PriorityClass(1.0)
    >>> small = interactive.find_account(AccountId("small"))
    >>> large = interactive.find_account(AccountId("large"))
    >>> small.demand.add(100.0, now)
    >>> large.demand.add(600.0, now)
    >>> large.served.add(400.0, now)
    >>> interactive.served.add(400.0, now)
    >>> interactive.update_share(now, 0)
    >>> interactive.share_per_s
    300.0
    >>> interactive.is_over_share(small, 1.0, now)
    False
    >>> interactive.is_over_share(large, 1.0, now)
    True
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # Objective in ms, and the monotonic time of its last request.
        self._objectives: dict[float, int] = {}
        self._share_ms: int | None = None
        self.served = DemandMeter(window_s)
        self.large_ms = MIN_WORK_MS
        self.accounts: dict[AccountId, AccountDemand] = {}
        self.share_per_s = float("inf")

    def note(self, objective_ms: float, work_ms: float, now: Instant) -> None:
        """Record the objective and the size of a request."""
        self._objectives[objective_ms] = now.mono_ms
        is_larger = work_ms > self.large_ms
        self.large_ms *= 1 + LARGE_WEIGHT * (is_larger - (1 - LARGE_QUANTILE))

    def find_objective_ms(self, oldest_ms: int) -> float | None:
        """Return the shortest objective of its requests since a time, if any."""
        return min(
            (item for item, at_ms in self._objectives.items() if at_ms >= oldest_ms),
            default=None,
        )

    def find_account(self, name: AccountId) -> AccountDemand:
        """Return the demand of an account."""
        account = self.accounts.get(name)
        if account is None:
            account = AccountDemand(
                DemandMeter(self._window_s), DemandMeter(self._window_s)
            )
            self.accounts[name] = account
        return account

    def is_over_share(
        self, account: AccountDemand, fraction: float, now: Instant
    ) -> bool:
        """Return whether an account asks for more than its share and gets most of it.

        Parameters
        ----------
        fraction : float
            Fraction of its share from which on it is over it.
        """
        return (
            account.demand.measure_per_s(now) > self.share_per_s
            and account.served.measure_per_s(now) > fraction * self.share_per_s
        )

    def update_share(self, now: Instant, oldest_ms: int) -> None:
        """Divide what the class is served among its accounts, up to their demands.

        Parameters
        ----------
        oldest_ms : int
            Objectives without requests since this time are forgotten.
        """
        last_ms = self._share_ms
        if last_ms is not None and now.mono_ms - last_ms < SHARE_REFRESH_MS:
            return
        self._share_ms = now.mono_ms
        demands = {
            name: account.demand.measure_per_s(now)
            for name, account in self.accounts.items()
        }
        for name, demand_per_s in demands.items():
            if demand_per_s < MIN_DEMAND_PER_S:
                del self.accounts[name]
        left_per_s = self.served.measure_per_s(now)
        asking = sorted(item for item in demands.values() if item >= MIN_DEMAND_PER_S)
        self.share_per_s = float("inf")
        # A single account takes nothing from others.
        for index, demand_per_s in enumerate(asking if len(asking) > 1 else ()):
            self.share_per_s = left_per_s / (len(asking) - index)
            if demand_per_s > self.share_per_s:
                break
            left_per_s -= demand_per_s
        for objective_ms, at_ms in list(self._objectives.items()):
            if at_ms < oldest_ms:
                del self._objectives[objective_ms]
