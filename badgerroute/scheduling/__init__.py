"""The pure core: what to start, stop and wish for. No sockets, no clock of its own."""
