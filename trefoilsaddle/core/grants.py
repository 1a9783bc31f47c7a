"""Grant servers their shards, renew the grants, and handle the answers.

A call carries the latest stamp of the server's clock, and the grants expire
a fixed time after that stamp.  A call that arrives late, or that a frozen
server reads late, therefore cannot extend a grant.
"""

from trefoilsaddle.core.dutystate import (
    Duty,
    GrantState,
    PendingGrant,
)
from trefoilsaddle.core.effects import (
    CancelTimer,
    Component,
    CountMetric,
    Effect,
    Effects,
    SendGrant,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    GrantAnswered,
    GrantedShard,
    GrantVerdict,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.leases import (
    lease_end,
    lengthen_by_drift,
    limits_of,
    shorten_by_drift,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import (
    Epoch,
    Moment,
    Seconds,
    ServerId,
    ShardId,
)

# Maximum number of calls awaiting an answer; older ones count as lost.
_MAX_PENDING = 16


def checks_grants(node: Node, server: ServerId) -> bool:
    """Return whether a server checks grants; an unknown one does not."""
    policy = node.view.server(server)
    return policy is not None and policy.checks_grants


def is_fenced(node: Node, duty: Duty) -> bool:
    """Return whether the server itself rejects former dispatchers.

    A server that is configured to check grants, but does not stamp its
    answers, is treated as one that does not check.
    """
    if not checks_grants(node, duty.server):
        return False
    grants = duty.grants
    return grants.stamp is not None or not grants.contacted


def renew_grants(
    node: Node,
    moment: Moment,
    duty: Duty,
    *,
    revoked: tuple[ShardId, ...] = (),
) -> Effects:
    """Send a call that grants missing shards and extends the other grants."""
    grants = duty.grants
    limits = limits_of(node)
    if limits is None or duty.superseded:
        return [_set_timer(node, duty)]
    duration = _choose_duration(node, moment, duty, limits.grant_duration)
    # A server drops grants that have expired.
    lapsed = moment.monotonic >= grants.valid_until
    whole = lapsed or not grants.synced
    granted = _find_missing(duty, whole=whole) if duration > 0 else {}
    grants.sequence += 1
    pending = PendingGrant(
        granted,
        whole,
        grants.stamp,
        grants.stamp_sent,
        duration,
    )
    _record_pending(node, grants, pending)
    call = SendGrant(
        server=duty.server,
        sequence=grants.sequence,
        term=duty.term,
        duration=duration,
        whole=whole,
        granted=tuple(
            GrantedShard(shard, epoch) for shard, epoch in granted.items()
        ),
        revoked=revoked,
        stamp=grants.stamp,
    )
    return [call, _set_timer(node, duty)]


def _choose_duration(
    node: Node,
    moment: Moment,
    duty: Duty,
    longest: Seconds,
) -> Seconds:
    # Grants end with the lease, so that a process that has waited for the end
    # of the lease need not wait for the grants as well.
    left = lease_end(node, duty, every=not _is_trusted(duty))
    left = Seconds(left - moment.monotonic)
    return Seconds(max(0, min(longest, shorten_by_drift(node, left))))


def _is_trusted(duty: Duty) -> bool:
    """Return whether the server still knows every term it has accepted.

    A server that restarts loses them, so its fence no longer rejects a
    dispatcher whose successor it had accepted.
    """
    stamp = duty.grants.stamp
    return stamp is not None and (
        stamp.instance == duty.grants.trusted_instance
    )


def _find_missing(duty: Duty, *, whole: bool) -> dict[ShardId, Epoch]:
    accepted = {} if whole else duty.grants.accepted
    return {
        shard: epoch
        for shard, epoch in duty.shards.items()
        if shard not in duty.moves and accepted.get(shard) != epoch
    }


def _record_pending(
    node: Node, grants: GrantState, pending: PendingGrant
) -> None:
    grants.pending[grants.sequence] = pending
    for sequence in tuple(grants.pending):
        if sequence <= grants.sequence - _MAX_PENDING:
            grants.pending.pop(sequence)
    if pending.stamp is None:
        return
    lapse = grants.stamp_received + lengthen_by_drift(node, pending.duration)
    grants.lapsed_after = max(grants.lapsed_after, Seconds(lapse))


def _set_timer(node: Node, duty: Duty) -> SetTimer:
    return SetTimer(
        TimerKey(TimerKind.grant, duty.server),
        node.options.grant_interval,
    )


def stop_grants(server: ServerId) -> Effect:
    """Stop renewing a server's grants."""
    return CancelTimer(TimerKey(TimerKind.grant, server))


def handle_grant_answer(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    """Handle a server's answer to a grant call."""
    pending = duty.grants.pending.pop(answer.sequence, None)
    if pending is None:
        return []
    if answer.verdict is GrantVerdict.failed:
        duty.grants.failures += 1
        return [CountMetric(Component.ownership, 'grant-failed')]
    if answer.verdict is GrantVerdict.fenced:
        return _record_fence(moment, duty, answer)
    return _record_acceptance(node, moment, duty, answer, pending)


def _record_fence(
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    # An equal term means that a later call by this process has overtaken this
    # one, or that another claimant of the same provisional term was first.
    duty.grants.answered_at = moment.monotonic
    if answer.term < duty.term:
        return []
    overtaken = duty.grants.contacted or not duty.provisional
    if answer.term == duty.term and overtaken:
        return []
    duty.supersede(moment.monotonic, answer.term)
    sentence = f'server {duty.server} follows another dispatcher'
    return [WriteLogLine(Component.ownership, sentence)]


def _record_acceptance(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
    pending: PendingGrant,
) -> Effects:
    grants = duty.grants
    grants.failures = 0
    grants.answered_at = moment.monotonic
    grants.draining = answer.draining
    grants.contacted = True
    if answer.stamp is None:
        grants.synced = True
        grants.accepted.update(pending.granted)
        return []
    effective = _is_effective(answer, pending)
    if effective:
        _record_grants(node, moment, duty, answer, pending)
    _record_stamp(node, moment, duty, answer)
    if effective:
        return []
    # The server has restarted or answers for the first time: it holds nothing
    # yet, and the call could not grant without a stamp of this incarnation.
    grants.accepted.clear()
    grants.synced = False
    return renew_grants(node, moment, duty)


def _is_effective(answer: GrantAnswered, pending: PendingGrant) -> bool:
    if pending.stamp is None or answer.stamp is None:
        return False
    return pending.stamp.instance == answer.stamp.instance


def _record_grants(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
    pending: PendingGrant,
) -> None:
    grants = duty.grants
    if answer.sequence < grants.stamp_sequence:
        # A later call may have arrived first, so that this one had no effect.
        return
    if pending.whole:
        grants.accepted.clear()
        grants.synced = True
    elif moment.monotonic >= grants.valid_until:
        # The call may have arrived after the grants expired, when the server
        # had dropped the ones to extend.
        grants.synced = False
        return
    for shard, epoch in pending.granted.items():
        if shard not in duty.moves:
            grants.accepted[shard] = epoch
    sure = pending.stamp_sent + shorten_by_drift(node, pending.duration)
    grants.valid_until = max(grants.valid_until, Seconds(sure))


def _record_stamp(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> None:
    grants = duty.grants
    stamp = answer.stamp
    if stamp is None or answer.sequence <= grants.stamp_sequence:
        return
    grants.stamp = stamp
    grants.stamp_sequence = answer.sequence
    grants.stamp_sent = answer.sent
    grants.stamp_received = moment.monotonic
    if moment.monotonic < lease_end(node, duty, every=True):
        grants.trusted_instance = stamp.instance
