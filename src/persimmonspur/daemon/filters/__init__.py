"""Filters that a caller's request passes in order."""
