"""Check a caller's headers against the configuration in force."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import isfinite

from trefoilsaddle.core.calls import IdempotencyKey
from trefoilsaddle.core.configuration import Configuration, ServicePolicy
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import MemberName, Rank, Seconds, ServiceName
from trefoilsaddle.programs.headers import CallerHeader
from trefoilsaddle.results import ResultCode

_MAX_HEADER_BYTES = 16_384
_MAX_KEY_BYTES = 1024
_MAX_TOKEN_LENGTH = 128
# Maps each byte of a header to one character.
_ENCODING = 'latin-1'
_PREFIX = b'x-trefoil-'
_IDEMPOTENT = b'true'
_NOT_IDEMPOTENT = b'false'
_BOOLEANS = frozenset((_IDEMPOTENT, _NOT_IDEMPOTENT))
_DASH = '-'

Headers = Mapping[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the validated headers of a request."""

    service: ServicePolicy
    member: MemberName
    rank: Rank
    key: bytes = field(repr=False)
    idempotent: bool
    idempotency_key: IdempotencyKey | None
    remaining: Seconds


def check_head(
    pairs: Iterable[tuple[bytes, bytes]],
    configuration: Configuration | None,
) -> RequestHead | Failure:
    """Validate the headers of a request; each fault has its own code."""
    if configuration is None:
        return Failure(ResultCode.configuration_missing, 'starting')
    headers = _collect_headers(pairs)
    if isinstance(headers, Failure):
        return headers
    service = _find_service(headers, configuration)
    if isinstance(service, Failure):
        return service
    return _check_fields(headers, configuration, service)


def _collect_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers | Failure:
    headers: dict[bytes, bytes] = {}
    size = 0
    for name, text in pairs:
        size += len(name) + len(text)
        if name in headers and name.startswith(_PREFIX):
            return Failure(ResultCode.malformed, 'a header is repeated')
        headers[name] = text
    if size > _MAX_HEADER_BYTES:
        return Failure(ResultCode.header_too_large, 'too many headers')
    return headers


def _check_fields(
    headers: Headers,
    configuration: Configuration,
    service: ServicePolicy,
) -> RequestHead | Failure:
    member = _find_member(headers, configuration)
    if isinstance(member, Failure):
        return member
    rank = _find_rank(headers, configuration)
    if isinstance(rank, Failure):
        return rank
    key = _read_key(headers)
    if isinstance(key, Failure):
        return key
    remaining = _read_deadline(headers, service)
    if isinstance(remaining, Failure):
        return remaining
    token = _read_idempotency_key(headers)
    if isinstance(token, Failure):
        return token
    idempotent = headers.get(CallerHeader.idempotent) == _IDEMPOTENT
    return RequestHead(service, member, rank, key, idempotent, token, remaining)


def _find_service(
    headers: Headers,
    configuration: Configuration,
) -> ServicePolicy | Failure:
    name = ServiceName(_read_text(headers, CallerHeader.service))
    service = configuration.services.get(name)
    if service is None:
        return Failure(ResultCode.service_unknown, 'no such service')
    return service


def _find_member(
    headers: Headers,
    configuration: Configuration,
) -> MemberName | Failure:
    member = MemberName(_read_text(headers, CallerHeader.member))
    if member not in configuration.members:
        return Failure(ResultCode.member_unknown, 'no such member')
    return member


def _find_rank(
    headers: Headers, configuration: Configuration
) -> Rank | Failure:
    name = _read_text(headers, CallerHeader.rank)
    for position, policy in enumerate(configuration.ranks):
        if policy.name == name:
            return Rank(position)
    return Failure(ResultCode.rank_unknown, 'no such rank')


def _read_key(headers: Headers) -> bytes | Failure:
    key = headers.get(CallerHeader.key, b'')
    if not key:
        return Failure(ResultCode.key_missing, 'no key')
    if len(key) > _MAX_KEY_BYTES:
        return Failure(ResultCode.header_too_large, 'the key is too long')
    return key


def _read_deadline(
    headers: Headers,
    service: ServicePolicy,
) -> Seconds | Failure:
    text = headers.get(CallerHeader.deadline)
    if text is None:
        return service.longest_deadline
    seconds = _read_number(text.decode(_ENCODING))
    if seconds is None or not 0 < seconds <= service.longest_deadline:
        return Failure(ResultCode.deadline_invalid, 'not within the limit')
    return seconds


def _read_idempotency_key(headers: Headers) -> IdempotencyKey | None | Failure:
    idempotent = headers.get(CallerHeader.idempotent, _NOT_IDEMPOTENT)
    if idempotent not in _BOOLEANS:
        return Failure(ResultCode.malformed, 'neither true nor false')
    text = _read_text(headers, CallerHeader.idempotency_key)
    if not text and idempotent == _IDEMPOTENT:
        return None
    if not text:
        return Failure(ResultCode.idempotency_key_missing, 'no key')
    created, _, token = text.partition(_DASH)
    seconds = _read_number(created)
    if seconds is None or not 0 < len(token) <= _MAX_TOKEN_LENGTH:
        return Failure(ResultCode.idempotency_key_invalid, 'not time-token')
    return IdempotencyKey(seconds, token)


def _read_text(headers: Headers, name: bytes) -> str:
    return headers.get(name, b'').decode(_ENCODING)


def _read_number(text: str) -> Seconds | None:
    # Accepts plain decimals only: no sign, exponent, blank, `nan` or `1_000`.
    whole, _, fraction = text.partition('.')
    if not (whole + fraction).isdecimal() or not text.isascii():
        return None
    seconds = float(text)
    return Seconds(seconds) if isfinite(seconds) else None
