"""Controllers, each of which keeps one part of the daemon's state up to date."""
