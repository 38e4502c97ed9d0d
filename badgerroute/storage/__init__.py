"""Clients of the key-value store and of the cloud, the format of the stored records, and the in-memory replica.

Owns the names of all keys (`keys`; each begins with `b/`), the format of every stored value (`records`) and all
requests to both services, including the rate and size limits that apply to them. The package's only state is the
replica, a copy of the stored keys and values in memory. When and why a key is written is documented in the package that
writes it. May import only `transport`, `protocol` and `settings`, and takes no part in the controllers' decisions.
"""
