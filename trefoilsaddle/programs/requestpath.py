"""Refuse request paths that are reserved for dispatchers.

A caller that could send `PUT /grants` to a server through the system would
fence off the server's dispatcher.
"""

from posixpath import normpath
from urllib.parse import unquote_to_bytes

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

_RESERVED = frozenset((b'grants', b'health'))
_TUNNEL = 'CONNECT'
_SLASH = b'/'
_BACKSLASH = b'\\'
# Servers that drop path parameters read `/grants;a=1` as `/grants`.
_PARAMETER_MARK = b';'
# Number of percent-decodings, in case that a proxy in between decodes as well.
_DECODINGS = 2


def check_target(method: str, path: bytes) -> Failure | None:
    """Refuse tunnels, relative targets and reserved paths (malformed)."""
    if method == _TUNNEL:
        return Failure(ResultCode.malformed, 'no tunnels')
    if not path.startswith(_SLASH):
        # Such as `*` or `http://host/grants`; servers must accept the latter.
        return Failure(ResultCode.malformed, 'the path is not absolute')
    decoded = path
    for _ in range(_DECODINGS):
        decoded = unquote_to_bytes(decoded)
        if (
            _find_first_segment(path) in _RESERVED
            or _find_first_segment(decoded) in _RESERVED
        ):
            return Failure(ResultCode.malformed, 'the path is reserved')
    return None


def _find_first_segment(path: bytes) -> bytes:
    """Return the first segment of a path as a lenient server reads it."""
    slashed = path.replace(_BACKSLASH, _SLASH)
    segments = normpath(slashed).split(_SLASH)
    named = [segment for segment in segments if segment]
    first = named[0] if named else b''
    return first.partition(_PARAMETER_MARK)[0].strip().lower()
