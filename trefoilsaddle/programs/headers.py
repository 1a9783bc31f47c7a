"""Define the HTTP headers for callers; see docs/CALLERS.md."""

from typing import Final


class CallerHeader:
    """Names of the headers of a request."""

    service: Final = b'x-trefoil-service'
    key: Final = b'x-trefoil-key'
    rank: Final = b'x-trefoil-rank'
    member: Final = b'x-trefoil-member'
    deadline: Final = b'x-trefoil-deadline'
    idempotent: Final = b'x-trefoil-idempotent'
    idempotency_key: Final = b'x-trefoil-idempotency-key'
    content_type: Final = b'content-type'
    content_length: Final = b'content-length'


class AnswerHeader:
    """Names of the headers of an answer."""

    outcome: Final = b'x-trefoil-outcome'
    # Number of the result code; see docs/RESULTS.md.
    result_code: Final = b'x-trefoil-result'
    retry_after: Final = b'retry-after'
    connection: Final = b'connection'
    content_type: Final = b'content-type'
    content_length: Final = b'content-length'
