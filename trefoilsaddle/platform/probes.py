"""Ask servers for their health, which says how long they stay cold."""

import re
from collections.abc import Iterable

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import ProbeServer
from trefoilsaddle.gateway.events import ServerProbed
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.platform import headers as names
from trefoilsaddle.ports import Probes

# A probe ends before the next one of the same server, a second later.
_TIMEOUT = Seconds(0.8)
# Seconds for which a connection is kept, longer than the interval of probes.
_MAX_IDLE_TIME = Seconds(2.5)
# Limits in bytes on one answer and on all answers together.
_MAX_ANSWER_BYTES = 65_536
_MAX_HELD_BYTES = 4_194_304
_MILLISECONDS = 1000
# Plain decimals; anything else states nothing.
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,9})?')


class PlatformProbes(Probes):
    """Send probes over HTTP, on a kept connection to each server."""

    def __init__(self) -> None:
        """Open the connection to each server at its first probe."""
        self._budget = AnswerBudget(_MAX_ANSWER_BYTES, _MAX_HELD_BYTES)
        self.traffic = self._budget.traffic
        self._pools: dict[str, ConnectionPool] = {}

    def list_pools(self) -> Iterable[ConnectionPool]:
        """Return the connection pools of all servers."""
        return self._pools.values()

    async def probe(self, effect: ProbeServer) -> ServerProbed:
        """Ask a server for its health; no answer states nothing."""
        server = effect.server
        address = f'{server.host}:{server.port}'
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                server.host, server.port, CONNECT_TIMEOUT, budget=self._budget
            )
            self._pools[address] = pool
        host = (names.HOST, address.encode())
        request = HttpRequest(b'GET', effect.path.encode(), (host,), b'')
        left = Seconds(0)
        with trio.move_on_after(_TIMEOUT):
            answer = await pool.exchange(request, _MAX_IDLE_TIME)
            if isinstance(answer, HttpAnswer):
                left = _read_left(answer, server.life.server.encode())
        return ServerProbed(server.life, left)


def _read_left(answer: HttpAnswer, server: bytes) -> Seconds:
    # The address may have passed to another server.
    if answer.find_header(names.INSTANCE) != server:
        return Seconds(0)
    text = answer.find_header(names.WARM_UP) or b''
    if _DECIMAL.fullmatch(text.strip()) is None:
        return Seconds(0)
    return Seconds(float(text) / _MILLISECONDS)
