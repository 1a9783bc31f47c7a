"""Create and apply JSON merge patches of documents (RFC 7386).

With a patch, a change of one server takes a few bytes in the log and in the
messages to every process, independent of the size of the overlay.
"""

from json import dumps as write_json

import yaml

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.documents import load_document
from trefoilsaddle.results import ResultCode

_Mapping = dict[str, object]
_COMPACT = (',', ':')


def write_patch(former: str, document: str) -> str | Failure:
    """Create the patch that turns one document into another."""
    before = _load_mapping(former)
    after = _load_mapping(document)
    if isinstance(before, Failure):
        return before
    if isinstance(after, Failure):
        return after
    return _write(_compare(before, after))


def apply_patch(former: str, patch: str) -> str | Failure:
    """Apply a patch; fails with `configuration_invalid`."""
    before = _load_mapping(former)
    change = _load_mapping(patch)
    if isinstance(before, Failure):
        return before
    if isinstance(change, Failure):
        return change
    return _write(_merge(before, change))


def _compare(before: _Mapping, after: _Mapping) -> _Mapping:
    patch: _Mapping = {name: None for name in before if name not in after}
    for name, successor in after.items():
        former = before.get(name)
        if isinstance(former, dict) and isinstance(successor, dict):
            change = _compare(former, successor)
            if change:
                patch[name] = change
        elif former != successor:
            patch[name] = successor
    return patch


def _merge(before: _Mapping, patch: _Mapping) -> _Mapping:
    merged = dict(before)
    for name, change in patch.items():
        if change is None:
            merged.pop(name, None)
        elif isinstance(change, dict):
            former = merged.get(name)
            known = former if isinstance(former, dict) else {}
            merged[name] = _merge(known, change)
        else:
            merged[name] = change
    return merged


def _load_mapping(text: str) -> _Mapping | Failure:
    try:
        loaded = load_document(text)
    except (yaml.YAMLError, ValueError, RecursionError):
        return _refuse('the document is not YAML')
    if not isinstance(loaded, dict):
        return _refuse('the document is not a mapping')
    return loaded


def _write(document: _Mapping) -> str:
    return write_json(document, separators=_COMPACT, default=str)


def _refuse(reason: str) -> Failure:
    return Failure(ResultCode.configuration_invalid, reason)
