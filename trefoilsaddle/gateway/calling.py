"""Send the orders that are due, the most urgent ones first.

A bounded number is on the way at a time, so that the time of a call passes at
the server and not in the queue of this process.  An order that has to wait is
chosen anew whenever one ends: nothing is queued that may be out of date.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Effects
from trefoilsaddle.gateway.election import may_renew
from trefoilsaddle.gateway.granting import grant, is_release_late, release
from trefoilsaddle.gateway.pacing import (
    find_renewal_slack,
    find_room,
)
from trefoilsaddle.gateway.pieces import Piece, PieceState
from trefoilsaddle.gateway.state import Gateway

_ENDING = frozenset((PieceState.releasing, PieceState.lapsing))


@dataclass(frozen=True, slots=True)
class _Due:
    """Hold an order that may be sent, and until when it does no harm."""

    deadline: Seconds
    keyed: KeyedControl
    piece: Piece


def send_orders(gateway: Gateway, now: Seconds) -> Effects:
    """Send as many grants and releases as may be on the way."""
    effects: Effects = []
    pieces = list(_list_pieces(gateway))
    if may_renew(gateway, now):
        for due in _choose(gateway, pieces, now, ending=False):
            effects.extend(grant(gateway, due.keyed, due.piece, now))
    for due in _choose(gateway, pieces, now, ending=True):
        effects.extend(release(gateway, due.keyed, due.piece))
    return effects


def _list_pieces(gateway: Gateway) -> Iterator[tuple[KeyedControl, Piece]]:
    for keyed in gateway.control.keyed.values():
        for piece in keyed.pieces.ordered:
            yield keyed, piece


def _choose(
    gateway: Gateway,
    pieces: list[tuple[KeyedControl, Piece]],
    now: Seconds,
    *,
    ending: bool,
) -> list[_Due]:
    """Return the most urgent orders; releases wait on their own."""
    # A release is answered when the work on its keys has ended: grants do
    # not wait for that.
    kind = [
        (keyed, piece)
        for keyed, piece in pieces
        if _may_call(piece, ending=ending)
    ]
    calling = sum(piece.calling for _, piece in kind)
    due = [
        _Due(_find_deadline(gateway, keyed, piece), keyed, piece)
        for keyed, piece in kind
        if _is_due(piece, now)
    ]
    due.sort(key=lambda order: (order.deadline, order.piece.keys))
    return due[: find_room(gateway, calling)]


def _may_call(piece: Piece, *, ending: bool) -> bool:
    return piece.state in _ENDING if ending else piece.granted


def _is_due(piece: Piece, now: Seconds) -> bool:
    if piece.calling or now < piece.next_call:
        return False
    return not is_release_late(piece, now)


def _find_deadline(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
) -> Seconds:
    if not piece.serving:
        # Callers wait for keys that no server serves.
        return piece.next_call
    return Seconds(piece.next_call + find_renewal_slack(gateway))
