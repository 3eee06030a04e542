"""The entry daemon: HTTP servers and clients, timers and store watches of an instance."""
