"""Parsing, validating, comparing, storing and distributing the configuration."""
