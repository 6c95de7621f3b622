"""Links between entry hosts and who of them lives."""
