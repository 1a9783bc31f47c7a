"""Hold what is known of idempotency keys."""

from dataclasses import dataclass, field

from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.messages import Handover
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    AttemptId,
    Epoch,
    MemberName,
    Seconds,
    ServiceName,
    ShardId,
)
from trefoilsaddle.core.view import HotKey

# Every key is newer than this floor.
NO_FLOOR = Seconds(float('-inf'))


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """Identify a caller's request within its service."""

    service: ServiceName
    member: MemberName
    token: str = field(repr=False)


@dataclass(slots=True)
class KeyOutcome:
    """Hold the state of one idempotency key."""

    created: Seconds
    fingerprint: int
    key_hash: int
    # Ticket that is waiting or running; None once it has ended.
    ticket: AttemptId | None
    # None while the request is in progress or its outcome is unknown.
    answer: Answer | None = None


@dataclass(slots=True)
class Floor:
    """Bound the age of keys whose absence proves that they never ran."""

    floor: Seconds
    # Monotonic time at which this process began to keep the shard.
    adopted: Seconds
    # Tokens under which the shard is served, or is to be.
    term: Epoch = FIRST_EPOCH
    epoch: Epoch = FIRST_EPOCH
    # True once this process alone can send the shard's work.
    settled: bool = False
    # True once its last dispatcher has handed over what it knows, or there
    # was none.
    complete: bool = False
    # Floor from before a renewed claim; it holds again once a claim-set
    # member has said that nobody served in between.
    prior_floor: Seconds | None = None


@dataclass(slots=True)
class OutcomeState:
    """Hold outcomes and floors of the shards that a dispatcher serves."""

    # Oldest first.
    outcomes: dict[OutcomeKey, KeyOutcome] = field(default_factory=dict)
    floors: dict[ShardId, Floor] = field(default_factory=dict)
    # Raised when a member's outcomes are forgotten to save memory.
    member_floors: dict[MemberName, Seconds] = field(default_factory=dict)
    # Floors of split keys, kept when the split has ended.
    split_floors: dict[HotKey, Seconds] = field(default_factory=dict)
    # Handovers for shards that this process does not serve yet.
    handovers: dict[ShardId, Handover] = field(default_factory=dict)
    kept_bytes: int = 0
