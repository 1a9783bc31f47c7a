"""Grant partitions to servers, renew and release the grants."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    GrantKeys,
    ReleaseKeys,
    WriteDecision,
)
from trefoilsaddle.gateway.election import step_down
from trefoilsaddle.gateway.events import (
    OrderEnded,
    OrderTimes,
    OrderVerdict,
)
from trefoilsaddle.gateway.locality import may_hold_keys
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.notices import record_order
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.pacing import (
    find_hold_in_force,
    find_renewal_interval,
)
from trefoilsaddle.gateway.partitions import (
    MAX_CALL_DELAY,
    Partition,
    PartitionState,
    find_grant_end,
    find_safe_hold,
)
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.slowstart import is_avoidable
from trefoilsaddle.gateway.state import Gateway

# Time of failing renewals after which the grants of a suspected server are left
# to lapse.
_MAX_FAILING_TIME = Seconds(0.7)
# No release is sent if the grant lapses within this time, as the answer would
# come too late.
_MIN_TIME_TO_RELEASE = Seconds(0.35)
# Minimum hold of a repeated grant, as a fraction of the usual one.
_MIN_HOLD_FRACTION = 0.3
# Time after which a server that does not release its keys is no longer asked;
# its grants are then left to lapse, which takes about as long.
_MAX_RELEASING_TIME = Seconds(3)


def update_partition(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    """Advance the state of a partition as far as it is due."""
    if partition.incarnation is None:
        return []
    server = gateway.registry.find_incarnation(partition.incarnation)
    if (
        partition.granted
        and not partition.call_pending
        and _is_restarted(gateway, partition)
    ):
        return _release_restarted(gateway, keyed, partition, now)
    match partition.state:
        case PartitionState.granting | PartitionState.held:
            return _update_granted(gateway, keyed, partition, server, now)
        case PartitionState.releasing | PartitionState.lapsing:
            return _update_ending(gateway, keyed, partition, now)
    return []


def begin_release(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> None:
    """Start to release a partition from its server."""
    partition.enter_state(PartitionState.releasing, now)
    partition.serving = False
    keyed.partitions.revision += 1


def handle_order_ended(
    gateway: Gateway, now: Seconds, event: OrderEnded
) -> Effects:
    """Handle the result of a grant or a release."""
    control = gateway.control
    queue = control.releases if event.release else control.grants
    queue.record_ended()
    notices = record_order(gateway, now, event)
    return [*notices, *_handle_ended(gateway, now, event)]


def _handle_ended(gateway: Gateway, now: Seconds, event: OrderEnded) -> Effects:
    control = gateway.control
    keyed = control.keyed.get(event.service)
    if keyed is None:
        return []
    partition = keyed.partitions.find(event.keys, event.fence)
    if partition is None or partition.incarnation != event.incarnation:
        return []
    partition.call_pending = False
    asked_before = partition.asked_before
    partition.asked_before = False
    if event.release:
        return _handle_release_ended(gateway, keyed, partition, now, event)
    if asked_before and event.verdict == OrderVerdict.done:
        # Another controller may have taken the keys over since the answer.
        partition.extend_hold(partition.hold, now)
        partition.next_call = now
        return []
    return _handle_grant_ended(gateway, keyed, partition, now, event)


def _is_restarted(gateway: Gateway, partition: Partition) -> bool:
    if partition.incarnation is None:
        return False
    server = gateway.find_server(partition.incarnation.server)
    return server is not None and server.life.born > partition.incarnation.born


def _release_restarted(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    # A renewal may have reached the new incarnation, which then owns the keys
    # under the old token and has to release them as well.
    if partition.incarnation is None:
        return []
    server = gateway.find_server(partition.incarnation.server)
    if server is not None:
        gateway.control.addresses[partition.incarnation] = server
    partition.restarted = True
    begin_release(keyed, partition, now)
    return [
        _describe_grant(
            partition, now, 'server started anew', 'its entry is newer'
        )
    ]


def _update_granted(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    server: Server | None,
    now: Seconds,
) -> Effects:
    if partition.call_pending:
        return []
    # A server has to accept this controller's token before it releases, or an
    # earlier controller could renew the grant that was released.
    leaving = server is not None and _has_to_release(gateway, server, now)
    if server is None or (leaving and not partition.inherited):
        begin_release(keyed, partition, now)
        return _update_ending(gateway, keyed, partition, now)
    failing = partition.failing_since
    if failing is None:
        return []
    suspicions = gateway.control.suspicions
    if _has_lapsed(gateway, partition, server.life, now):
        suspicions.suspect(server.life, now)
        return _start_lapsing(keyed, partition, now, 'its grant has lapsed')
    suspected = suspicions.is_suspected(server.life, now)
    if suspected and now - failing > _MAX_FAILING_TIME:
        return _start_lapsing(
            keyed, partition, now, 'its server does not answer'
        )
    return []


def _has_to_release(gateway: Gateway, server: Server, now: Seconds) -> bool:
    if server.draining or not may_hold_keys(gateway, server):
        return True
    return is_avoidable(gateway, server, now)


def _has_lapsed(
    gateway: Gateway,
    partition: Partition,
    incarnation: ServerIncarnation,
    now: Seconds,
) -> bool:
    if partition.failing_since is None or now < partition.held_until:
        return False
    # Whether server or network failed, the server does not own the keys any
    # more.
    silent = now - partition.failing_since >= gateway.options.hold
    suspicions = gateway.control.suspicions
    suspected = suspicions.is_suspected(incarnation, now)
    return (
        silent or suspected or suspicions.has_recent_failure(incarnation, now)
    )


def grant(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    """Send the grant of a partition, or its renewal."""
    server = None
    if partition.incarnation is not None:
        server = gateway.registry.find_incarnation(partition.incarnation)
    if server is None or keyed.resigned or _is_renewal_over(keyed, now):
        return []
    hold = find_hold_in_force(gateway, keyed)
    if partition.failing_since is not None:
        # The repeated grant ends no later than the unanswered one, so that it
        # does not delay the time at which the keys become free.
        hold = _shorten_hold(gateway, partition, hold, now)
    gateway.control.grants.in_flight += 1
    partition.call_pending = True
    partition.hold = hold
    keyed.granted_hold = Seconds(max(keyed.granted_hold, hold))
    return [
        GrantKeys(
            server, partition.keys, partition.fence, hold, partition.handover
        )
    ]


def _is_renewal_over(keyed: KeyedControl, now: Seconds) -> bool:
    return keyed.renewal_end is not None and now > keyed.renewal_end


def _shorten_hold(
    gateway: Gateway,
    partition: Partition,
    hold: Seconds,
    now: Seconds,
) -> Seconds:
    call = gateway.options.grant_timeout + CONNECT_TIMEOUT
    left = partition.held_until - now - call
    shortened = max(find_safe_hold(left), hold * _MIN_HOLD_FRACTION)
    return Seconds(min(shortened, hold))


def _update_ending(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    if partition.call_pending:
        return []
    if now >= _find_end(keyed, partition):
        return _set_free(keyed, partition, now, 'its grant has lapsed')
    releasing = partition.state == PartitionState.releasing
    if releasing and now - partition.since > _MAX_RELEASING_TIME:
        return _start_lapsing(
            keyed, partition, now, 'its server does not release'
        )
    return []


def _find_end(keyed: KeyedControl, partition: Partition) -> Seconds:
    # Once the own grants have ended, the holder is as unknown as any other.
    if keyed.restored and keyed.unknown_until is not None:
        return partition.granted_until
    return partition.held_until


def is_release_late(partition: Partition, now: Seconds) -> bool:
    """Return whether the grant lapses before a release could be answered."""
    lapsing = partition.state == PartitionState.lapsing
    return lapsing and partition.held_until - now < _MIN_TIME_TO_RELEASE


def release(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
) -> Effects:
    """Send the release of a partition."""
    if partition.incarnation is None or keyed.resigned:
        return []
    address = gateway.control.addresses.get(partition.incarnation)
    if address is None:
        return []
    gateway.control.releases.in_flight += 1
    partition.call_pending = True
    order = ReleaseKeys(
        keyed.service,
        partition.incarnation,
        address.host,
        address.port,
        partition.keys,
        partition.fence,
    )
    return [order]


def _handle_grant_ended(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if event.verdict == OrderVerdict.fenced:
        return step_down(gateway, 'a server has seen a newer grant')
    if event.verdict == OrderVerdict.done:
        partition.extend_hold(partition.hold, now)
        return _confirm_grant(gateway, keyed, partition, now)
    if event.verdict == OrderVerdict.unknown:
        partition.extend_hold(partition.hold, Seconds(now + MAX_CALL_DELAY))
        partition.record_unanswered()
    if partition.failing_since is None:
        partition.failing_since = now
    others = gateway.control.suspicions.record_failed(
        event.incarnation,
        Seconds(partition.failing_since - gateway.options.grant_timeout),
        now,
    )
    partition.next_call = Seconds(now + _RETRY_DELAY)
    line = log_event(
        Component.ownership,
        'grant not confirmed',
        server=event.incarnation.server,
        first=event.keys.first,
        last=event.keys.last,
        fence=event.fence,
        verdict=event.verdict.value,
        others_confirmed=others.confirmed,
        others_failed=others.failed,
        suspected=gateway.control.suspicions.is_suspected(
            event.incarnation, now
        ),
        **_describe_times(event.times),
    )
    return [line]


def _describe_times(times: OrderTimes) -> dict[str, float]:
    return {
        f'{step}_after': round(time, _DIGITS)
        for step, time in times.list_steps()
    }


# Decimal places of seconds: milliseconds show which step was late.
_DIGITS = 3


# Delay before an order that failed is sent again.
_RETRY_DELAY = Seconds(0.1)


def _confirm_grant(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    partition.failing_since = None
    partition.handover = ''
    if partition.incarnation is not None:
        gateway.control.suspicions.record_confirmed(partition.incarnation, now)
    if partition.inherited and not partition.token_due:
        # The server now refuses every earlier controller, but a grant of one
        # that arrived before may still take effect.
        partition.inherited = False
        hold = partition.hold if keyed.restored else keyed.inherited_hold
        partition.shorten_inherited(find_grant_end(hold, now))
    interval = find_renewal_interval(gateway, partition.hold)
    partition.next_call = Seconds(now + interval)
    if partition.state == PartitionState.granting:
        partition.state = PartitionState.held
        partition.since = now
    if not partition.serving:
        partition.serving = True
        partition.free_since = None
        keyed.partitions.revision += 1
    return []


def _handle_release_ended(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if partition.state not in {
        PartitionState.releasing,
        PartitionState.lapsing,
    }:
        return []
    # A renewal of an earlier controller may still be in flight.
    unfenced = partition.inherited or partition.restarted
    renewable = unfenced and now < partition.inherited_until
    settled = not renewable and not partition.has_unanswered_grant(now)
    if event.verdict == OrderVerdict.done and settled:
        handover = '' if partition.restarted else event.handover
        return _set_free(keyed, partition, now, 'released', handover)
    if event.verdict == OrderVerdict.done:
        # An unanswered grant may still take effect, or the earlier controller
        # may renew: wait until that is impossible.
        partition.handover = event.handover or partition.handover
    elif gateway.control.suspicions.is_suspected(event.incarnation, now):
        # The suspected server does not answer releases either.
        gateway.control.suspicions.suspect(event.incarnation, now)
    partition.next_call = Seconds(now + gateway.options.retry_interval)
    return []


def _start_lapsing(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    reason: str,
) -> Effects:
    partition.enter_state(PartitionState.lapsing, now)
    partition.serving = False
    keyed.partitions.revision += 1
    return [_describe_grant(partition, now, 'grant left to lapse', reason)]


def _set_free(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    reason: str,
    handover: str = '',
) -> Effects:
    line = _describe_grant(partition, now, 'keys are free', reason)
    partition.last_holder = partition.incarnation
    partition.set_free(now, handover)
    if keyed.unknown_until is not None:
        # Only a release shows that no later holder is named by a lost table.
        partition.inherited = not handover
        partition.inherited_until = keyed.unknown_until
    keyed.partitions.revision += 1
    return [line]


def _describe_grant(
    partition: Partition,
    now: Seconds,
    event_name: str,
    reason: str,
) -> WriteDecision:
    return log_event(
        Component.ownership,
        event_name,
        reason=reason,
        server=''
        if partition.incarnation is None
        else partition.incarnation.server,
        first=partition.keys.first,
        last=partition.keys.last,
        fence=partition.fence,
        hold=round(partition.hold, _DIGITS),
        held_for=round(partition.held_until - now, _DIGITS),
        inherited=partition.inherited,
    )
