"""Admission control, concurrency limits, warm-up and draining of a single endpoint."""
