"""Grant keys to the platform's servers and take them back."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import (
    OrderEnded,
    OrderTimes,
    OrderVerdict,
)
from trefoilsaddle.gateway.keys import KeyRange
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.servers import ServerLife
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.progress import Progress
from trefoilsaddle.platform import headers as names
from trefoilsaddle.platform.durations import write_duration
from trefoilsaddle.ports import Orders

# Orders go on connections that were idle for a short time only: one that the
# server just closes would leave the outcome unknown.  A new connection waits
# for a slot of a busy server, so kept ones are preferred.
_MAX_IDLE_TIME = Seconds(2)
# Largest answer to an order, and most bytes of all, in bytes: it says little
# more than its status, and the heads of 64 orders fit.
_MAX_ANSWER_BYTES = 65_536
_MAX_HELD_BYTES = 4_194_304


# Statuses that say that an order was not carried out and never will be.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True, slots=True)
class _Receiver:
    """Name the server that an order is for, and where it was."""

    life: ServerLife
    host: str
    port: int


class PlatformOrders(Orders):
    """Call servers over HTTP."""

    def __init__(
        self,
        grant_timeout: Seconds,
        release_timeout: Seconds,
    ) -> None:
        """Connect to each server at the first order."""
        self._grant_timeout = grant_timeout
        self._release_timeout = release_timeout
        self._budget = AnswerBudget(_MAX_ANSWER_BYTES, _MAX_HELD_BYTES)
        self._pools: dict[str, ConnectionPool] = {}

    def list_pools(self) -> Iterable[ConnectionPool]:
        """Return the connections to servers."""
        return self._pools.values()

    async def grant(self, effect: GrantKeys) -> OrderEnded:
        """Grant keys, or renew a grant."""
        body = _write_order(effect.keys, effect.fence)
        # Lasts from the arrival of the call, by the server's clock.
        body['hold_time'] = write_duration(effect.hold)
        if effect.handover:
            body['handover'] = effect.handover
        server = effect.server
        progress = Progress()
        answer = await self._call(
            _Receiver(server.life, server.host, server.port),
            names.GRANT_PATH,
            body,
            self._grant_timeout,
            progress,
        )
        return OrderEnded(
            server.service,
            effect.keys,
            server.life,
            effect.fence,
            release=False,
            verdict=_evaluate_answer(answer),
            handover='',
            times=_read_times(progress),
        )

    async def release(self, effect: ReleaseKeys) -> OrderEnded:
        """Take keys back; ends when their work has ended."""
        progress = Progress()
        answer = await self._call(
            _Receiver(effect.life, effect.host, effect.port),
            names.RELEASE_PATH,
            _write_order(effect.keys, effect.fence),
            self._release_timeout,
            progress,
        )
        handover = None
        if isinstance(answer, HttpAnswer):
            handover = answer.find_header(names.HANDOVER)
        return OrderEnded(
            effect.service,
            effect.keys,
            effect.life,
            effect.fence,
            release=True,
            verdict=_evaluate_answer(answer),
            handover='' if handover is None else handover.decode('latin-1'),
            times=_read_times(progress),
        )

    async def _call(
        self,
        receiver: _Receiver,
        path: bytes,
        body: dict[str, object],
        timeout: Seconds,
        progress: Progress,
    ) -> HttpAnswer | Fault:
        address = f'{receiver.host}:{receiver.port}'
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                receiver.host,
                receiver.port,
                CONNECT_TIMEOUT,
                budget=self._budget,
            )
            self._pools[address] = pool
        encoded = json.dumps(body).encode()
        request = HttpRequest(
            b'POST',
            path,
            (
                (names.HOST, address.encode()),
                # Another server may have the address meanwhile.
                (names.EXPECTED_SERVER, receiver.life.server.encode()),
                names.JSON_TYPE,
                (names.LENGTH, b'%d' % len(encoded)),
            ),
            encoded,
        )
        stream = await pool.open(_MAX_IDLE_TIME)
        if stream is None:
            return Fault.unsent
        # The time counts from the sending: what was not sent cannot run.
        return await pool.exchange_on(
            stream, request, progress=progress, timeout=timeout
        )


def _read_times(progress: Progress) -> OrderTimes:
    return OrderTimes(
        Seconds(0),
        progress.connected,
        progress.written,
        progress.read(),
    )


def _write_order(keys: KeyRange, fence: int) -> dict[str, object]:
    return {
        'from': keys.first,
        # The last key of the range, not where it goes.
        'target': keys.last,
        'fence': fence,
    }


def _evaluate_answer(answer: HttpAnswer | Fault) -> OrderVerdict:
    if answer == Fault.unsent:
        return OrderVerdict.rejected
    if isinstance(answer, Fault):
        return OrderVerdict.unknown
    if answer.status == HTTPStatus.OK:
        return OrderVerdict.done
    if answer.status == HTTPStatus.CONFLICT:
        return OrderVerdict.fenced
    if answer.status in _NOT_RUN_STATUSES:
        return OrderVerdict.rejected
    # Every other failure leaves open whether the order was carried out.
    return OrderVerdict.unknown
