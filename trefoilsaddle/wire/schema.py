"""Load the Cap'n Proto schema of the messages and the greeting."""

from pathlib import Path
from typing import Any

import capnp

_PATH = Path(__file__).with_name('messages.capnp')

# Pycapnp builds its classes at run time and ships no type hints.
schema: Any = capnp.load(str(_PATH))
