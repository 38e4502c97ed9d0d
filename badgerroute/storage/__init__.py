"""The state service and what is kept there."""
