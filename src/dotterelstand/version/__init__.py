"""The operators' document: its model, checks, cache and acceptance of edits."""
