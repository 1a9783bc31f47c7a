"""Read the platform's list of hosts, which lags behind the true state."""

from abc import ABC, abstractmethod

from pydantic import BaseModel, TypeAdapter, ValidationError

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import HostState, ListedHost
from trefoilsaddle.logservice.exchange import (
    ServiceAddress,
    ServiceExchange,
    ServiceRequest,
)
from trefoilsaddle.results import ResultCode


class HostList(ABC):
    """Interface to the list of live and leaving hosts."""

    @abstractmethod
    async def read(self) -> tuple[ListedHost, ...] | Failure:
        """Read the list (log_unavailable if it is unreachable or invalid)."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close the connections to the host list service."""


class _WrittenHost(BaseModel):
    name: str
    state: HostState


_HOSTS = TypeAdapter(list[_WrittenHost])


class HttpHostList(HostList):
    """Client for the host list over HTTP."""

    def __init__(self, address: ServiceAddress) -> None:
        """Open no connection before the first request."""
        self._exchange = ServiceExchange(address)

    async def read(self) -> tuple[ListedHost, ...] | Failure:
        """Read the list (log_unavailable if it is unreachable or invalid)."""
        body = await self._exchange.request(ServiceRequest('GET', '/hosts'))
        if isinstance(body, Failure):
            return body
        try:
            hosts = _HOSTS.validate_json(body)
        except ValidationError:
            reason = 'the host list is invalid'
            return Failure(ResultCode.log_unavailable, reason)
        return tuple(ListedHost(host.name, host.state) for host in hosts)

    async def aclose(self) -> None:
        """Close the connections to the host list service."""
        await self._exchange.aclose()
