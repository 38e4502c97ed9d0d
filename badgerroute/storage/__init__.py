"""Clients of the key-value store and of the cloud, the format of the stored records, and the in-memory replica.

Owns the names of all keys (`keys`; each begins with `b/`), the format of every stored value (`records`) and all
requests to both services, including the rate and size limits that apply to them. The only state is the replica. The
packages that write a key document what they write. May import `transport`, `protocol` and `settings`; knows nothing of
the controllers' decisions.
"""
