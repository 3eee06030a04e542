"""Stand-ins for the platform's store, searchers and clients, and a starter of entry processes."""
