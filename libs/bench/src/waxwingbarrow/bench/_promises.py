"""All proofs, a row for each."""

import importlib
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import attrs

from waxwingbarrow.bench._results import PromiseResult

WORKERS = 3  # proofs with real processes disturb each other's timing beyond this
SEED = 1


@attrs.frozen
class Proof:
    """A proof and how to run it.

    Parameters
    ----------
    promise : str
        What must always hold.
    module, function : str
        Where the proof is.
    arguments : tuple of int
        What it is called with.
    """

    promise: str
    module: str
    function: str
    arguments: tuple[int, ...] = ()


@attrs.frozen
class Row:
    """Result of one proof."""

    proof: Proof
    result: PromiseResult
    seconds: float

    @property
    def naive_violations(self) -> int:
        """Cases in which the naive version broke the promise in either way."""
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


def run_proof(proof: Proof) -> Row:
    """Run one proof."""
    module = importlib.import_module(f"waxwingbarrow.bench.{proof.module}")
    started = time.monotonic()
    result = getattr(module, proof.function)(*proof.arguments)
    return Row(proof, result, time.monotonic() - started)


def run_all(proofs: Sequence[Proof]) -> list[Row]:
    """Run the proofs, a few at a time, in processes of their own."""
    with ProcessPoolExecutor(WORKERS, get_context("spawn")) as pool:
        return list(pool.map(run_proof, proofs))


def write_table(rows: Sequence[Row]) -> str:
    """Return the rows as text."""
    lines = [f"{'promise':32} {'cases':>7} {'naive':>7} {'ours':>5} {'s':>6}"]
    lines += [
        f"{row.proof.promise:32} {row.result.cases:7} "
        f"{row.naive_violations:7} {row.result.violations:5} {row.seconds:6.1f}"
        for row in rows
    ]
    return "\n".join(lines)


def main() -> None:
    """Run all proofs; exit with 1 if one found a violation."""
    rows = run_all(PROOFS)
    print(write_table(rows))
    failed = [row for row in rows if row.result.violations]
    for row in failed:
        print(f"violated: {row.proof.promise}: {dict(row.result.events)}")
    print(f"{len(rows) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)
