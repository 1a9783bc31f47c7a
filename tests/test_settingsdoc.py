"""Test that the documented settings match the models."""

from collections.abc import Iterator
from pathlib import Path
from re import findall
from typing import get_args

from pydantic import BaseModel

from trefoilsaddle.settings import EntrySettings

_TABLE = Path(__file__).parent.parent / 'docs' / 'SETTINGS.md'


def _list_keys(model: type[BaseModel], prefix: str = '') -> Iterator[str]:
    for name, field in model.model_fields.items():
        kinds = (field.annotation, *get_args(field.annotation))
        nested = [kind for kind in kinds if _is_model(kind)]
        key = f'{prefix}{name}'
        if nested:
            yield from _list_keys(nested[0], f'{key}.')
        else:
            yield key


def _is_model(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, BaseModel)


def _read_table() -> list[str]:
    lines = _TABLE.read_text().split('## Signals')[0].splitlines()
    rows = [line for line in lines if line.startswith('| `')]
    cells = [row.split('|')[1] for row in rows]
    return [key for cell in cells for key in findall('`([a-z_.]+)`', cell)]


def test_table_has_every_key_once() -> None:
    """List each key of the models, and no other."""
    keys = [
        key for key in _list_keys(EntrySettings) if not key.startswith('peers.')
    ]
    listed = _read_table()
    assert sorted(set(listed) | {'peers'}) == sorted({*keys, 'peers'})
    assert len(listed) == len(set(listed))
