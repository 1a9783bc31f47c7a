"""Define the interfaces between a gateway and the platform that it runs on.

`trefoilsaddle.platform` implements them for the users' platform; tests run it
against small stand-ins of that platform.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AppendTable,
    GrantKeys,
    JoinGroup,
    ProbeServer,
    ReadTopic,
    ReleaseKeys,
    SendAttempt,
)
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AttemptVerdict,
    JoinEnded,
    OrderEnded,
    RequestHead,
    ServerProbed,
    TopicRead,
)
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.requests import BadInput


class Store(ABC):
    """Access the metadata store and the group of gateways."""

    @abstractmethod
    async def read(self, effect: ReadTopic) -> TopicRead:
        """Read a topic from an offset, or the newest record of each key."""

    @abstractmethod
    async def append(self, effect: AppendTable) -> AppendEnded:
        """Append a table if the topic ends at the expected offset."""

    @abstractmethod
    async def join(self, effect: JoinGroup) -> JoinEnded:
        """Join the group of gateways, or renew the membership."""

    @abstractmethod
    async def leave(self) -> None:
        """Leave the group of gateways."""

    @abstractmethod
    def decode_configuration(self, encoded: bytes) -> Configuration | Failure:
        """Decode a configuration that another gateway sent."""


class Orders(ABC):
    """Send grant and release calls to servers."""

    @abstractmethod
    async def grant(self, effect: GrantKeys) -> OrderEnded:
        """Grant a key range, or renew its grant."""

    @abstractmethod
    async def release(self, effect: ReleaseKeys) -> OrderEnded:
        """Revoke a key range; return when the server has ended its work."""


class Probes(ABC):
    """Ask servers for their health."""

    @abstractmethod
    async def probe(self, effect: ProbeServer) -> ServerProbed:
        """Ask a server for its health; no answer states nothing."""


@dataclass(frozen=True, slots=True)
class RefusalText:
    """Hold the content of an answer that the gateway gives itself."""

    status: int
    retry_after: float
    message: str


class Dialect(ABC):
    """Implement the HTTP conventions of callers and servers."""

    @abstractmethod
    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is the platform's readiness probe."""

    @abstractmethod
    def read_head(self, request: HttpRequest) -> RequestHead | BadInput:
        """Read the headers that decide how a caller's request is routed."""

    @abstractmethod
    def build_attempt(
        self,
        request: HttpRequest,
        effect: SendAttempt,
    ) -> HttpRequest:
        """Build the request that is sent to a server."""

    @abstractmethod
    def matches(self, answer: HttpAnswer, request_id: str) -> bool:
        """Return whether an answer echoes the request ID."""

    @abstractmethod
    def evaluate_answer(
        self, answer: HttpAnswer, request_id: str
    ) -> AttemptVerdict:
        """Classify the outcome of an attempt from the server's answer."""

    @abstractmethod
    def read_statement(self, head: HttpAnswer) -> ServerStatement:
        """Read what a server states in the head of an answer."""

    @abstractmethod
    def build_answer(self, answer: HttpAnswer) -> HttpAnswer:
        """Build the caller's answer from a server's answer."""

    @abstractmethod
    def build_refusal(
        self, refusal: RefusalText, request_id: str
    ) -> HttpAnswer:
        """Build the gateway's own answer to a request."""
