"""Define what a gateway needs of the platform that it runs on.

One implementation speaks to the users' platform, `trefoilsaddle.platform`;
tests run it against small stand-ins of that platform.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AppendTable,
    GrantKeys,
    JoinGroup,
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
    TopicRead,
)
from trefoilsaddle.http.callers import BadInput
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest


class Store(ABC):
    """Read and write what lasts."""

    @abstractmethod
    async def read(self, effect: ReadTopic) -> TopicRead:
        """Read records of a topic."""

    @abstractmethod
    async def append(self, effect: AppendTable) -> AppendEnded:
        """Store a table at the expected position, or tell why not."""

    @abstractmethod
    async def join(self, effect: JoinGroup) -> JoinEnded:
        """Stay a member of the group of gateways."""

    @abstractmethod
    async def leave(self) -> None:
        """Leave the group of gateways."""

    @abstractmethod
    def decode_configuration(self, encoded: bytes) -> Configuration | Failure:
        """Read a configuration that another gateway passed on."""


class Orders(ABC):
    """Grant keys to servers and take them back."""

    @abstractmethod
    async def grant(self, effect: GrantKeys) -> OrderEnded:
        """Grant keys, or renew a grant."""

    @abstractmethod
    async def release(self, effect: ReleaseKeys) -> OrderEnded:
        """Take keys back; ends when their work has ended."""


@dataclass(frozen=True, slots=True)
class RefusalText:
    """Hold what a caller is told when no server answered."""

    status: int
    retry_after: float
    sentence: str


class Dialect(ABC):
    """Translate requests and answers between callers and servers."""

    @abstractmethod
    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Tell whether the platform asks if callers are taken."""

    @abstractmethod
    def read_head(self, request: HttpRequest) -> RequestHead | BadInput:
        """Read what decides about a caller's request."""

    @abstractmethod
    def build_attempt(
        self,
        request: HttpRequest,
        effect: SendAttempt,
    ) -> HttpRequest:
        """Build what is sent to a server."""

    @abstractmethod
    def matches(self, answer: HttpAnswer, request_id: str) -> bool:
        """Tell whether a server's answer belongs to a request."""

    @abstractmethod
    def evaluate_answer(
        self, answer: HttpAnswer, request_id: str
    ) -> AttemptVerdict:
        """Tell how a request ended, from a server's whole answer."""

    @abstractmethod
    def build_answer(self, answer: HttpAnswer) -> HttpAnswer:
        """Build what a caller gets of a server's answer."""

    @abstractmethod
    def build_refusal(
        self, refusal: RefusalText, request_id: str
    ) -> HttpAnswer:
        """Build the answer to a request that no server answered."""
