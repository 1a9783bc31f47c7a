"""Choose the HTTP status of a gateway's own answer.

503 and 408 guarantee that a request has not run and never will; 502 and 504
guarantee nothing.
"""

from http import HTTPStatus

from trefoilsaddle.programs.statuses import find_status
from trefoilsaddle.results import ResultCode

# First result code of the group of refusals.
_FIRST_REFUSAL = 200


def find_refusal_status(code: ResultCode, *, not_run: bool) -> HTTPStatus:
    """Return the HTTP status for a gateway's own answer."""
    if code < _FIRST_REFUSAL:
        return find_status(code)
    if not_run:
        return HTTPStatus.SERVICE_UNAVAILABLE
    if code == ResultCode.deadline_passed:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
