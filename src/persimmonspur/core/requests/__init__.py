"""Admission and coordination of queries, snapshot selection and coverage."""
