"""Wire messages. The only place where the names used on the wire appear."""
