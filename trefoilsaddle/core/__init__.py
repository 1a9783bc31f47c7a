"""Implement ownership, request service and membership without any I/O."""
