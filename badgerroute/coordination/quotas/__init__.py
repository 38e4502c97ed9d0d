"""Quotas: the limits of teams, divided among the shards.

Owns the quota records in the key-value store. May import the transport, protocol, settings, storage and scheduling
packages, and no other package of `coordination`: what it needs of those is passed in, as protocols declared here.
"""
