"""Simple replacements for the external systems, for tests and `make run`."""
