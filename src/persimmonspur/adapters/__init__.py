"""Production implementations of the protocols in :mod:`persimmonspur.ports`."""
