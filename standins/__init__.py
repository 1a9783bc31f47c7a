"""Stand in for the outside systems, in tests and in `make run`."""
