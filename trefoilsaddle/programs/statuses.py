"""Map result codes to HTTP statuses."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

from trefoilsaddle.results import ResultCode

_STATUSES: Mapping[ResultCode, HTTPStatus] = MappingProxyType(
    {
        ResultCode.malformed: HTTPStatus.BAD_REQUEST,
        ResultCode.key_missing: HTTPStatus.BAD_REQUEST,
        ResultCode.service_unknown: HTTPStatus.NOT_FOUND,
        ResultCode.rank_unknown: HTTPStatus.BAD_REQUEST,
        ResultCode.member_unknown: HTTPStatus.FORBIDDEN,
        ResultCode.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        ResultCode.header_too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        ResultCode.deadline_invalid: HTTPStatus.BAD_REQUEST,
        ResultCode.idempotency_key_missing: HTTPStatus.BAD_REQUEST,
        ResultCode.idempotency_key_invalid: HTTPStatus.BAD_REQUEST,
        ResultCode.idempotency_key_in_future: HTTPStatus.BAD_REQUEST,
        ResultCode.idempotency_key_reused: HTTPStatus.UNPROCESSABLE_ENTITY,
        ResultCode.route_unknown: HTTPStatus.NOT_FOUND,
        ResultCode.header_slow: HTTPStatus.REQUEST_TIMEOUT,
        ResultCode.body_slow: HTTPStatus.REQUEST_TIMEOUT,
        ResultCode.share_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
        ResultCode.in_progress: HTTPStatus.CONFLICT,
        ResultCode.deadline_passed: HTTPStatus.GATEWAY_TIMEOUT,
    }
)

# First result codes of the groups of refusals and of unknown outcomes.
_FIRST_REFUSAL = 200
_FIRST_UNKNOWN_OUTCOME = 300


def find_status(code: ResultCode) -> HTTPStatus:
    """Return the HTTP status of an answer without a server's reply."""
    if _FIRST_REFUSAL <= code < _FIRST_UNKNOWN_OUTCOME:
        return _STATUSES.get(code, HTTPStatus.SERVICE_UNAVAILABLE)
    return _STATUSES.get(code, HTTPStatus.BAD_GATEWAY)
