"""Implement HTTP/1.1 for callers, servers and the store, with h11 and trio.

h11 parses and serializes messages; this package manages the connections.  See
docs/design/platform.md for why hypercorn and httpcore are not used here.
"""
