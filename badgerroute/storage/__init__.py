"""Clients of the key-value store and of the cloud, the form of the stored records, and the replica in memory.

Owns every key, every stored value and every request to both services, with the rate and size limits these are kept to.
May import `transport`, `protocol` and `settings`; nothing in here knows what the controllers decide.
"""
