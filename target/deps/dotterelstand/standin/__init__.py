"""Stand-ins for the platform and the targets, and the load tool."""
