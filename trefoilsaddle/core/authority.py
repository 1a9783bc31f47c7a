"""Say whether this process may send work to a server, and under which token.

Dispatching asks here directly before each send; only duties answer yes.
"""

from dataclasses import dataclass

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import (
    Epoch,
    Moment,
    Seconds,
    ServerId,
    ShardId,
)
from trefoilsaddle.results import ResultCode


@dataclass(frozen=True, slots=True)
class Authority:
    """Hold the tokens that a request to a server carries."""

    term: Epoch
    epoch: Epoch
    # Monotonic time after which the request must not leave any more.
    send_before: Seconds


def check_authority(
    node: Node,
    moment: Moment,
    server: ServerId,
    shard: ShardId,
) -> Authority | Failure:
    """Return the tokens to send with, or the reason to send nothing.

    `owner_changing` and `lease_lapsed` may pass soon, so that a request can
    wait; after `not_holder` another dispatcher has to be asked.
    """
    return Failure(ResultCode.not_holder, 'no duty for the server')
