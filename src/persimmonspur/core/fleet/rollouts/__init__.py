"""Moves the traffic of a service to a new version, and back if the version proves faulty."""
