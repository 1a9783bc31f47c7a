"""Load the Cap'n Proto schema that the codec and the greeting share."""

from pathlib import Path
from typing import Any

import capnp

_PATH = Path(__file__).with_name('messages.capnp')

# Pycapnp builds its classes at run time and ships no types.
schema: Any = capnp.load(str(_PATH))
