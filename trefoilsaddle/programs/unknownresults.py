"""Build the events of calls whose result is not known."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from trefoilsaddle.core.units import Offset, Seconds
from trefoilsaddle.gateway.effects import (
    AppendTable,
    Effect,
    GrantKeys,
    JoinGroup,
    ProbeServer,
    ReadTopic,
    ReleaseKeys,
)
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AppendVerdict,
    Event,
    JoinEnded,
    OrderEnded,
    OrderVerdict,
    ReadVerdict,
    ServerProbed,
    TopicRead,
)

# Results without an answer do not depend on when they were asked for.
_NEVER = Seconds(float('inf'))


def build_unknown(effect: Effect) -> Event:
    """Build the event of a call to the store, or of a probe, without an answer."""
    return _BUILDERS[type(effect)](effect)


def _build_unread(effect: ReadTopic) -> TopicRead:
    return TopicRead(
        effect.topic,
        ReadVerdict.unavailable,
        whole=False,
        next_offset=effect.offset or Offset(0),
        entries=(),
        asked_at=_NEVER,
    )


def _build_unstored(effect: AppendTable) -> AppendEnded:
    table = effect.table
    return AppendEnded(table.service, table.sequence, AppendVerdict.unknown)


def _build_unjoined(effect: JoinGroup) -> JoinEnded:
    return JoinEnded(
        answered=False,
        generation=effect.generation,
        leads=False,
        asked_at=_NEVER,
    )


def build_ungranted(effect: GrantKeys) -> OrderEnded:
    """Build the event of a grant without an answer."""
    return OrderEnded(
        effect.server.service,
        effect.keys,
        effect.server.life,
        effect.fence,
        release=False,
        verdict=OrderVerdict.unknown,
        handover='',
    )


def build_unreleased(effect: ReleaseKeys) -> OrderEnded:
    """Build the event of a release without an answer."""
    return OrderEnded(
        effect.service,
        effect.keys,
        effect.incarnation,
        effect.fence,
        release=True,
        verdict=OrderVerdict.unknown,
        handover='',
    )


def _build_unprobed(effect: ProbeServer) -> ServerProbed:
    """Build the event of a probe without an answer."""
    return ServerProbed(effect.server.life, Seconds(0))


_BUILDERS: Mapping[type[Effect], Callable[[Any], Event]] = MappingProxyType(
    {
        ReadTopic: _build_unread,
        AppendTable: _build_unstored,
        JoinGroup: _build_unjoined,
        ProbeServer: _build_unprobed,
    }
)
