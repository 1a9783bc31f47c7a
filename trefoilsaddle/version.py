"""Define the version of the package, equal to that in pyproject.toml."""

from typing import Final

VERSION: Final = '0.1.0'
