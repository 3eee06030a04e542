"""Check of a configuration document before it is written to the platform's store."""
