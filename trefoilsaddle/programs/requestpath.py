"""Keep callers away from the paths that dispatchers use at backend servers.

A caller that could send `PUT /grants` through the system would fence off
the dispatcher of its server.
"""

from posixpath import normpath
from urllib.parse import unquote_to_bytes

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

_RESERVED = frozenset((b'grants', b'health'))
_TUNNEL = 'CONNECT'
_SLASH = b'/'
_BACKSLASH = b'\\'
# Servers that drop parameters see `/grants` in `/grants;a=1`.
_PARAMETER_MARK = b';'
# Decoded so often, in case that something in between decodes as well.
_DECODINGS = 2


def check_target(method: str, path: bytes) -> Failure | None:
    """Refuse what a server might not take for a request (malformed)."""
    if method == _TUNNEL:
        return Failure(ResultCode.malformed, 'no tunnels')
    if not path.startswith(_SLASH):
        # Such as `*`, or `http://host/grants`, which servers must accept.
        return Failure(ResultCode.malformed, 'the path is not absolute')
    decoded = path
    for _ in range(_DECODINGS):
        decoded = unquote_to_bytes(decoded)
        if _find_first(path) in _RESERVED or _find_first(decoded) in _RESERVED:
            return Failure(ResultCode.malformed, 'the path is reserved')
    return None


def _find_first(path: bytes) -> bytes:
    """Return the first part of a path as a lenient server reads it."""
    slashed = path.replace(_BACKSLASH, _SLASH)
    segments = normpath(slashed).split(_SLASH)
    named = [segment for segment in segments if segment]
    first = named[0] if named else b''
    return first.partition(_PARAMETER_MARK)[0].strip().lower()
