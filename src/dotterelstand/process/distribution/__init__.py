"""Distribution of accepted document versions from the store to the entry hosts."""
