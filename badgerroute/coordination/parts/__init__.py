"""One owned part at work: takeover, fencing, members, reports, migration, loans, shares and progress.

Owns what is in memory for a part. Imports `jobs`, `ownership` and `quotas`.
"""
