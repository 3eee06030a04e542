"""Admission, coordination, snapshots and coverage of queries."""
