"""Production adapters of the ports."""
