"""The daemon: a thin shell around the core."""
