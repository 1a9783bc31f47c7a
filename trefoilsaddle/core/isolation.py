"""Take over the servers of a zone that is lost as a whole.

A zone that is cut off holds what it owns.  Where a service bounds that hold,
a record declares the zone lost, and the hold is counted from its
acknowledgement: whoever reads the log after it gives up all authority but
what the log renews, and whoever does not read it has no longer than the hold.
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
    former_end,
    former_hold,
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

# Head start of each candidate over the next one.
_STAGGER = Seconds(1)


def review_zones(node: Node, moment: Moment) -> Effects:
    """Declare silent zones lost, and claim what their hold has freed."""
    if node.following.log_away or node.stopping:
        return []
    effects = _object_to_loss(node, moment)
    _note_losses(node, moment)
    watched = _find_watched(node)
    _forget_silence(node, watched)
    for zone in sorted(watched):
        for policy in node.view.servers_in(zone):
            role = node.view.roles.get(policy.server_id)
            if role is not None:
                effects.extend(_consider_server(node, moment, policy, role))
    return effects


def _object_to_loss(node: Node, moment: Moment) -> Effects:
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


def _note_losses(node: Node, moment: Moment) -> None:
    since = node.duties.lost_since
    for zone in _list_zones(node):
        if node.view.is_zone_lost(zone):
            since.setdefault(zone, moment.monotonic)
        else:
            since.pop(zone, None)


def _find_watched(node: Node) -> set[ZoneName]:
    """Return the zones that are lost or have no live dispatcher.

    Only their servers are looked at one by one: on an ordinary day none of
    thousands, though this runs at every renewal of a grant.
    """
    living = {
        rumour.zone
        for rumour in node.membership.processes.values()
        if rumour.dispatches and rumour.health is Health.alive
    }
    silent = set(_list_zones(node)) - living
    return silent | set(node.duties.lost_since)


def _forget_silence(node: Node, watched: set[ZoneName]) -> None:
    since = node.duties.silent_since
    for server in tuple(since):
        policy = node.view.server(server)
        if policy is None or policy.zone not in watched:
            since.pop(server)


def _consider_server(
    node: Node,
    moment: Moment,
    policy: ServerPolicy,
    role: Role,
) -> Effects:
    server = policy.server_id
    if not _is_silent(node, role) or server in node.duties.claiming:
        node.duties.silent_since.pop(server, None)
        return []
    since = node.duties.silent_since.setdefault(server, moment.monotonic)
    lost_since = node.duties.lost_since.get(policy.zone)
    if lost_since is None:
        return _declare(node, moment, policy, since)
    freed = _freed_at(node, policy, role.term, lost_since)
    if freed == FOREVER:
        return []
    return _act_in_turn(node, moment, server, freed)


def _is_silent(node: Node, role: Role) -> bool:
    everyone = (role.dispatcher, *role.claim_set)
    if node.options.node in everyone:
        return False
    return all(health_of(node, member) is Health.dead for member in everyone)


def _declare(
    node: Node,
    moment: Moment,
    policy: ServerPolicy,
    since: Seconds,
) -> Effects:
    """Declare a zone lost by a record, if its services bound the hold."""
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
    wait = _turn(node, moment, policy.zone, due)
    if wait > 0:
        timer = TimerKey(TimerKind.claim, policy.server_id)
        return [SetTimer(timer, wait)]
    record = LostZone(make_record_id(node), policy.zone, lost=True)
    sentence = f'zone {policy.zone} is silent'
    return [
        WriteLogLine(Component.ownership, sentence),
        *append_records(node, moment, (record,)),
    ]


def _freed_at(
    node: Node,
    policy: ServerPolicy,
    term: Epoch,
    lost_since: Seconds,
) -> Seconds:
    if _is_declared_by_operator(node, policy.zone):
        # The operator vouches that the zone has stopped.
        return former_end(node, lost_since, term)
    return Seconds(lost_since + former_hold(node, policy.server_id, term))


def _is_declared_by_operator(node: Node, zone: ZoneName) -> bool:
    configuration = node.view.configuration
    if configuration is None:
        return False
    sites = configuration.sites.values()
    return any(zone in site.lost_zones for site in sites)


def _act_in_turn(
    node: Node,
    moment: Moment,
    server: ServerId,
    freed: Seconds,
) -> Effects:
    wait = _turn(node, moment, server, freed)
    if wait > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), wait)]
    expected = node.view.roles[server].term
    return append_claim(node, moment, server, expected)


def _turn(
    node: Node,
    moment: Moment,
    subject: str,
    due: Seconds,
) -> Seconds:
    alive = {*live_dispatchers(node, None), node.options.node}
    place = rank_candidates(subject, alive).index(node.options.node)
    return Seconds(due + _STAGGER * place - moment.monotonic)
