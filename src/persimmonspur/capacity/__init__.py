"""Measurements and estimates of resource use for docs/CAPACITY.md."""
