"""Open-loop load generation, experiment cases and reports."""
