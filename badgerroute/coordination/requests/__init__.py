"""What users, workers and other parts ask for, and who answers it.

Imports every other coordination package.
"""
