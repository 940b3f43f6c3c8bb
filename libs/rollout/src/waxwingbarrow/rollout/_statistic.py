"""Anytime-valid sequential test of whether one failure rate exceeds another.

The null hypothesis is that in every stratum the rate of the new version is at most the
rate of the old version plus a margin; the rates themselves may differ between strata.
A stratum is a window of time, or several windows with the same share: within it the
requests of both versions are spread over time in the same way. The bound below is exact
if the rates are constant within each stratum. For a fault that starts in window j the
e-value is

    E_j = Q(new counts from j on) * Q(old counts from j on)
          / product over strata s from j on of max over the null of the likelihood in s

where Q is the Krichevsky-Trofimov mixture, which assigns a probability to the sequence
of outcomes and predicts each outcome from the earlier ones only. Under the null the
denominator is at least the true likelihood, so E_j is bounded by a nonnegative
martingale that starts at 1, and so is the weighted mean over all starts j. By Ville's
inequality the probability that the mean ever reaches 1/a is at most a, regardless of
how often and in which order the counts are examined.

Notes
-----
Wasserman, Ramdas, Balakrishnan: Universal inference (2020), section 8; Krichevsky,
Trofimov: The performance of universal encoding (1981). The starts j allow for a fault
that begins during the rollout, as in change detection; the mean over the starts is a
mixture of martingales.
"""

import functools
import math
from collections.abc import Sequence

import attrs

# Faults that show from the beginning are the most frequent, so the first start gets
# half of the weight; the later starts share the rest.
FIRST_START_WEIGHT = 0.5
LOG_PI = math.log(math.pi)
BISECTION_STEPS = 50  # narrows the interval to about the precision of a float


@attrs.frozen
class Stratum:
    """Hits among trials of the new and the old version in one or more windows."""

    new_hits: int
    new_trials: int
    old_hits: int
    old_trials: int

    def add(self, other: "Stratum") -> "Stratum":
        """Return the sum of both counts."""
        return Stratum(
            self.new_hits + other.new_hits,
            self.new_trials + other.new_trials,
            self.old_hits + other.old_hits,
            self.old_trials + other.old_trials,
        )


def compute_log_e_value(
    windows: Sequence[Stratum], margin: float, pooled_count: int
) -> float:
    """Return the logarithm of the e-value against the null hypothesis.

    The e-value is the weighted mean over all windows in which a fault may start.

    Parameters
    ----------
    windows : sequence of Stratum
        Counts of every window of the rollout, in order of time. A fault may start in
        any of them.
    margin : float
        Absolute amount by which the new version's failure rate may exceed the old one.
    pooled_count : int
        Number of windows at the beginning with the same share. They form one stratum,
        so that on a route with few requests the old rate is estimated over all of them
        and not per window.

    Returns
    -------
    float
        Natural logarithm; ``-inf`` if no start has a higher observed rate than the
        null allows.
    """
    new_hits = new_trials = old_hits = old_trials = 0
    log_terms: list[float] = []
    pooled_stratum = Stratum(0, 0, 0, 0)
    log_null_later = 0.0
    for index in range(len(windows) - 1, -1, -1):
        window = windows[index]
        if not (window.new_trials or window.old_trials):
            continue
        new_hits += window.new_hits
        new_trials += window.new_trials
        old_hits += window.old_hits
        old_trials += window.old_trials
        if index >= pooled_count:
            log_null_later += _max_null_log_likelihood(window, margin)
        else:
            pooled_stratum = pooled_stratum.add(window)
        # Skipping a start whose observed rates agree with the null only lowers the
        # mean, so the bound on false alarms still holds.
        allowed_hits = old_hits + margin * old_trials
        if new_hits * old_trials <= allowed_hits * new_trials:
            continue
        weight = FIRST_START_WEIGHT
        if index > 0:
            weight = (1 - FIRST_START_WEIGHT) / (len(windows) - 1)
        log_mixture = _log_mixture(new_hits, new_trials) + _log_mixture(
            old_hits, old_trials
        )
        log_null = log_null_later + _max_null_log_likelihood(pooled_stratum, margin)
        log_terms.append(math.log(weight) + log_mixture - log_null)
    if not log_terms:
        return -math.inf
    highest = max(log_terms)
    return highest + math.log(sum(math.exp(value - highest) for value in log_terms))


def _log_mixture(hits: int, trials: int) -> float:
    """Return the log probability of a sequence under the mixture Q."""
    return (
        math.lgamma(hits + 0.5)
        + math.lgamma(trials - hits + 0.5)
        - math.lgamma(trials + 1)
        - LOG_PI
    )


@functools.lru_cache(maxsize=65536)
def _max_null_log_likelihood(stratum: Stratum, margin: float) -> float:
    """Return the largest log likelihood of the counts under the null hypothesis."""
    new_hits, new_trials = stratum.new_hits, stratum.new_trials
    old_hits, old_trials = stratum.old_hits, stratum.old_trials
    if new_hits * old_trials <= (old_hits + margin * old_trials) * new_trials:
        return _max_log_likelihood(new_hits, new_trials) + _max_log_likelihood(
            old_hits, old_trials
        )
    if margin == 0:
        return _max_log_likelihood(new_hits + old_hits, new_trials + old_trials)
    low, high = 0.0, 1.0 - margin
    for _ in range(BISECTION_STEPS):
        rate = (low + high) / 2
        derivative = (
            _divide(new_hits, rate + margin)
            - _divide(new_trials - new_hits, 1 - rate - margin)
            + _divide(old_hits, rate)
            - _divide(old_trials - old_hits, 1 - rate)
        )
        if derivative > 0:
            low = rate
        else:
            high = rate
    rate = (low + high) / 2
    return _log_likelihood(new_hits, new_trials, rate + margin) + _log_likelihood(
        old_hits, old_trials, rate
    )


def _max_log_likelihood(hits: int, trials: int) -> float:
    return _log_likelihood(hits, trials, hits / trials) if trials else 0.0


def _log_likelihood(hits: int, trials: int, rate: float) -> float:
    log_likelihood = 0.0
    if hits:
        log_likelihood += hits * math.log(rate)
    if trials > hits:
        log_likelihood += (trials - hits) * math.log1p(-min(rate, 1 - 1e-15))
    return log_likelihood


def _divide(count: int, rate: float) -> float:
    if not count:
        return 0.0
    return count / rate if rate > 0 else math.inf
