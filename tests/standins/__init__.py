"""Stand-ins for the network, the key-value store, the cloud, the workers and the users, in virtual time."""
