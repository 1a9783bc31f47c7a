"""Hand all roles over during a graceful shutdown.

One append transfers all roles, each to a live claim-set member.  This process
serves until it reads the records.  Then it promises each next dispatcher to
send nothing more, so that they need not wait for the lease to expire.
"""

from trefoilsaddle.core.claims import choose_claim_set
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.effects import Effects, SendMessage
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.membership import health_of
from trefoilsaddle.core.messages import FINAL_PROMISE, Health, Promise
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import Claim
from trefoilsaddle.core.units import FIRST_EPOCH, Moment, NodeId, ServerId
from trefoilsaddle.core.view import Role


def hand_over_roles(node: Node, moment: Moment) -> Effects:
    """Append claims that give each role to a live claim-set member."""
    if not node.stopping or node.following.log_away:
        return []
    records = []
    for server, duty in node.duties.held.items():
        successor = _choose_successor(node, duty)
        if successor is None or server in node.duties.handing_over:
            continue
        node.duties.handing_over.add(server)
        records.append(_build_claim(node, duty, successor))
    return append_records(node, moment, tuple(records)) if records else []


def send_final_promises(node: Node) -> Effects:
    """Promise holders that this member will follow no other dispatcher.

    A holder that renews its claim to replace this claim-set member then knows
    that no other dispatcher took its server over in between.
    """
    if node.duties.sent_final_promises:
        return []
    node.duties.sent_final_promises = True
    return [
        SendMessage(role.dispatcher, _build_final_promise(node, server, role))
        for server, role in node.view.roles.items()
        if node.options.node in role.claim_set
    ]


def _build_final_promise(node: Node, server: ServerId, role: Role) -> Promise:
    known = node.duties.known_terms.get(server)
    return Promise(
        server=server,
        term=role.term,
        sequence=FINAL_PROMISE,
        granted=True,
        unlogged_term=known.unlogged_term if known else FIRST_EPOCH,
    )


def _choose_successor(node: Node, duty: Duty) -> NodeId | None:
    if duty.provisional or duty.has_provisional_moves:
        return None
    alive = [
        member
        for member in duty.claim_set
        if health_of(node, member) is Health.alive
    ]
    ranked = rank_candidates(duty.server, alive)
    return ranked[0] if ranked else None


def _build_claim(node: Node, duty: Duty, successor: NodeId) -> Claim:
    claim_set = choose_claim_set(node, duty.server, successor)
    return Claim(
        record_id=make_record_id(node),
        server=duty.server,
        expected=duty.term,
        dispatcher=successor,
        claim_set=tuple(
            member for member in claim_set if member != node.options.node
        ),
        provisional=None,
    )


def has_roles(node: Node) -> bool:
    """Return whether a stopping process still has a role to hand over.

    Roles without a possible successor do not count: waiting would not help.
    """
    if node.following.log_away:
        return False
    return any(
        _choose_successor(node, duty) is not None
        for duty in node.duties.held.values()
    )
