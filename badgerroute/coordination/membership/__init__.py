"""The other controllers: connections to them, what they said last, and handing parts to them.

Imports `ownership` and `parts`.
"""
