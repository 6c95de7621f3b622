"""Counters, histograms and broken invariants."""
