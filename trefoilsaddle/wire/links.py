"""Send and receive frames on the connection to one peer."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from trio import CancelScope, Event, open_nursery

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import Forward, Message
from trefoilsaddle.core.units import AttemptId, NodeId
from trefoilsaddle.wire.codec import decode_message, encode_message
from trefoilsaddle.wire.framing import FrameStream, pack_frame

Receive = Callable[[NodeId, Message], None]


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """Hold a packed message that has not been sent."""

    frame: bytes = field(repr=False)
    # The attempt, if the message forwards a request.
    attempt: AttemptId | None


class Link:
    """Queue frames for one peer and send them once it is connected.

    The queue is bounded, so that a peer that stops reading costs little memory
    and does not delay other peers.
    """

    def __init__(self, node: NodeId, max_queue_bytes: int) -> None:
        """Queue up to `max_queue_bytes` of frames for a peer."""
        self.node = node
        self.scope = CancelScope()
        self._max_queue_bytes = max_queue_bytes
        self._queue: deque[QueuedMessage] = deque()
        self._queued_bytes = 0
        self._filled = Event()
        self._emptied = Event()
        self._emptied.set()

    def enqueue(self, queued: QueuedMessage) -> bool:
        """Queue a message; close the connection if the queue overflows."""
        self._queue.append(queued)
        self._queued_bytes += len(queued.frame)
        if self._queued_bytes > self._max_queue_bytes:
            self.scope.cancel()
            return False
        self._filled.set()
        if self._emptied.is_set():
            self._emptied = Event()
        return True

    def list_unsent(self) -> tuple[AttemptId, ...]:
        """Return the forwarded attempts of which no byte has been sent."""
        attempts = [queued.attempt for queued in self._queue]
        return tuple(attempt for attempt in attempts if attempt is not None)

    async def flush(self) -> None:
        """Wait until all queued messages have been sent."""
        await self._emptied.wait()

    async def run(self, frames: FrameStream, receive: Receive) -> None:
        """Send and receive until either end closes the connection."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._send_queue, frames, nursery.cancel_scope)
            await self._receive_messages(frames, receive)
            nursery.cancel_scope.cancel()
        self._emptied.set()

    async def _send_queue(
        self, frames: FrameStream, connection_scope: CancelScope
    ) -> None:
        while True:
            await self._filled.wait()
            if await frames.send(self._drain_queue()) is not None:
                connection_scope.cancel()
                return
            if not self._queue:
                self._emptied.set()

    def _drain_queue(self) -> bytes:
        joined = b''.join([queued.frame for queued in self._queue])
        self._queue.clear()
        self._queued_bytes = 0
        self._filled = Event()
        return joined

    async def _receive_messages(
        self,
        frames: FrameStream,
        receive: Receive,
    ) -> None:
        while True:
            payload = await frames.receive()
            if isinstance(payload, Failure):
                return
            message = decode_message(payload)
            if isinstance(message, Failure):
                return
            receive(self.node, message)


def pack_message(message: Message) -> QueuedMessage:
    """Encode a message as a frame for the queue."""
    frame = pack_frame(encode_message(message))
    attempt = message.attempt if isinstance(message, Forward) else None
    return QueuedMessage(frame, attempt)
