"""Define the result codes for callers, operators and peers.

docs/RESULTS.md has a row for each code; a test compares the two.
"""

from enum import Enum, IntEnum, unique


@unique
class Outcome(Enum):
    """Outcome of a request, as reported to its caller."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'


@unique
class ResultCode(IntEnum):
    """Number of each result; a number is never reused."""

    # Success.
    ok = 0

    # Invalid input: the request was not run.
    malformed = 100
    key_missing = 101
    service_unknown = 102
    rank_unknown = 103
    member_unknown = 104
    body_too_large = 105
    header_too_large = 106
    deadline_invalid = 107
    idempotency_key_missing = 108
    idempotency_key_invalid = 109
    idempotency_key_in_future = 110
    idempotency_key_reused = 111
    peer_unauthentic = 112
    route_unknown = 113
    header_slow = 114
    body_slow = 115

    # Refusals: the request was not run.
    deadline_unreachable = 200
    queue_full = 201
    owner_unknown = 202
    owner_changing = 203
    lease_lapsed = 204
    not_holder = 205
    fenced = 206
    shed_by_server = 207
    stopping = 208
    configuration_missing = 209
    share_exceeded = 210
    memory_bound = 211
    dispatcher_unreachable = 212
    server_unreachable = 214
    server_limited = 215
    region_unavailable = 216
    admission_limited = 217

    # The outcome is unknown.
    answer_lost = 300
    deadline_passed = 301
    server_lost = 302
    dispatcher_lost = 303
    outcome_forgotten = 304
    answer_cut_short = 305
    cancelled = 306
    # An earlier attempt with the same idempotency key has not ended.
    in_progress = 307
    server_failed = 308
    answer_too_large = 309

    # Results of the operators' commands.
    settings_invalid = 400
    configuration_invalid = 401
    version_conflict = 402
    log_unavailable = 403
    publication_unknown = 404
    peer_unreachable = 405
