"""Record the events of a process and replay them through the reducer."""

from abc import ABC, abstractmethod

from trefoilsaddle.core.events import Occurrence
from trefoilsaddle.core.node import Node


class Recorder(ABC):
    """Take every event that a process reduces, before it does."""

    @abstractmethod
    def record(self, node: Node, occurrence: Occurrence) -> None:
        """Record one event."""


class NoRecorder(Recorder):
    """Record nothing."""

    def record(self, node: Node, occurrence: Occurrence) -> None:
        """Do nothing."""
