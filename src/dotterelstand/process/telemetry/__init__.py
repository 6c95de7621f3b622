"""Counters, latency histograms and invariant checks."""
