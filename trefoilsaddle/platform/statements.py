"""Decode what a server states about itself in the head of an answer."""

import re
from http import HTTPStatus

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.statements import LoadReport, ServerStatement
from trefoilsaddle.http.messages import HttpAnswer
from trefoilsaddle.platform import headers as names

_YES = b'1'
# Plain decimals of up to 18 digits; anything else states nothing.
_DECIMAL = re.compile(rb'\d{1,18}(\.\d{0,18})?')
# Requests running, requests waiting and slots; the time that work takes, in
# hundredths of the usual time, may follow.
_LOAD = re.compile(rb'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?')
_USUAL_SLOWNESS = 100


def read_statement(answer: HttpAnswer) -> ServerStatement:
    """Read the statements in the head of an answer."""
    limit = answer.find_header(names.LIMIT)
    pause = None
    if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
        pause = _read_decimal(answer.find_header(names.RETRY_AFTER) or b'')
    return ServerStatement(
        limit=None if limit is None else _read_decimal(limit),
        unlimited=limit is None,
        leaving=answer.find_header(names.LEAVING) == _YES,
        pause=Seconds(pause or 0),
        load=_read_load(answer.find_header(names.LOAD) or b''),
    )


def _read_load(text: bytes) -> LoadReport | None:
    figures = _LOAD.fullmatch(text.replace(b' ', b''))
    if figures is None:
        return None
    running, waiting, slots, slowness = figures.groups(b'%d' % _USUAL_SLOWNESS)
    return LoadReport(
        int(running),
        int(waiting),
        int(slots),
        max(int(slowness), 1) / _USUAL_SLOWNESS,
    )


def _read_decimal(text: bytes) -> float | None:
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return float(text)
