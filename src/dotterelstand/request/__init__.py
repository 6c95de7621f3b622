"""Handling of a single request: parsing, attempts, retries, hedging and the response."""
