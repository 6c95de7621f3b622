"""Benchmarks and randomised tests under faults."""
