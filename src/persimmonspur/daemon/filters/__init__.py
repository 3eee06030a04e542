"""Filters that process a caller's query in order."""
