"""Simulated network, key-value store, cloud, workers and users, against which tests run the real controllers."""
