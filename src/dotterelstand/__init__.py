"""Load balancer for servers whose load changes within milliseconds."""
