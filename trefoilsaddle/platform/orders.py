"""Send grant and release calls to the platform's servers."""

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
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.progress import Progress
from trefoilsaddle.platform import headers as names
from trefoilsaddle.platform.durations import write_duration
from trefoilsaddle.platform.statements import read_statement
from trefoilsaddle.ports import Orders

# Seconds.  Only connections with a short idle time are reused: if the server
# closes one just as a call is sent, the outcome of the call is unknown.  A new
# connection waits for a slot of a busy server, so grants prefer pooled ones.
# Releases are rare, and each has a connection of its own.
_MAX_IDLE_TIME = Seconds(2)
# Limits in bytes on one answer and on all answers together.  An answer holds
# little more than its status; the total fits the headers of 64 calls.
_MAX_ANSWER_BYTES = 65_536
_MAX_HELD_BYTES = 4_194_304


# Statuses by which a server indicates that a call was not carried out and never
# will be.
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
    """Identify a server and the address that it had."""

    incarnation: ServerIncarnation
    host: str
    port: int


class PlatformOrders(Orders):
    """Send grant and release calls over HTTP."""

    def __init__(
        self,
        grant_timeout: Seconds,
        release_timeout: Seconds,
    ) -> None:
        """Open the connection to each server at its first call."""
        self._grant_timeout = grant_timeout
        self._release_timeout = release_timeout
        self._budget = AnswerBudget(_MAX_ANSWER_BYTES, _MAX_HELD_BYTES)
        self.traffic = self._budget.traffic
        self._pools: dict[str, ConnectionPool] = {}

    def list_pools(self) -> Iterable[ConnectionPool]:
        """Return the connection pools of all servers."""
        return self._pools.values()

    async def grant(self, effect: GrantKeys) -> OrderEnded:
        """Grant a key range, or renew its grant."""
        body = _build_body(effect.keys, effect.fence)
        # Counted by the server's clock from the arrival of the call.
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
            verdict=_evaluate_answer(answer, release=False),
            handover='',
            times=_build_times(progress),
            statement=_read_statement(progress),
        )

    async def release(self, effect: ReleaseKeys) -> OrderEnded:
        """Revoke a key range; return when the server has ended its work.

        Answers name no call.  The call has a connection of its own, so that no
        late answer to an earlier call counts as its answer: the keys would be
        granted to another server while this one is at work on them.
        """
        progress = Progress()
        answer = await self._call(
            _Receiver(effect.incarnation, effect.host, effect.port),
            names.RELEASE_PATH,
            _build_body(effect.keys, effect.fence),
            self._release_timeout,
            progress,
            new=True,
        )
        handover = None
        if isinstance(answer, HttpAnswer):
            handover = answer.find_header(names.HANDOVER)
        return OrderEnded(
            effect.service,
            effect.keys,
            effect.incarnation,
            effect.fence,
            release=True,
            verdict=_evaluate_answer(answer, release=True),
            handover='' if handover is None else handover.decode('latin-1'),
            times=_build_times(progress),
            statement=_read_statement(progress),
        )

    async def _call(
        self,
        receiver: _Receiver,
        path: bytes,
        body: dict[str, object],
        timeout: Seconds,
        progress: Progress,
        *,
        new: bool = False,
    ) -> HttpAnswer | Fault:
        address = f'{receiver.host}:{receiver.port}'
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                receiver.host,
                receiver.port,
                CONNECT_TIMEOUT,
                budget=self._budget,
                keeps=_is_repeatable,
            )
            self._pools[address] = pool
        encoded = json.dumps(body).encode()
        request = HttpRequest(
            b'POST',
            path,
            (
                (names.HOST, address.encode()),
                # The address may have passed to another server.
                (names.EXPECTED_SERVER, receiver.incarnation.server.encode()),
                names.JSON_TYPE,
                (names.LENGTH, b'%d' % len(encoded)),
            ),
            encoded,
        )
        stream = await pool.open(_MAX_IDLE_TIME, new=new)
        if stream is None:
            return Fault.unsent
        # The timeout starts with the sending: a call that was not sent cannot
        # be carried out.
        return await pool.exchange_on(
            stream, request, progress=progress, timeout=timeout
        )


def _read_statement(progress: Progress) -> ServerStatement | None:
    return None if progress.head is None else read_statement(progress.head)


def _build_times(progress: Progress) -> OrderTimes:
    return OrderTimes(
        Seconds(0),
        progress.connected,
        progress.written,
        progress.read(),
    )


def _build_body(keys: KeyRange, fence: int) -> dict[str, object]:
    return {
        'from': keys.first,
        # The last key of the range, not a destination.
        'target': keys.last,
        'fence': fence,
    }


def _is_repeatable(answer: HttpAnswer) -> bool:
    """Return whether a late copy of an answer could do no harm to a grant.

    A copied refusal would end the hold of a grant that is in force, or make
    the controller step down.  A copied 200 only makes the controller count on
    a grant for longer than its server does.
    """
    return answer.status == HTTPStatus.OK and not _is_released(answer)


def _is_released(answer: HttpAnswer) -> bool:
    """Return whether only the answer to a release can be like this."""
    return answer.find_header(names.HANDOVER) is not None


def _evaluate_answer(
    answer: HttpAnswer | Fault, *, release: bool
) -> OrderVerdict:
    if answer == Fault.unsent:
        return OrderVerdict.rejected
    if isinstance(answer, Fault):
        return OrderVerdict.unknown
    if answer.status == HTTPStatus.OK:
        # Otherwise it is the answer to another call.
        own = _is_released(answer) == release
        return OrderVerdict.done if own else OrderVerdict.unknown
    if answer.status == HTTPStatus.CONFLICT:
        return OrderVerdict.fenced
    if answer.status in _NOT_RUN_STATUSES:
        return OrderVerdict.rejected
    # Any other status leaves open whether the call was carried out.
    return OrderVerdict.unknown
