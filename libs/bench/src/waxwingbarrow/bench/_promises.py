"""Runs all proofs and prints a table with one row for each.

A proof runs cases with faults against the system and counts those that break a promise.
Most proofs do the same with a naive design; its violations show that the cases are hard
enough to break the promise.
"""

import importlib
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import attrs

from waxwingbarrow.bench._results import PromiseResult

# More proofs with real processes at a time disturb each other's timing.
MAX_CONCURRENT_PROOFS = 3
SEED = 1


@attrs.frozen
class Proof:
    """A proof and how to run it.

    Parameters
    ----------
    promise : str
        Name of what must always hold; first column of the table.
    module, function : str
        Module of this package, and the function in it that runs the proof.
    arguments : tuple of int
        Arguments of the function, such as the seed.
    """

    promise: str
    module: str
    function: str
    arguments: tuple[int, ...] = ()


@attrs.frozen
class ProofRun:
    """Result and duration of one proof."""

    proof: Proof
    result: PromiseResult
    duration_s: float

    @property
    def naive_violations(self) -> int:
        """Cases in which the naive design broke the promise or refused falsely."""
        return self.result.naive_violations + self.result.naive_false_refusals


PROOFS = (
    Proof("at most once, schedules", "_at_most_once", "run_at_most_once", (10_000, 1)),
    Proof("at most once, processes", "_booking_proof", "run_booking_proof", (SEED,)),
    Proof("whole and own answers", "_answer_proof", "run_answer_proof", (SEED,)),
    Proof("not run is true", "_refusal_proof", "run_refusal_proof"),
    Proof("configuration", "_configuration_proof", "run_configuration_proof"),
    Proof(
        "shutdown, reclaim, leaving", "_shutdown_proof", "run_shutdown_proof", (SEED,)
    ),
    Proof("bad and good versions", "_version_proof", "run_version_proof", (SEED,)),
    Proof("crashing requests", "_crash_proof", "run_crash_proof", (SEED,)),
    Proof("leases and fencing", "_lease_proof", "run_leases", (400, SEED)),
    Proof("membership", "_membership_proof", "run_membership", (SEED,)),
)


def run_proof(proof: Proof) -> ProofRun:
    """Run one proof in this process."""
    module = importlib.import_module(f"waxwingbarrow.bench.{proof.module}")
    started_s = time.monotonic()
    result = getattr(module, proof.function)(*proof.arguments)
    return ProofRun(proof, result, time.monotonic() - started_s)


def run_proofs(proofs: Sequence[Proof]) -> list[ProofRun]:
    """Run the proofs in worker processes, `MAX_CONCURRENT_PROOFS` at a time."""
    with ProcessPoolExecutor(MAX_CONCURRENT_PROOFS, get_context("spawn")) as pool:
        return list(pool.map(run_proof, proofs))


def format_table(runs: Sequence[ProofRun]) -> str:
    """Return a table of the results as text."""
    lines = [f"{'promise':32} {'cases':>7} {'naive':>7} {'ours':>5} {'s':>6}"]
    lines += [
        f"{run.proof.promise:32} {run.result.cases:7} "
        f"{run.naive_violations:7} {run.result.violations:5} {run.duration_s:6.1f}"
        for run in runs
    ]
    return "\n".join(lines)


def main() -> None:
    """Run all proofs; exit with 1 if one found a violation."""
    runs = run_proofs(PROOFS)
    print(format_table(runs))
    failed = [run for run in runs if run.result.violations]
    for run in failed:
        print(f"violated: {run.proof.promise}: {dict(run.result.events)}")
    print(f"{len(runs) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)
