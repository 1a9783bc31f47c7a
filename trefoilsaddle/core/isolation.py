"""Take over the servers of a zone that is lost as a whole.

An isolated zone keeps the shards it owns.  Where a service limits that hold,
a record declares the zone lost, and the hold is measured from the record's
acknowledgement.  A holder that reads the log after that keeps only the
authority that log reads renew; one that cannot read it stops at the end of
the hold.
"""

from trefoilsaddle.core.claims import append_claim
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.leases import (
    former_isolation_hold,
    former_lease_end,
    isolation_hold,
    lease_duration,
)
from trefoilsaddle.core.membership import health_of, live_dispatchers
from trefoilsaddle.core.messages import Health
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import LostZone
from trefoilsaddle.core.units import (
    FOREVER,
    Epoch,
    Moment,
    Seconds,
    ServerId,
    ZoneName,
)
from trefoilsaddle.core.view import Role

# Delay of each candidate after the one ranked before it.
_STAGGER = Seconds(1)


def check_zones(node: Node, moment: Moment) -> Effects:
    """Declare silent zones lost, and claim their servers after the hold."""
    if node.following.log_away or node.stopping:
        return []
    effects = _withdraw_own_loss(node, moment)
    _record_losses(node, moment)
    watched = _find_watched_zones(node)
    _forget_silent(node, watched)
    for zone in sorted(watched):
        for policy in node.view.servers_in(zone):
            role = node.view.roles.get(policy.server_id)
            if role is not None:
                effects.extend(_check_server(node, moment, policy, role))
    return effects


def _withdraw_own_loss(node: Node, moment: Moment) -> Effects:
    zone = node.options.zone
    pending = any(
        isinstance(record, LostZone)
        for record in node.following.outbox.values()
    )
    if zone not in node.view.lost_zones or pending:
        return []
    record = LostZone(make_record_id(node), zone, lost=False)
    return append_records(node, moment, (record,))


def _list_zones(node: Node) -> list[ZoneName]:
    configuration = node.view.configuration
    if configuration is None:
        return []
    sites = configuration.sites.values()
    return [zone for site in sites for zone in site.zones]


def _record_losses(node: Node, moment: Moment) -> None:
    since = node.duties.lost_since
    for zone in _list_zones(node):
        if node.view.is_zone_lost(zone):
            since.setdefault(zone, moment.monotonic)
        else:
            since.pop(zone, None)


def _find_watched_zones(node: Node) -> set[ZoneName]:
    """Return the zones that are lost or have no live dispatcher.

    Only the servers of these zones are checked one by one.  Normally there
    are none, which matters since this runs at every renewal of a grant, with
    thousands of servers.
    """
    living = {
        process.zone
        for process in node.membership.processes.values()
        if process.dispatches and process.health is Health.alive
    }
    silent = set(_list_zones(node)) - living
    return silent | set(node.duties.lost_since)


def _forget_silent(node: Node, watched: set[ZoneName]) -> None:
    since = node.duties.silent_since
    for server in tuple(since):
        policy = node.view.server(server)
        if policy is None or policy.zone not in watched:
            since.pop(server)


def _check_server(
    node: Node,
    moment: Moment,
    policy: ServerPolicy,
    role: Role,
) -> Effects:
    server = policy.server_id
    if not _is_silent(node, role) or server in node.duties.pending_claims:
        node.duties.silent_since.pop(server, None)
        return []
    since = node.duties.silent_since.setdefault(server, moment.monotonic)
    lost_since = node.duties.lost_since.get(policy.zone)
    if lost_since is None:
        return _declare_lost(node, moment, policy, since)
    claim_after = _hold_end(node, policy, role.term, lost_since)
    if claim_after == FOREVER:
        return []
    return _claim_in_turn(node, moment, server, claim_after)


def _is_silent(node: Node, role: Role) -> bool:
    everyone = (role.dispatcher, *role.claim_set)
    if node.options.node in everyone:
        return False
    return all(health_of(node, member) is Health.dead for member in everyone)


def _declare_lost(
    node: Node,
    moment: Moment,
    policy: ServerPolicy,
    since: Seconds,
) -> Effects:
    """Append a record that declares a zone lost, if its hold is limited."""
    if isolation_hold(node, policy.server_id) is None:
        return []
    if live_dispatchers(node, policy.zone):
        return []
    due = Seconds(since + lease_duration(node))
    if any(
        isinstance(record, LostZone)
        for record in node.following.outbox.values()
    ):
        return []
    wait = _time_to_turn(node, moment, policy.zone, due)
    if wait > 0:
        timer = TimerKey(TimerKind.claim, policy.server_id)
        return [SetTimer(timer, wait)]
    record = LostZone(make_record_id(node), policy.zone, lost=True)
    sentence = f'declaring silent zone {policy.zone} lost'
    return [
        WriteLogLine(Component.ownership, sentence),
        *append_records(node, moment, (record,)),
    ]


def _hold_end(
    node: Node,
    policy: ServerPolicy,
    term: Epoch,
    lost_since: Seconds,
) -> Seconds:
    if _is_declared_by_operator(node, policy.zone):
        # The operator guarantees that the zone has stopped.
        return former_lease_end(node, lost_since, term)
    return Seconds(
        lost_since + former_isolation_hold(node, policy.server_id, term)
    )


def _is_declared_by_operator(node: Node, zone: ZoneName) -> bool:
    configuration = node.view.configuration
    if configuration is None:
        return False
    sites = configuration.sites.values()
    return any(zone in site.lost_zones for site in sites)


def _claim_in_turn(
    node: Node,
    moment: Moment,
    server: ServerId,
    claim_after: Seconds,
) -> Effects:
    wait = _time_to_turn(node, moment, server, claim_after)
    if wait > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), wait)]
    expected = node.view.roles[server].term
    return append_claim(node, moment, server, expected)


def _time_to_turn(
    node: Node,
    moment: Moment,
    subject: str,
    due: Seconds,
) -> Seconds:
    alive = {*live_dispatchers(node, None), node.options.node}
    place = rank_candidates(subject, alive).index(node.options.node)
    return Seconds(due + _STAGGER * place - moment.monotonic)
