"""Build answers to callers."""

from trefoilsaddle.core.calls import Answer, Reply
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import Outcome, ResultCode

NO_WAIT = Seconds(0)


def refuse(code: ResultCode, retry_after: Seconds = NO_WAIT) -> Answer:
    """Build the answer to a request that has not run and never will."""
    return Answer(Outcome.not_run, code, retry_after=retry_after)


def report_unknown(code: ResultCode) -> Answer:
    """Build the answer to a request that may or may not have run."""
    return Answer(Outcome.unknown, code)


def wrap_reply(reply: Reply) -> Answer:
    """Build the answer that carries a backend server's reply."""
    return Answer(Outcome.answered, ResultCode.ok, reply)
