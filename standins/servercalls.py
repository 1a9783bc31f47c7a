"""Parse the HTTP requests that a backend server receives."""

from pydantic import BaseModel

from standins.httpshell import HttpRequest
from standins.serverstate import GrantCall, RunCall
from trefoilsaddle.core.events import GrantedShard, ServerStamp
from trefoilsaddle.core.units import (
    Epoch,
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    ShardId,
    ShardNumber,
)


class GrantBody(BaseModel):
    """JSON body of a grant call."""

    dispatcher: str
    term: tuple[int, int]
    sequence: int
    duration: float
    whole: bool
    granted: list[tuple[str, int, int, int]]
    revoked: list[tuple[str, int]]
    stamp: ServerStamp | None = None

    def to_grant_call(self) -> GrantCall:
        """Convert the body to a GrantCall."""
        return GrantCall(
            dispatcher=NodeId(self.dispatcher),
            term=Epoch(Offset(self.term[0]), self.term[1]),
            sequence=self.sequence,
            duration=Seconds(self.duration),
            whole=self.whole,
            granted=tuple(
                GrantedShard(
                    ShardId(ServiceName(service), ShardNumber(number)),
                    Epoch(Offset(offset), sequence),
                )
                for service, number, offset, sequence in self.granted
            ),
            revoked=tuple(
                ShardId(ServiceName(service), ShardNumber(number))
                for service, number in self.revoked
            ),
            stamp=self.stamp,
        )


def read_epoch(text: str) -> Epoch:
    """Parse an epoch in the format of the headers, such as `12.0`."""
    offset, _, sequence = text.partition('.')
    return Epoch(Offset(int(offset)), int(sequence))


def read_run_call(request: HttpRequest) -> RunCall:
    """Parse the headers of a request; raise ValueError or KeyError."""
    headers = {
        name.removeprefix('x-trefoil-'): text
        for name, text in request.headers.items()
    }
    service, _, number = headers['shard'].rpartition('/')
    return RunCall(
        service=headers['service'],
        member=headers['member'],
        key=headers['key'],
        shard=ShardId(ServiceName(service), ShardNumber(int(number))),
        term=read_epoch(headers['term']),
        epoch=read_epoch(headers['epoch']),
        dispatcher=NodeId(headers['dispatcher']),
        attempt=headers['attempt'],
        path=request.path,
        remaining=Seconds(float(headers['deadline'])),
    )
