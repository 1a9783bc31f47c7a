"""Meet backend servers as the reducer's effects ask."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import trio

from trefoilsaddle.backend.attempts import end_attempt, run_attempt
from trefoilsaddle.backend.exchange import ServerConnections
from trefoilsaddle.backend.grants import fail_grant, send_grant
from trefoilsaddle.backend.guard import Clock
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.effects import CancelAttempt, RunAttempt, SendGrant
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    GrantAnswered,
)
from trefoilsaddle.core.units import AttemptId, NodeId, ServerId

FindServer = Callable[[ServerId], ServerPolicy | None]


class BackendClient(ABC):
    """Reach the backend servers that the configuration names."""

    @abstractmethod
    async def send_grant(self, effect: SendGrant) -> GrantAnswered:
        """Renew grants, or probe a server that checks none."""

    @abstractmethod
    async def run_attempt(self, effect: RunAttempt) -> AttemptEnded:
        """Send a request at most once."""

    @abstractmethod
    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Close the connection of an attempt that runs or is to run.

        It ends as lost, or as unsent if no byte has left.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close every connection."""


class HttpBackendClient(BackendClient):
    """Reach backend servers over HTTP, within their connection limits."""

    def __init__(
        self,
        dispatcher: NodeId,
        find_server: FindServer,
        read_clock: Clock,
    ) -> None:
        """Connect to a server at its first request."""
        self._dispatcher = dispatcher
        self._find_server = find_server
        self._read_clock = read_clock
        self._connections: dict[ServerId, ServerConnections] = {}
        self._scopes: dict[AttemptId, trio.CancelScope] = {}
        self._cancelled: set[AttemptId] = set()

    async def send_grant(self, effect: SendGrant) -> GrantAnswered:
        """Renew grants, or probe a server that checks none."""
        connections = await self._connect(effect.server)
        if connections is None:
            return fail_grant(effect, self._read_clock())
        return await send_grant(connections, self._dispatcher, effect)

    async def run_attempt(self, effect: RunAttempt) -> AttemptEnded:
        """Send a request at most once."""
        if effect.attempt in self._cancelled:
            self._cancelled.discard(effect.attempt)
            return end_attempt(effect, AttemptVerdict.unsent)
        # Known before the first pause, so that no cancellation is missed.
        scope = trio.CancelScope()
        self._scopes[effect.attempt] = scope
        ended = await self._run(effect, scope)
        self._scopes.pop(effect.attempt)
        return ended

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Close the connection of an attempt that runs or is to run."""
        scope = self._scopes.get(effect.attempt)
        if scope is None:
            # Its task has been started and has not had its turn yet.
            self._cancelled.add(effect.attempt)
        else:
            scope.cancel()

    async def aclose(self) -> None:
        """Close every connection."""
        while self._connections:
            _, connections = self._connections.popitem()
            await connections.aclose()

    async def _run(
        self,
        effect: RunAttempt,
        scope: trio.CancelScope,
    ) -> AttemptEnded:
        connections = await self._connect(effect.server)
        if connections is None:
            return end_attempt(effect, AttemptVerdict.unsent)
        return await run_attempt(
            connections,
            self._dispatcher,
            effect,
            scope,
        )

    async def _connect(self, server: ServerId) -> ServerConnections | None:
        policy = self._find_server(server)
        if policy is None:
            return None
        known = self._connections.get(server)
        if known is not None and known.fits(policy):
            return known
        connections = ServerConnections(policy, self._read_clock)
        self._connections[server] = connections
        if known is not None:
            await known.retire()
        return connections
