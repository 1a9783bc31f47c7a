"""Check that the programs accept the example files."""

import pytest
from pydantic import BaseModel

from standins.fleetplan import EXAMPLES, SITES
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.documents import parse_base, parse_overlay
from trefoilsaddle.settings import (
    DispatcherSettings,
    EntrySettings,
    OperatorSettings,
    read_settings,
)


def test_the_base_file_is_valid() -> None:
    """Read the base file as the publisher does."""
    base = parse_base((EXAMPLES / 'base.yaml').read_text())
    assert not isinstance(base, Failure)
    assert len(base.ranks) == 3


@pytest.mark.parametrize('site', SITES)
def test_overlays_are_valid(site: str) -> None:
    """Read overlays that have servers with and without grant checks."""
    overlay = parse_overlay((EXAMPLES / f'overlay-{site}.yaml').read_text())
    assert not isinstance(overlay, Failure)
    checks = {server.checks_grants for server in overlay.servers.values()}
    assert checks == {True, False}


@pytest.mark.parametrize(
    ('name', 'model'),
    [
        ('entry.yaml', EntrySettings),
        ('dispatcher.yaml', DispatcherSettings),
        ('operator.yaml', OperatorSettings),
    ],
)
def test_settings_are_valid(name: str, model: type[BaseModel]) -> None:
    """Read settings as the programs do."""
    settings = read_settings(EXAMPLES / name, model)
    assert not isinstance(settings, Failure), settings
