"""Quotas of workspaces, enforced on all entry hosts together."""
