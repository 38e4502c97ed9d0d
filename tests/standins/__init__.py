"""Stand-ins for the network, the state service, the cloud, the workers and the users, in virtual time."""
