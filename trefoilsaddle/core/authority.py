"""Check whether this process may send a request to a server.

Dispatching calls this directly before each send and attaches the returned
fencing tokens to the request.
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
    """Hold the fencing tokens that a request to a server carries."""

    term: Epoch
    epoch: Epoch
    # Monotonic time after which the request must not be sent.
    send_before: Seconds


def check_authority(
    node: Node,
    moment: Moment,
    server: ServerId,
    shard: ShardId,
) -> Authority | Failure:
    """Return the fencing tokens to send with, or the reason not to send.

    `owner_changing` and `lease_lapsed` are temporary, so a request can wait;
    after `not_holder` the request belongs to another dispatcher.
    """
    duty = node.duties.held.get(server)
    if duty is None:
        return Failure(ResultCode.not_holder, 'the server is not held here')
    epoch = duty.shards.get(shard)
    if epoch is None:
        return Failure(ResultCode.not_holder, 'the server lacks the shard')
    if duty.superseded:
        return Failure(ResultCode.owner_changing, 'another dispatcher may act')
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
        return Failure(ResultCode.owner_changing, 'the grant is pending')
    if moment.monotonic >= duty.grants.valid_until:
        return Failure(ResultCode.lease_lapsed, 'the grants have expired')
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
        # Nothing is sent, so that the last deadline in flight passes soon and
        # the shards can be moved.
        return Failure(ResultCode.owner_changing, 'the server does not answer')
    end = lease_end(node, duty, every=True)
    if moment.monotonic >= end:
        return Failure(ResultCode.lease_lapsed, 'the lease has expired')
    return Authority(duty.term, epoch, end)
