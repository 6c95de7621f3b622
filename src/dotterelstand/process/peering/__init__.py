"""Links between entry hosts, and their membership."""
