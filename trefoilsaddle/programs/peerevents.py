"""Connect the connections to peers with the reducer."""

from trefoilsaddle.core.effects import SendMessage
from trefoilsaddle.core.events import MessageReceived, PeerLost
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.units import AttemptId, NodeId
from trefoilsaddle.logs import ShellComponent
from trefoilsaddle.metrics import Metrics, join_name
from trefoilsaddle.programs.performer import Performer
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.peers import Address, PeerListener, Peers


class PeerEvents(PeerListener):
    """Feed messages and connection losses of peers to the reducer."""

    def __init__(self, performer: Performer, metrics: Metrics) -> None:
        """Feed events through a performer."""
        self._performer = performer
        self._metrics = metrics

    def find_address(self, node: NodeId) -> Address | None:
        """Return the address from a membership update or the settings."""
        state = self._performer.node
        rumour = state.membership.processes.get(node)
        if rumour is not None:
            return Address(rumour.host, rumour.port)
        for peer in state.options.peers:
            if peer.node == node:
                return Address(peer.host, peer.port)
        return None

    def receive_message(self, sender: NodeId, message: Message) -> None:
        """Feed a message of an authenticated peer."""
        self._performer.feed_event(MessageReceived(sender, message))

    def handle_peer_loss(
        self,
        node: NodeId,
        unsent: tuple[AttemptId, ...] = (),
    ) -> None:
        """Feed the loss of a connection to a peer."""
        self._performer.feed_event(PeerLost(node, unsent))

    def count_failure(self, code: ResultCode) -> None:
        """Count a connection that was refused."""
        self._metrics.count(join_name(ShellComponent.wire.value, code.name))


class MessageSender:
    """Send the reducer's messages to peers."""

    def __init__(self, performer: Performer, peers: Peers) -> None:
        """Send over the connections to peers."""
        self._performer = performer
        self._peers = peers

    def send_message(self, effect: SendMessage) -> None:
        """Queue a message for a peer, or feed it back if sent to oneself."""
        own = self._performer.node.options.node
        if effect.node == own:
            received = MessageReceived(own, effect.message)
            self._performer.feed_event(received)
        else:
            self._peers.send_message(effect.node, effect.message)
