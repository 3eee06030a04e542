"""Slope measurements behind docs/CAPACITY.md."""
