"""Record the events of a process as JSON lines and read them back.

Keys and bodies are the callers' secrets and the reducer looks at neither
beyond comparing them.  Unless the settings say otherwise, each is recorded as
a keyed hash, so that a replay tells the same ones from different ones.  The
hash of a key falls into another shard than the key itself: see
docs/design/traces.md for what such a trace can and cannot show.
"""
