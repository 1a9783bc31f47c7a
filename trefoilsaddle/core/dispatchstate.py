"""Define the state of a dispatcher's queues and requests."""

from dataclasses import dataclass, field

from trefoilsaddle.core.disciplines import Discipline, RankDiscipline
from trefoilsaddle.core.outcomestate import OutcomeState
from trefoilsaddle.core.queues import ServerQueue
from trefoilsaddle.core.tickets import Origin, Ticket
from trefoilsaddle.core.units import AttemptId, NodeId, ServerId


@dataclass(slots=True)
class DispatchState:
    """Hold a dispatcher's queues, accepted requests and outcomes."""

    queues: dict[ServerId, ServerQueue] = field(default_factory=dict)
    tickets: dict[AttemptId, Ticket] = field(default_factory=dict)
    origins: dict[Origin, AttemptId] = field(default_factory=dict)
    last_number: AttemptId = AttemptId(0)
    # Greatest attempt id of each sender; a lower one is a duplicate.
    last_attempts: dict[NodeId, AttemptId] = field(default_factory=dict)
    outcomes: OutcomeState = field(default_factory=OutcomeState)
    discipline: Discipline = field(default_factory=RankDiscipline)
