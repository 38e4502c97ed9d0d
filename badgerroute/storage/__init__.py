"""The key-value store and what is kept there."""
