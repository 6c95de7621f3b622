"""A short fixed set of the randomised proof, and the mutations that it must catch."""

import pytest

from dotterelstand.bench.at_most_once import run_seed
from dotterelstand.bench.mutations import MUTATIONS

# Smallest seed that catches each mutation with 600 requests.
CAUGHT_BY = {
    "go_before_write": 1,
    "go_after_failed_write": 3,
    "unconditional_update": 1,
    "lost_answer_is_success": 7,
    "lost_answer_is_failure": 1,
    "epoch_ignored": 1,
    "claim_ignored": 1,
    "unknown_frees_key": 3,
    "segments_skipped": 5,
    "segment_after_head": 5,
}


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 6, 7])
def test_no_key_runs_twice(seed: int) -> None:
    """Guards against double runs, "not run" that ran, and hosts that do not recover in 3 s."""
    report = run_seed(seed, 600)
    assert report.violations == []
    assert report.keys_run > 100


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_the_proof_catches(mutation: str) -> None:
    """Guards against checks that cannot fail."""
    assert run_seed(CAUGHT_BY[mutation], 600, mutation).violations != []
