"""Test that the documented result codes match the code."""

from dataclasses import dataclass
from pathlib import Path

import pytest

from trefoilsaddle.programs.commandline import find_exit_code
from trefoilsaddle.programs.statuses import find_status
from trefoilsaddle.results import Outcome, ResultCode

_TABLE = Path(__file__).parent.parent / 'docs' / 'RESULTS.md'
_ROW_START = '| '
_NONE = 'none'
_CELLS = 6


@dataclass(frozen=True, slots=True)
class _Row:
    code: int
    name: str
    outcome: str
    status: str
    cause: str
    advice: str


def _read_rows() -> list[_Row]:
    lines = _TABLE.read_text().splitlines()
    table = [line for line in lines if line.startswith(_ROW_START)]
    rows = [line.strip('|').split('|') for line in table[1:]]
    return [
        _Row(int(code), name.strip(' `'), *map(str.strip, others))
        for code, name, *others in rows
    ]


_ROWS = tuple(_read_rows())
_CALLERS_ROWS = tuple(
    row for row in _ROWS if row.status != _NONE and row.code != ResultCode.ok
)
_OPERATORS_ROWS = tuple(row for row in _ROWS if row.outcome == _NONE)


def test_table_has_every_code_once() -> None:
    """List the same numbers and names as the code, in order."""
    listed = [(row.code, row.name) for row in _ROWS]
    assert listed == [(code.value, code.name) for code in ResultCode]


@pytest.mark.parametrize('row', _ROWS, ids=lambda row: row.name)
def test_row_is_complete(row: _Row) -> None:
    """Document a cause and an advice for each code."""
    assert row.cause
    assert row.advice
    outcomes = {outcome.value for outcome in Outcome}
    assert row.outcome in {*outcomes, _NONE}


@pytest.mark.parametrize('row', _CALLERS_ROWS, ids=lambda row: row.name)
def test_row_states_the_status(row: _Row) -> None:
    """Document the HTTP status that a caller gets."""
    assert row.status == str(find_status(ResultCode(row.code)).value)


@pytest.mark.parametrize('row', _OPERATORS_ROWS, ids=lambda row: row.name)
def test_row_states_the_exit_code(row: _Row) -> None:
    """Document the exit code of the commands."""
    exit_code = find_exit_code(ResultCode(row.code))
    assert f'exit code {exit_code}' in row.cause


@pytest.mark.parametrize('code', ResultCode, ids=lambda code: code.name)
def test_outcome_follows_the_number(code: ResultCode) -> None:
    """Group the codes by outcome, so that the number implies it."""
    rows = {row.code: row for row in _ROWS}
    groups = {0: 'answered', 1: 'not-run', 2: 'not-run', 3: 'unknown', 4: _NONE}
    assert rows[code].outcome == groups[code // 100]
