"""Parsing, comparing, holding and publishing configuration."""
