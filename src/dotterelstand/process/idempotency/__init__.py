"""Journal for at-most-once execution of requests with an idempotency key."""
