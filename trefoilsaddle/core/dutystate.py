"""Hold the state of the roles that a dispatcher has taken."""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.events import ServerStamp
from trefoilsaddle.core.messages import PromiseRequest, ProvisionalClaim
from trefoilsaddle.core.records import Move, MovedShard
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    NO_OFFSET,
    Epoch,
    NodeId,
    Offset,
    RecordId,
    Seconds,
    ServerId,
    ShardId,
    ZoneName,
)
from trefoilsaddle.core.view import Role

NEVER = Seconds(float('-inf'))

# Unanswered calls in a row after which a server is thought lost.
SUSPICIOUS_FAILURES = 2


@unique
class MoveStage(Enum):
    """Name the steps of a move, in their order."""

    # Not dispatched any more; requests in flight end.
    draining = 'draining'
    # The server is asked to give the shard up, or its grants run out.
    revoking = 'revoking'
    # The server holds the shard no more; claim-set members are told.
    sharing = 'sharing'
    # The record is appended; only the log can say what became of it.
    appending = 'appending'
    # In force without the log, acknowledged by the whole claim set.
    provisional = 'provisional'


# From here on the former owner must not be served again until the log says.
IRREVOCABLE = frozenset(
    (
        MoveStage.sharing,
        MoveStage.appending,
        MoveStage.provisional,
    )
)


@dataclass(slots=True)
class ShardMove:
    """Hold the progress of one shard that leaves a server."""

    target: ServerId
    expected: Epoch
    stage: MoveStage
    started: Seconds
    # Sequence of the grant call that revokes the shard, once it is sent.
    revoked_by: int = 0
    record_id: RecordId | None = None
    # Epoch in force at the target without the log, if any.
    provisional: Epoch | None = None


@dataclass(slots=True)
class SharedMove:
    """Hold a batch of moves that claim-set members are to acknowledge."""

    record: Move
    acknowledged: set[NodeId] = field(default_factory=set)
    queued: bool = False
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class PendingGrant:
    """Remember what a grant call asked for, until it is answered."""

    granted: dict[ShardId, Epoch]
    whole: bool
    stamp: ServerStamp | None
    # When the call was sent that the server stamped.
    stamp_sent: Seconds
    duration: Seconds


@dataclass(slots=True)
class GrantState:
    """Hold what a server is known to have been granted."""

    sequence: int = 0
    stamp: ServerStamp | None = None
    # Run of the server that was met while no one else could act for it.
    trusted_instance: str = ''
    # Sequence of the call whose answer carried the stamp.
    stamp_sequence: int = 0
    # No later than the stamp was made, and no earlier.
    stamp_sent: Seconds = NEVER
    stamp_received: Seconds = NEVER
    pending: dict[int, PendingGrant] = field(default_factory=dict)
    # Shards that the server has accepted, with their epochs.
    accepted: dict[ShardId, Epoch] = field(default_factory=dict)
    # The grants are sure to hold until here.
    valid_until: Seconds = NEVER
    # The grants are sure to have lapsed after this.
    lapsed_after: Seconds = NEVER
    # True once the server has accepted the present term.
    contacted: bool = False
    # True once the server is known to hold the whole set of shards.
    synced: bool = False
    answered_at: Seconds = NEVER
    failures: int = 0
    draining: bool = False

    @property
    def silent(self) -> bool:
        """Tell that several calls in a row got no answer."""
        return self.failures >= SUSPICIOUS_FAILURES


@dataclass(slots=True)
class Duty:
    """Hold the role of the only dispatcher of one server."""

    server: ServerId
    term: Epoch
    claim_set: tuple[NodeId, ...]
    # Members of the claim set before, who may hold up the old dispatcher.
    former_members: tuple[NodeId, ...]
    former_dispatcher: NodeId | None
    started: Seconds
    # Term of the former dispatcher.
    former_term: Epoch = FIRST_EPOCH
    # Claim set under which the server last followed this process; until it
    # follows the present term, one of these may take it over unseen.
    confirmed_members: tuple[NodeId, ...] = ()
    # Our own term that this one replaced, if the server followed it.
    renewed_from: Epoch | None = None
    # True if nobody else can have served the server since that term.
    continuous: bool = False
    # Greatest term without the log of each member that has left.
    final_terms: dict[NodeId, Epoch] = field(default_factory=dict)
    # False if the former role is not known for certain.
    former_known: bool = True
    # True if the server has followed an earlier term of this process, so
    # that no dispatcher before it can act.
    contacted_before: bool = False
    # True once the former dispatcher has said that it sends nothing more.
    released: bool = False
    # True once the zone was told of a role taken without the log.
    announced: bool = False
    # True if the role was taken from outside the claim set.
    outsider: bool = False
    # True while only the server's fence has confirmed the term.
    provisional: bool = False
    # The former dispatcher's lease has run out after this.
    usable_from: Seconds = NEVER
    # Former members that follow no lower term, and since when at the latest.
    followers: dict[NodeId, Seconds] = field(default_factory=dict)
    grants: GrantState = field(default_factory=GrantState)
    # Shards to be granted, by the view and the moves in force.
    shards: dict[ShardId, Epoch] = field(default_factory=dict)
    moves: dict[ShardId, ShardMove] = field(default_factory=dict)
    shared: dict[int, SharedMove] = field(default_factory=dict)
    # Send time of the newest request that each member has granted.
    promised: dict[NodeId, Seconds] = field(default_factory=dict)
    request_times: dict[int, Seconds] = field(default_factory=dict)
    # Greatest term that a member has refused ours for.
    refused_for: Epoch = FIRST_EPOCH
    # Greater term that the server was seen to hold.
    fenced_by: Epoch = FIRST_EPOCH
    fenced_at: Seconds = NEVER

    @property
    def has_provisional_moves(self) -> bool:
        """Tell that a move may be in force which the log does not hold."""
        open_stages = {MoveStage.appending, MoveStage.provisional}
        return any(
            move.provisional is not None and move.stage in open_stages
            for move in self.moves.values()
        )

    @property
    def superseded(self) -> bool:
        """Tell that another dispatcher serves under no lower a term."""
        return self.fenced_by >= self.term

    def supersede(self, now: Seconds, term: Epoch) -> None:
        """Stop acting: another dispatcher serves under this term."""
        self.fenced_by = max(self.fenced_by, term)
        self.fenced_at = now
        self.grants.accepted.clear()


@dataclass(slots=True)
class PendingClaim:
    """Hold a claim that the log has not settled yet."""

    record_id: RecordId
    claim_set: tuple[NodeId, ...]
    # When the log acknowledged the append, if it did.
    acknowledged: Seconds | None = None


@dataclass(slots=True)
class TakeOver:
    """Hold a provisional claim on its way, while the log is away."""

    term: Epoch
    started: Seconds
    request: PromiseRequest
    # Other members of the claim set, who must all follow the new term.
    members: tuple[NodeId, ...]
    followers: set[NodeId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class AcknowledgedMove:
    """Hold a move off a server that this process has acknowledged."""

    term: Epoch
    moved: MovedShard


@dataclass(slots=True)
class KnownTerm:
    """Hold what a claim-set member has acknowledged about one server."""

    term: Epoch
    # No claim by this process before this time.
    promised_until: Seconds = NEVER
    # Dispatcher that took the server over without the log and with our word.
    followed_dispatcher: NodeId | None = None
    # Greatest term without the log that we have followed or taken.
    unlogged_term: Epoch = FIRST_EPOCH
    # Grants that we or that dispatcher gave have lapsed after this.
    served_until: Seconds = NEVER
    moves: dict[ShardId, AcknowledgedMove] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold a shard that arrived by a move made without the log."""

    source: ServerId
    # Dispatchers of the source that know of the move.
    informed: tuple[NodeId, ...]
    target: ServerId
    expected: Epoch
    epoch: Epoch


@dataclass(slots=True)
class DutyState:
    """Hold one duty per server that this process dispatches to."""

    held: dict[ServerId, Duty] = field(default_factory=dict)
    pending_claims: dict[ServerId, PendingClaim] = field(default_factory=dict)
    # Since when a server has lacked a live dispatcher.
    vacant_since: dict[ServerId, Seconds] = field(default_factory=dict)
    take_overs: dict[ServerId, TakeOver] = field(default_factory=dict)
    # No take-over before this time: another one was first.
    take_over_after: dict[ServerId, Seconds] = field(default_factory=dict)
    known_terms: dict[ServerId, KnownTerm] = field(default_factory=dict)
    arrivals: dict[ShardId, Arrival] = field(default_factory=dict)
    # True when arrivals or departures changed without a log entry.
    unsettled: bool = False
    # Newest word on who acts for a server since the log went away.
    provisional_holders: dict[ServerId, ProvisionalClaim] = field(
        default_factory=dict,
    )
    # Servers whose role a record of ours gives to a claim-set member.
    handing_over: set[ServerId] = field(default_factory=set)
    # Terms whose former dispatcher has said that it sends nothing more.
    released: dict[ServerId, Epoch] = field(default_factory=dict)
    # Since when a server of another zone has had no live claim-set member.
    silent_since: dict[ServerId, Seconds] = field(default_factory=dict)
    # Since when a zone was seen declared lost.
    lost_since: dict[ZoneName, Seconds] = field(default_factory=dict)
    # When the present role of each server was read: its holder was alive.
    read_at: dict[ServerId, Seconds] = field(default_factory=dict)
    # Roles as the duties last saw them.
    seen_roles: dict[ServerId, Role] = field(default_factory=dict)
    checked_at: Seconds = NEVER
    # True once this process has said that it follows nobody any more.
    sent_final_promises: bool = False
    # Offset up to which the duties follow the view.
    followed_offset: Offset = NO_OFFSET
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the next number of records and requests."""
        self.sequence += 1
        return self.sequence
