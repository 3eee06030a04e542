"""Immutable data that every part of the system shares."""
