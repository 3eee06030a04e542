"""Decision logic without I/O: events and a time in, actions out."""
