"""The other controllers: connections to them, what they said last, and handing shards to them.

Imports `ownership` and `shards`.
"""
