"""Define the state of a dispatcher's duties: one role per server it holds."""

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

# Consecutive unanswered grant calls after which a server is suspected.
SUSPICIOUS_FAILURES = 2


@unique
class MoveStage(Enum):
    """List the stages of a shard move, in order."""

    # No new requests are sent; requests in flight complete.
    draining = 'draining'
    # The server is asked to revoke the grant of the shard.
    revoking = 'revoking'
    # The server no longer holds the shard; claim-set members are informed.
    sharing = 'sharing'
    # The record is being appended; only the log decides the outcome.
    appending = 'appending'
    # In force without the log, once the whole claim set has acknowledged.
    provisional = 'provisional'


# In these stages the former owner gets no requests until the log decides.
IRREVOCABLE = frozenset(
    (
        MoveStage.sharing,
        MoveStage.appending,
        MoveStage.provisional,
    )
)


@dataclass(slots=True)
class ShardMove:
    """Track the move of one shard off a server."""

    target: ServerId
    expected: Epoch
    stage: MoveStage
    started: Seconds
    # Sequence of the grant call that revokes the shard; 0 before it is sent.
    revoked_by: int = 0
    record_id: RecordId | None = None
    # Epoch granted to the target without the log, if any.
    provisional: Epoch | None = None


@dataclass(slots=True)
class SharedMove:
    """Track the acknowledgements of a move record by claim-set members."""

    record: Move
    acknowledged: set[NodeId] = field(default_factory=set)
    queued: bool = False
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class PendingGrant:
    """Record the contents of a grant call until it is answered."""

    granted: dict[ShardId, Epoch]
    whole: bool
    stamp: ServerStamp | None
    # Send time of the call whose answer carried the stamp.
    stamp_sent: Seconds
    duration: Seconds


@dataclass(slots=True)
class GrantState:
    """Track the grants of one server and the answers to grant calls."""

    sequence: int = 0
    stamp: ServerStamp | None = None
    # Incarnation of the server that was met while this process held a lease
    # promised by every claim-set member.
    trusted_instance: str = ''
    # Sequence of the call whose answer carried the stamp.
    stamp_sequence: int = 0
    # Send and receipt times of that call; the stamp was made between them.
    stamp_sent: Seconds = NEVER
    stamp_received: Seconds = NEVER
    pending: dict[int, PendingGrant] = field(default_factory=dict)
    # Shards that the server has accepted, with their epochs.
    accepted: dict[ShardId, Epoch] = field(default_factory=dict)
    # The server is guaranteed to honour the grants until this time.
    valid_until: Seconds = NEVER
    # The grants are guaranteed to have expired after this time.
    lapsed_after: Seconds = NEVER
    # True once the server has accepted the current term.
    contacted: bool = False
    # True while the server is known to hold the whole set of shards.
    synced: bool = False
    answered_at: Seconds = NEVER
    failures: int = 0
    draining: bool = False

    @property
    def silent(self) -> bool:
        """Return whether several consecutive calls got no answer."""
        return self.failures >= SUSPICIOUS_FAILURES


@dataclass(slots=True)
class Duty:
    """Hold this process's role as the only dispatcher of one server."""

    server: ServerId
    term: Epoch
    claim_set: tuple[NodeId, ...]
    # Members of the previous claim set; their promises may keep the former
    # dispatcher's lease alive.
    former_members: tuple[NodeId, ...]
    former_dispatcher: NodeId | None
    started: Seconds
    # Term of the former dispatcher.
    former_term: Epoch = FIRST_EPOCH
    # Claim set of the last term of this process that the server accepted.
    # Until the server accepts the current term, one of these members may
    # take it over without this process learning of it.
    confirmed_members: tuple[NodeId, ...] = ()
    # Own term that this one replaced, if the server had accepted it.
    renewed_from: Epoch | None = None
    # True if no other dispatcher can have used the server since that term.
    continuous: bool = False
    # Greatest provisional term of each member that has announced its leaving.
    final_terms: dict[NodeId, Epoch] = field(default_factory=dict)
    # False if this process may have missed a role between the known former
    # one and its own.
    former_known: bool = True
    # True if the server has accepted an earlier term of this process, so
    # that no dispatcher before it can act.
    contacted_before: bool = False
    # True once the former dispatcher has announced that it sends nothing more.
    released: bool = False
    # True once a role taken without the log was announced to the zone.
    announced: bool = False
    # True if the role was taken from outside the claim set.
    outside_claim_set: bool = False
    # True while only the server's fence, not the log, confirms the term.
    provisional: bool = False
    # The former dispatcher's lease has expired after this time.
    usable_from: Seconds = NEVER
    # Former members that accept no lower term, and when each confirmed it.
    followers: dict[NodeId, Seconds] = field(default_factory=dict)
    grants: GrantState = field(default_factory=GrantState)
    # Epochs of the shards to grant, from the view and provisional moves.
    shards: dict[ShardId, Epoch] = field(default_factory=dict)
    moves: dict[ShardId, ShardMove] = field(default_factory=dict)
    shared_moves: dict[int, SharedMove] = field(default_factory=dict)
    # Send time of the newest promise request that each member granted.
    promised: dict[NodeId, Seconds] = field(default_factory=dict)
    # Send times of promise requests, by sequence.
    request_times: dict[int, Seconds] = field(default_factory=dict)
    # Greatest term for which a member refused a promise.
    refused_for: Epoch = FIRST_EPOCH
    # Greatest term of another dispatcher that fences this duty.
    fenced_by: Epoch = FIRST_EPOCH
    fenced_at: Seconds = NEVER

    @property
    def has_provisional_moves(self) -> bool:
        """Return whether a move may be in force that is not in the log."""
        open_stages = {MoveStage.appending, MoveStage.provisional}
        return any(
            move.provisional is not None and move.stage in open_stages
            for move in self.moves.values()
        )

    @property
    def superseded(self) -> bool:
        """Return whether another dispatcher has taken the server over."""
        return self.fenced_by >= self.term

    def supersede(self, now: Seconds, term: Epoch) -> None:
        """Stop using the server: another dispatcher holds the given term."""
        self.fenced_by = max(self.fenced_by, term)
        self.fenced_at = now
        self.grants.accepted.clear()


@dataclass(slots=True)
class PendingClaim:
    """Hold a claim of this process that the log has not decided yet."""

    record_id: RecordId
    claim_set: tuple[NodeId, ...]
    # Time at which the log acknowledged the append, if it did.
    acknowledged: Seconds | None = None


@dataclass(slots=True)
class TakeOver:
    """Track a take-over without the log that members have yet to promise."""

    term: Epoch
    started: Seconds
    request: PromiseRequest
    # Other members of the claim set; all must promise to follow the term.
    members: tuple[NodeId, ...]
    followers: set[NodeId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class AcknowledgedMove:
    """Hold one moved shard of a move that this process has acknowledged."""

    term: Epoch
    moved: MovedShard


@dataclass(slots=True)
class KnownTerm:
    """Hold a server's greatest known term and what was promised under it."""

    term: Epoch
    # This process has promised not to claim the server before this time.
    promised_until: Seconds = NEVER
    # Dispatcher that took the server over without the log, with a promise
    # of this process.
    followed_dispatcher: NodeId | None = None
    # Greatest provisional term that this process has followed or taken.
    unlogged_term: Epoch = FIRST_EPOCH
    # Grants by this process or by that dispatcher have expired after this.
    served_until: Seconds = NEVER
    moves: dict[ShardId, AcknowledgedMove] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold a shard that a move without the log has brought to a server."""

    source: ServerId
    # Dispatchers that may hold the source and know of the move.
    informed: tuple[NodeId, ...]
    target: ServerId
    expected: Epoch
    epoch: Epoch


@dataclass(slots=True)
class DutyState:
    """Hold the duties of this process and what it knows of other holders."""

    held: dict[ServerId, Duty] = field(default_factory=dict)
    pending_claims: dict[ServerId, PendingClaim] = field(default_factory=dict)
    # Time since which a server has lacked a live dispatcher.
    vacant_since: dict[ServerId, Seconds] = field(default_factory=dict)
    take_overs: dict[ServerId, TakeOver] = field(default_factory=dict)
    # Earliest time of the next take-over after another dispatcher won one.
    take_over_after: dict[ServerId, Seconds] = field(default_factory=dict)
    known_terms: dict[ServerId, KnownTerm] = field(default_factory=dict)
    arrivals: dict[ShardId, Arrival] = field(default_factory=dict)
    # True if shards or duties changed without a new log entry.
    unsettled: bool = False
    # Newest announced claim of a server without the log.
    provisional_holders: dict[ServerId, ProvisionalClaim] = field(
        default_factory=dict,
    )
    # Servers whose role a queued record hands over to a claim-set member.
    handing_over: set[ServerId] = field(default_factory=set)
    # Terms whose former dispatcher has announced that it sends nothing more.
    released: dict[ServerId, Epoch] = field(default_factory=dict)
    # Time since which a server's dispatcher and claim set have all been dead.
    silent_since: dict[ServerId, Seconds] = field(default_factory=dict)
    # Time since which this process has seen a zone declared lost.
    lost_since: dict[ZoneName, Seconds] = field(default_factory=dict)
    # Time at which each server's current role was read from the log; its
    # holder was alive then.
    read_at: dict[ServerId, Seconds] = field(default_factory=dict)
    # Roles of the view that the duties were last compared with.
    seen_roles: dict[ServerId, Role] = field(default_factory=dict)
    checked_at: Seconds = NEVER
    # True once this process has announced that it makes no more promises.
    sent_final_promises: bool = False
    # Log offset of the view that the duties were last compared with.
    followed_offset: Offset = NO_OFFSET
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return a new sequence number for a request to claim-set members."""
        self.sequence += 1
        return self.sequence
