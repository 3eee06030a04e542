"""Failure detection and hold-down of cell members."""
