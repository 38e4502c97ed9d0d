"""Jobs as the key-value store holds them: reading, writing, paging, cancelling and chaining them.

Owns the records under `jobs` and `past`. Imports nothing of the other coordination packages.
"""
