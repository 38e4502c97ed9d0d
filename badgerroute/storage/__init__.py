"""Clients of the key-value store and of the cloud, the form of the stored records, and the replica in memory.

Owns the names of all keys (`keys`; each begins with `b/`), the form of every stored value (`records`) and every request
to both services, with the rate and size limits these are kept to. Its state is the replica. Which package decides what
is written under a key is said there. May import `transport`, `protocol` and `settings`; nothing in here knows what the
controllers decide.
"""
