"""Data types and messages shared by all parts of the system."""
