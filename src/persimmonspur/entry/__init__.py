"""The entry daemon: sockets, timers and watches around the direct path."""
