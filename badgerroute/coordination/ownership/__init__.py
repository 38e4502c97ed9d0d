"""Who holds which part: leased claims and the right to act for a part.

Owns the keys under `parts` and `fleet`. Imports nothing of the other coordination packages.
"""
