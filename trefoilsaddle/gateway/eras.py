"""Detect that the store came back from a copy of itself.

Such a store lacks its newest records and gives their offsets out again.  Its
era rises, and each of its answers states it.  An offset is valid only in the
era in which it was given out, so that every topic is read anew; an answer of an
earlier era tells nothing about the present contents.
"""

from trefoilsaddle.core.units import NO_ERA, Seconds, StoreEra
from trefoilsaddle.gateway.effects import Component, Effects
from trefoilsaddle.gateway.election import may_renew, read_tables, step_down
from trefoilsaddle.gateway.events import (
    AppendEnded,
    ControllerAnnounced,
    Event,
    JoinEnded,
    Started,
    TopicRead,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.losttables import is_before_grants
from trefoilsaddle.gateway.peermessages import ControllerAnnouncement
from trefoilsaddle.gateway.restoring import (
    begin_wait,
    bound_renewals,
    record_unknown_end,
    record_wait,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import StoredTable
from trefoilsaddle.gateway.takeover import begin_without_table


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Record the era of each answer of the store."""
    if isinstance(event, Started):
        gateway.started_at = now
    if isinstance(event, ControllerAnnounced):
        _record_waits(gateway, now, event.announcement)
    if not isinstance(event, (TopicRead, JoinEnded, AppendEnded)):
        return []
    effects = _record_era(gateway, now, event.era)
    if isinstance(event, TopicRead):
        for entry in event.entries:
            if isinstance(entry, StoredTable):
                record_unknown_end(gateway, entry.table, now)
    return effects


def _record_waits(
    gateway: Gateway, now: Seconds, announcement: ControllerAnnouncement
) -> None:
    if announcement.era != gateway.era:
        return
    for wait in announcement.waits:
        record_wait(gateway, wait, now)


def _record_era(gateway: Gateway, now: Seconds, era: StoreEra) -> Effects:
    known = gateway.era
    if era <= known:
        return []
    gateway.era = era
    gateway.era_seen_at = now
    gateway.unknown_ends.clear()
    if is_before_grants(gateway, now):
        gateway.initial_era = era
    if known == NO_ERA:
        return []
    line = log_event(
        Component.store, 'store came back from a copy', known=known, era=era
    )
    for topic in gateway.topics.values():
        topic.next_offset = None
    gateway.registry.lapses.record_restore(now)
    if not gateway.control.leading:
        return [line]
    return [line, *_restore_tables(gateway, now)]


def _restore_tables(gateway: Gateway, now: Seconds) -> Effects:
    """Begin to store the tables again that the store may have lost."""
    control = gateway.control
    if not may_renew(gateway, now):
        # A successor may have waited for its grants to lapse.
        reason = 'the store was unreachable for too long'
        return [*step_down(gateway, reason), read_tables()]
    control.end = None
    # Only later reports show that their gateways renew no grants.
    control.term += 1
    effects: Effects = [read_tables()]
    for keyed in control.keyed.values():
        stored = gateway.tables.get(keyed.service)
        if stored is None:
            # The service has just been added; no keys are granted yet.
            effects.extend(begin_without_table(gateway, keyed, now))
            continue
        if stored.table.controller != gateway.own_address():
            # A controller before this one may have stored tables as well.
            reason = 'the store came back before the takeover'
            return [*step_down(gateway, reason), read_tables()]
        begin_wait(gateway, keyed, stored, now)
        bound_renewals(gateway, keyed)
    return effects
