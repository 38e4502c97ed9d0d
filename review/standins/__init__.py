"""Stand-ins for the platform, its machines and its users, and the start of three controllers on loopback addresses."""
