"""The daemon, which connects the core to sockets, timers and the object API."""
