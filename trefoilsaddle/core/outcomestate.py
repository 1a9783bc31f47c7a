"""Define the state of idempotency keys and their outcomes."""

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

# Every key was created after this floor.
NO_FLOOR = Seconds(float('-inf'))


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """Identify an idempotency key within its service and member."""

    service: ServiceName
    member: MemberName
    token: str = field(repr=False)


@dataclass(slots=True)
class KeyOutcome:
    """Hold the outcome or progress of one idempotency key."""

    created: Seconds
    fingerprint: int
    key_hash: int
    # Ticket of the request in progress; None once it has ended.
    ticket: AttemptId | None
    # None while the request is in progress or its outcome is unknown.
    answer: Answer | None = None


@dataclass(slots=True)
class Floor:
    """Hold a shard's floor: an absent key created after it has never run."""

    floor: Seconds
    # Monotonic time at which this process adopted the shard.
    adopted: Seconds
    # Fencing tokens under which the shard is or will be served.
    term: Epoch = FIRST_EPOCH
    epoch: Epoch = FIRST_EPOCH
    # True once no other process can send requests of the shard.
    settled: bool = False
    # True if the previous dispatcher has handed over its outcomes or there
    # was no previous dispatcher.
    complete: bool = False
    # Floor from before a renewed claim; restored once a claim-set member has
    # confirmed that no other dispatcher served in between.
    prior_floor: Seconds | None = None


@dataclass(slots=True)
class OutcomeState:
    """Hold outcomes and floors of the shards that a dispatcher serves."""

    # Oldest first.
    outcomes: dict[OutcomeKey, KeyOutcome] = field(default_factory=dict)
    floors: dict[ShardId, Floor] = field(default_factory=dict)
    # Raised when outcomes of the member are evicted to save memory.
    member_floors: dict[MemberName, Seconds] = field(default_factory=dict)
    # Floors of split keys, kept after the split has ended.
    split_floors: dict[HotKey, Seconds] = field(default_factory=dict)
    # Handovers sent, and those received but not applied yet.
    handovers: dict[ShardId, Handover] = field(default_factory=dict)
    kept_bytes: int = 0
