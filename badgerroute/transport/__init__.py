"""Tasks, clocks, streams, HTTP and mesh framing. Nothing here knows what a job is."""
