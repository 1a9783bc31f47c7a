"""Check key hashes and rendezvous ranking."""

import pytest

from trefoilsaddle.core.hashing import hash_key, rank_candidates
from trefoilsaddle.core.units import MemberName, NodeId, ServiceName

_CATALOGUE = ServiceName('catalogue')


@pytest.mark.parametrize(
    ('one', 'other'),
    [
        (('north', b'door'), ('south', b'door')),
        (('north', b'door'), ('north', b'doors')),
        (('ab', b'c'), ('a', b'bc')),
    ],
)
def test_members_keys_are_kept_apart(
    one: tuple[str, bytes],
    other: tuple[str, bytes],
) -> None:
    """Hash equal keys of two members, and shifted boundaries, differently."""
    hashes = {
        hash_key(_CATALOGUE, MemberName(member), key)
        for member, key in (one, other)
    }
    assert len(hashes) == 2


def test_candidates_keep_their_order_when_one_is_lost() -> None:
    """Keep the order of the remaining candidates when one drops out."""
    nodes = [NodeId(f'node-{number}') for number in range(9)]
    ranked = rank_candidates('server-1', nodes)
    rest = [node for node in nodes if node != ranked[4]]
    assert rank_candidates('server-1', rest) == ranked[:4] + ranked[5:]
