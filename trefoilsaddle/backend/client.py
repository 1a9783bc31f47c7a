"""Carry out the reducer's effects that concern backend servers."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import trio

from trefoilsaddle.backend.attempts import build_unanswered, run_attempt
from trefoilsaddle.backend.exchange import ServerConnections
from trefoilsaddle.backend.grants import build_failed_grant, send_grant
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
    """Interface to the backend servers of the configuration."""

    @abstractmethod
    async def send_grant(self, effect: SendGrant) -> GrantAnswered:
        """Renew grants, or probe a server that does not check grants."""

    @abstractmethod
    async def run_attempt(self, effect: RunAttempt) -> AttemptEnded:
        """Send a request at most once and return how the attempt ended."""

    @abstractmethod
    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Close the connection of an attempt that is running or not yet started.

        The attempt ends as lost, or as unsent if no byte has been sent.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close the connections to all servers."""


class HttpBackendClient(BackendClient):
    """HTTP client that keeps to the connection limit of each server."""

    def __init__(
        self,
        dispatcher: NodeId,
        find_server: FindServer,
        read_clock: Clock,
    ) -> None:
        """Open no connection before the first request to a server."""
        self._dispatcher = dispatcher
        self._find_server = find_server
        self._read_clock = read_clock
        self._connections: dict[ServerId, ServerConnections] = {}
        self._scopes: dict[AttemptId, trio.CancelScope] = {}
        self._cancelled: set[AttemptId] = set()

    async def send_grant(self, effect: SendGrant) -> GrantAnswered:
        """Renew grants, or probe a server that does not check grants."""
        connections = await self._connect(effect.server)
        if connections is None:
            return build_failed_grant(effect, self._read_clock())
        return await send_grant(connections, self._dispatcher, effect)

    async def run_attempt(self, effect: RunAttempt) -> AttemptEnded:
        """Send a request at most once and return how the attempt ended."""
        if effect.attempt in self._cancelled:
            self._cancelled.discard(effect.attempt)
            return build_unanswered(effect, AttemptVerdict.unsent)
        # Registered before the first await, so that no cancellation is missed.
        scope = trio.CancelScope()
        self._scopes[effect.attempt] = scope
        ended = await self._run(effect, scope)
        self._scopes.pop(effect.attempt)
        return ended

    def cancel_attempt(self, effect: CancelAttempt) -> None:
        """Cancel a running attempt, or mark one that has not started."""
        scope = self._scopes.get(effect.attempt)
        if scope is None:
            # The task of the attempt is scheduled but has not run yet.
            self._cancelled.add(effect.attempt)
        else:
            scope.cancel()

    async def aclose(self) -> None:
        """Close the connections to all servers."""
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
            return build_unanswered(effect, AttemptVerdict.unsent)
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
