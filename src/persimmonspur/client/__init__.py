"""Client library."""
