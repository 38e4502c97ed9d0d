"""Measurement tools and the build step. The service itself imports none of them."""
