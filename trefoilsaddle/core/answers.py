"""Build the answers that callers are told."""

from trefoilsaddle.core.calls import Answer, Reply
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import Outcome, ResultCode

NO_WAIT = Seconds(0)


def refuse(code: ResultCode, retry_after: Seconds = NO_WAIT) -> Answer:
    """Tell that a request was not run and never will be."""
    return Answer(Outcome.not_run, code, retry_after=retry_after)


def report_unknown(code: ResultCode) -> Answer:
    """Tell that a request may or may not have run."""
    return Answer(Outcome.unknown, code)


def wrap_reply(reply: Reply) -> Answer:
    """Tell the whole answer of the backend server."""
    return Answer(Outcome.answered, ResultCode.ok, reply)
