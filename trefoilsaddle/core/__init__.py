"""Decide ownership, service and membership without input or output."""
