"""Say whether this process may send work to a server, and under which token.

Dispatching asks here directly before each send; only duties answer yes.
"""

from dataclasses import dataclass

from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.grants import is_fenced
from trefoilsaddle.core.leases import lease_end
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
    duty = node.duties.held.get(server)
    if duty is None:
        return Failure(ResultCode.not_holder, 'no duty for the server')
    epoch = duty.shards.get(shard)
    if epoch is None:
        return Failure(ResultCode.not_holder, 'the server lacks the shard')
    if duty.superseded:
        return Failure(ResultCode.owner_changing, 'another one may serve')
    if shard in duty.moves:
        return Failure(ResultCode.owner_changing, 'the shard is moving')
    if is_fenced(node, duty):
        return _check_grant(moment, duty, shard, epoch)
    return _check_lease(node, moment, duty, epoch)


def _check_grant(
    moment: Moment,
    duty: Duty,
    shard: ShardId,
    epoch: Epoch,
) -> Authority | Failure:
    if duty.grants.accepted.get(shard) != epoch:
        return Failure(ResultCode.owner_changing, 'the grant is on its way')
    if moment.monotonic >= duty.grants.valid_until:
        return Failure(ResultCode.lease_lapsed, 'the grants have lapsed')
    return Authority(duty.term, epoch, duty.grants.valid_until)


def _check_lease(
    node: Node,
    moment: Moment,
    duty: Duty,
    epoch: Epoch,
) -> Authority | Failure:
    if moment.monotonic < duty.usable_from:
        return Failure(ResultCode.owner_changing, 'a former lease may hold')
    if duty.grants.silent:
        # The last deadline in flight is to pass soon.
        return Failure(ResultCode.owner_changing, 'the server is silent')
    end = lease_end(node, duty, every=True)
    if moment.monotonic >= end:
        return Failure(ResultCode.lease_lapsed, 'the lease has lapsed')
    return Authority(duty.term, epoch, end)
