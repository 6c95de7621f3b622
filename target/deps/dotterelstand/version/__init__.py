"""What lives as long as one version of the operators' document."""
