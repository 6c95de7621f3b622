"""A few seeds of the randomised at-most-once test, and the mutations that it must detect."""

import pytest

from dotterelstand.bench.at_most_once import run_seed
from dotterelstand.bench.mutations import MUTATIONS

# Smallest seed that detects each mutation with 600 requests.
SEED_BY_MUTATION = {
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
    """Guards against requests that run twice or despite a "not run" reply, and slow recovery."""
    report = run_seed(seed, 600)
    assert report.violations == []
    assert report.keys_run > 100


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_the_checks_detect_mutation(mutation: str) -> None:
    """Guards against checks that miss a deliberate fault in the journal."""
    assert run_seed(SEED_BY_MUTATION[mutation], 600, mutation).violations != []
