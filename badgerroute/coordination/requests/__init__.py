"""What users, workers and other shards ask for, and who answers it.

Imports every other coordination package.
"""
