"""Decide routing, key ownership, limits and recovery for a gateway.

Every gateway is an entry for callers; the one that the store elects is also the
controller of the key ranges. This package does no input or output:
`reducer.reduce` takes one event and returns the effects that the shell in
`trefoilsaddle.programs` performs. It is independent of any platform's names.
"""
