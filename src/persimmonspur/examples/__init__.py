"""Example deployments as operators' files."""
