"""Hash keys to shards and order candidates by rendezvous hashing."""

from collections.abc import Iterable
from typing import TypeVar

from xxhash import xxh3_64_intdigest

from trefoilsaddle.core.units import MemberName, ServiceName

# Distinguishes ('ab', 'c') from ('a', 'bc').
_SEPARATOR = b'\0'
_LENGTH_BYTES = 8

_Candidate = TypeVar('_Candidate', bound=str)


def hash_key(service: ServiceName, member: MemberName, key: bytes) -> int:
    """Hash a member's key of a service to 64 bits."""
    parts = (service.encode(), member.encode(), key)
    return xxh3_64_intdigest(_SEPARATOR.join(parts))


def rank_candidates(
    subject: str,
    candidates: Iterable[_Candidate],
) -> list[_Candidate]:
    """Order candidates for a subject, identically in every process."""
    prefix = subject.encode() + _SEPARATOR
    return sorted(
        candidates,
        key=lambda candidate: xxh3_64_intdigest(prefix + candidate.encode()),
        reverse=True,
    )


def hash_parts(parts: Iterable[bytes]) -> int:
    """Hash a sequence of byte strings and their lengths to 64 bits."""
    whole = b''.join(
        len(part).to_bytes(_LENGTH_BYTES, 'big') + part for part in parts
    )
    return xxh3_64_intdigest(whole)
