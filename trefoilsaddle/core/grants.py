"""Grant servers their shards, renew the grants, and read the answers.

A call carries the newest stamp of the server's clock, and the grants lapse
a fixed time after that stamp.  Calls that arrive late, or after the server
was frozen, thus cannot prolong anything.
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
    lengthen,
    limits_of,
    shorten,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import (
    Epoch,
    Moment,
    Seconds,
    ServerId,
    ShardId,
)

# Calls whose answers are waited for; older ones are taken as lost.
_PENDING_LIMIT = 16


def checks_grants(node: Node, server: ServerId) -> bool:
    """Say whether a server checks grants; an unknown one does not."""
    policy = node.view.server(server)
    return policy is not None and policy.checks_grants


def is_fenced(node: Node, duty: Duty) -> bool:
    """Say whether the server itself keeps former dispatchers out.

    A server that is said to check grants, but does not stamp its answers,
    is treated as one that does not check.
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
    """Send a call that grants what is missing and prolongs the rest."""
    grants = duty.grants
    limits = limits_of(node)
    if limits is None or duty.superseded:
        return [_set_timer(node, duty)]
    duration = _choose_duration(node, moment, duty, limits.grant_duration)
    # A server forgets grants that have lapsed.
    lapsed = moment.monotonic >= grants.valid_until
    whole = lapsed or not grants.seeded
    granted = _missing(duty, whole=whole) if duration > 0 else {}
    grants.sequence += 1
    pending = PendingGrant(
        granted,
        whole,
        grants.stamp,
        grants.stamp_sent,
        duration,
    )
    _remember(node, grants, pending)
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
    # Grants end with the lease, so that whoever has waited out the lease
    # need not wait for the grants as well.
    left = lease_end(node, duty, every=not _is_trusted(duty))
    left = Seconds(left - moment.monotonic)
    return Seconds(max(0, min(longest, shorten(node, left))))


def _is_trusted(duty: Duty) -> bool:
    """Say whether the server still knows every term it has accepted.

    A server that restarts forgets them, so that its fence no longer keeps a
    dispatcher out whose successor it once knew.
    """
    stamp = duty.grants.stamp
    return stamp is not None and (
        stamp.instance == duty.grants.trusted_instance
    )


def _missing(duty: Duty, *, whole: bool) -> dict[ShardId, Epoch]:
    accepted = {} if whole else duty.grants.accepted
    return {
        shard: epoch
        for shard, epoch in duty.shards.items()
        if shard not in duty.moves and accepted.get(shard) != epoch
    }


def _remember(node: Node, grants: GrantState, pending: PendingGrant) -> None:
    grants.pending[grants.sequence] = pending
    for sequence in tuple(grants.pending):
        if sequence <= grants.sequence - _PENDING_LIMIT:
            grants.pending.pop(sequence)
    if pending.stamp is None:
        return
    lapse = grants.stamp_received + lengthen(node, pending.duration)
    grants.lapsed_after = max(grants.lapsed_after, Seconds(lapse))


def _set_timer(node: Node, duty: Duty) -> SetTimer:
    return SetTimer(
        TimerKey(TimerKind.grant, duty.server),
        node.options.grant_interval,
    )


def stop_grants(server: ServerId) -> Effect:
    """Stop renewing a server's grants."""
    return CancelTimer(TimerKey(TimerKind.grant, server))


def note_answer(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    """Take a server's answer to a grant call."""
    pending = duty.grants.pending.pop(answer.sequence, None)
    if pending is None:
        return []
    if answer.verdict is GrantVerdict.failed:
        duty.grants.failures += 1
        return [CountMetric(Component.ownership, 'grant-failed')]
    if answer.verdict is GrantVerdict.fenced:
        return _note_fence(moment, duty, answer)
    return _note_acceptance(node, moment, duty, answer, pending)


def _note_fence(
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    # An equal term means that a later call of ours has overtaken this one,
    # or that another claimant of the same provisional term was first.
    duty.grants.answered_at = moment.monotonic
    if answer.term < duty.term:
        return []
    overtaken = duty.grants.contacted or not duty.provisional
    if answer.term == duty.term and overtaken:
        return []
    duty.supersede(moment.monotonic, answer.term)
    sentence = f'{duty.server} follows another dispatcher'
    return [WriteLogLine(Component.ownership, sentence)]


def _note_acceptance(
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
        grants.seeded = True
        grants.accepted.update(pending.granted)
        return []
    effective = _is_effective(answer, pending)
    if effective:
        _note_grants(node, moment, duty, answer, pending)
    _note_stamp(node, moment, duty, answer)
    if effective:
        return []
    # The server has restarted or was met for the first time: it holds
    # nothing yet, and the call could not grant without a stamp of its own.
    grants.accepted.clear()
    grants.seeded = False
    return renew_grants(node, moment, duty)


def _is_effective(answer: GrantAnswered, pending: PendingGrant) -> bool:
    if pending.stamp is None or answer.stamp is None:
        return False
    return pending.stamp.instance == answer.stamp.instance


def _note_grants(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
    pending: PendingGrant,
) -> None:
    grants = duty.grants
    if answer.sequence < grants.stamp_sequence:
        # A later call may have come first, and this one had no effect.
        return
    if pending.whole:
        grants.accepted.clear()
        grants.seeded = True
    elif moment.monotonic >= grants.valid_until:
        # The call may have come after the lapse, when the server had
        # forgotten what it was to prolong.
        grants.seeded = False
        return
    for shard, epoch in pending.granted.items():
        if shard not in duty.moves:
            grants.accepted[shard] = epoch
    sure = pending.stamp_sent + shorten(node, pending.duration)
    grants.valid_until = max(grants.valid_until, Seconds(sure))


def _note_stamp(
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
