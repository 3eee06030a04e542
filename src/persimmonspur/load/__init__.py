"""Open-loop load, experiment cases and reports."""
