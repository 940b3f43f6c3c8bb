"""Sequential comparison of two failure rates.

The null hypothesis is that in every stratum the rate of the new version is at most the
rate of the old version plus a margin; the rates themselves may differ from stratum to
stratum. A stratum is a window of time, or several with the same share: within it both
versions see the same mixture of times, and the bound below is exact if the rates are
constant there. For a window j the statistic is

    E_j = Q(new counts from j on) * Q(old counts from j on)
          / product over strata s from j on of max over the null of the likelihood in s

where Q is the Krichevsky-Trofimov mixture, a probability of the sequence of outcomes
that uses earlier outcomes only. Under the null the denominator is at least the true
likelihood, so E_j is at most a nonnegative martingale that starts at 1, and so is the
weighted mean over all starts j. By Ville's inequality the probability that the mean
ever reaches 1/a is at most a, however often and in whatever order the counts are looked
at.

Notes
-----
Wasserman, Ramdas, Balakrishnan: Universal inference (2020), section 8; Krichevsky,
Trofimov: The performance of universal encoding (1981). The start j follows the
detection of a change; the mean over starts is a mixture of martingales.
"""

import functools
import math
from collections.abc import Sequence

import attrs

# A fault that shows from the beginning is the most frequent kind; the other starts
# share the rest of the weight.
FIRST_START_WEIGHT = 0.5
LOG_PI = math.log(math.pi)
BISECTIONS = 50  # reduces the interval to below the resolution of a float


@attrs.frozen
class Stratum:
    """Counts of one window: hits among trials for the new and the old version."""

    new_hits: int
    new_trials: int
    old_hits: int
    old_trials: int

    def add(self, other: "Stratum") -> "Stratum":
        """Return the sums of two windows."""
        return Stratum(
            self.new_hits + other.new_hits,
            self.new_trials + other.new_trials,
            self.old_hits + other.old_hits,
            self.old_trials + other.old_trials,
        )


def compute_log_evidence(
    windows: Sequence[Stratum], margin: float, pooled: int
) -> float:
    """Return the logarithm of the weighted mean evidence against the null.

    Parameters
    ----------
    windows : sequence of Stratum
        Counts of every window of the rollout, in order of time. Each is a start.
    margin : float
        Probability by which the rate of the new version may exceed the old one.
    pooled : int
        Number of windows at the beginning with one constant share. They form one
        stratum, so that rare requests need not estimate the old rate in each window.

    Returns
    -------
    float
        Natural logarithm, in nats; ``-inf`` where nothing speaks against the null.
    """
    new_hits = new_trials = old_hits = old_trials = 0
    found: list[float] = []
    early = Stratum(0, 0, 0, 0)
    log_later = 0.0
    for index in range(len(windows) - 1, -1, -1):
        window = windows[index]
        if not (window.new_trials or window.old_trials):
            continue
        new_hits += window.new_hits
        new_trials += window.new_trials
        old_hits += window.old_hits
        old_trials += window.old_trials
        if index >= pooled:
            log_later += _maximize_null(window, margin)
        else:
            early = early.add(window)
        # A start whose observed rates agree with the null is left out, which only
        # lowers the mean.
        allowed = old_hits + margin * old_trials
        if new_hits * old_trials <= allowed * new_trials:
            continue
        weight = FIRST_START_WEIGHT
        if index > 0:
            weight = (1 - FIRST_START_WEIGHT) / (len(windows) - 1)
        log_mixture = _mix(new_hits, new_trials) + _mix(old_hits, old_trials)
        log_null = log_later + _maximize_null(early, margin)
        found.append(math.log(weight) + log_mixture - log_null)
    if not found:
        return -math.inf
    highest = max(found)
    return highest + math.log(sum(math.exp(value - highest) for value in found))


def _mix(hits: int, trials: int) -> float:
    """Return the log probability of a sequence under the mixture."""
    return (
        math.lgamma(hits + 0.5)
        + math.lgamma(trials - hits + 0.5)
        - math.lgamma(trials + 1)
        - LOG_PI
    )


@functools.lru_cache(maxsize=65536)
def _maximize_null(stratum: Stratum, margin: float) -> float:
    """Return the largest log likelihood of the counts that the null allows."""
    new_hits, new_trials = stratum.new_hits, stratum.new_trials
    old_hits, old_trials = stratum.old_hits, stratum.old_trials
    if new_hits * old_trials <= (old_hits + margin * old_trials) * new_trials:
        return _score(new_hits, new_trials) + _score(old_hits, old_trials)
    if margin == 0:
        return _score(new_hits + old_hits, new_trials + old_trials)
    low, high = 0.0, 1.0 - margin
    for _ in range(BISECTIONS):
        rate = (low + high) / 2
        slope = (
            _divide(new_hits, rate + margin)
            - _divide(new_trials - new_hits, 1 - rate - margin)
            + _divide(old_hits, rate)
            - _divide(old_trials - old_hits, 1 - rate)
        )
        if slope > 0:
            low = rate
        else:
            high = rate
    rate = (low + high) / 2
    return _score_at(new_hits, new_trials, rate + margin) + _score_at(
        old_hits, old_trials, rate
    )


def _score(hits: int, trials: int) -> float:
    return _score_at(hits, trials, hits / trials) if trials else 0.0


def _score_at(hits: int, trials: int, rate: float) -> float:
    score = 0.0
    if hits:
        score += hits * math.log(rate)
    if trials > hits:
        score += (trials - hits) * math.log1p(-min(rate, 1 - 1e-15))
    return score


def _divide(count: int, rate: float) -> float:
    if not count:
        return 0.0
    return count / rate if rate > 0 else math.inf
