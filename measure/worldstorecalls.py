"""Simulate the calls of gateways to the store."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Protocol

from measure.worldfaults import Faults
from measure.worldlinks import (
    Parcel,
    Purpose,
    RegionLinks,
    Route,
    build_parcel,
)
from measure.worldoptions import REGION
from measure.worldprocess import Process
from measure.worldsizes import STORE_CALL_BYTES, measure_entries
from measure.worldstore import WorldStore
from trefoilsaddle.core.units import (
    NO_ERA,
    Offset,
    RegionName,
    Seconds,
    StoreEra,
)
from trefoilsaddle.gateway.effects import (
    AppendTable,
    JoinGroup,
    LeaveGroup,
    ReadTopic,
)
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AppendVerdict,
    Event,
    JoinEnded,
    ReadVerdict,
    TopicRead,
)

_CALL_TIMEOUT = Seconds(0.9)
# Interval at which the store looks for a record that a read waits for.
_POLL_INTERVAL = Seconds(0.05)
_CALL = build_parcel(Purpose.store, STORE_CALL_BYTES)


class Surroundings(Protocol):
    """What the calls need of the simulation."""

    now: Seconds
    random: Random
    faults: Faults
    store: WorldStore
    links: RegionLinks

    def after(self, delay: float, act: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""

    def feed(self, process: Process, event: Event) -> None:
        """Reduce an event at a live gateway."""


@dataclass(slots=True)
class _Call:
    """One call of a gateway, which ends once."""

    process: Process
    sent_at: Seconds
    ended: bool = False


@dataclass(slots=True)
class StoreCalls:
    """Perform the calls of gateways to the store."""

    world: Surroundings
    region: RegionName = REGION

    def read(self, process: Process, effect: ReadTopic) -> None:
        """Read a topic."""
        call = _Call(process, self.world.now)
        failed = _build_empty_read(
            effect, ReadVerdict.unavailable, self.world.now, NO_ERA
        )
        if self._is_unreachable(process):
            self._end_after(call, _CALL_TIMEOUT, failed)
            return
        if process.turned_away:
            refused = replace(failed, era=self.world.store.era)
            self._return(call, _CALL, refused)
            return
        self._limit(call, effect.wait, failed)
        self._carry(process, partial(self._answer_read, call, effect))

    def append(self, process: Process, effect: AppendTable) -> None:
        """Append a table."""
        call = _Call(process, self.world.now)
        failed = _build_append_end(effect, AppendVerdict.unknown, NO_ERA)
        if self._is_unreachable(process):
            self._end_after(call, _CALL_TIMEOUT, failed)
            return
        if process.turned_away:
            era = self.world.store.era
            refused = _build_append_end(effect, AppendVerdict.refused, era)
            self._answer_later(call, refused)
            return
        self._limit(call, Seconds(0), failed)
        self._carry(process, partial(self._answer_append, call, effect))

    def join(self, process: Process, effect: JoinGroup) -> None:
        """Join the group, or renew the membership."""
        call = _Call(process, self.world.now)
        answer = partial(self._answer_join, call, effect)
        if self._is_unreachable(process):
            self.world.after(_CALL_TIMEOUT, answer)
            return
        if process.turned_away:
            self._return(call, _CALL, self._build_join_failure(call))
            return
        self._limit(call, Seconds(0), self._build_join_failure(call))
        self._carry(process, answer)

    def leave(self, process: Process, effect: LeaveGroup) -> None:
        """Leave the group."""
        if not self._is_unreachable(process):
            self.world.store.leave(_name_member(process))

    def _answer_read(self, call: _Call, effect: ReadTopic) -> None:
        store = self.world.store
        whole = effect.offset is None
        if not whole and effect.era != store.era:
            read = _build_empty_read(
                effect, ReadVerdict.expired, call.sent_at, store.era
            )
            self._return(call, _CALL, read)
            return
        if whole:
            entries = store.read_newest(effect.topic)
        else:
            entries = tuple(store.records[effect.topic][effect.offset :])
        waited = self.world.now - call.sent_at
        if not whole and not entries and waited < effect.wait:
            again = partial(self._answer_read, call, effect)
            self.world.after(_POLL_INTERVAL, again)
            return
        answered = TopicRead(
            effect.topic,
            ReadVerdict.records,
            whole=whole,
            next_offset=store.find_end(effect.topic),
            entries=entries,
            asked_at=call.sent_at,
            era=store.era,
        )
        size = partial(measure_entries, entries, newest=whole)
        self._return(call, Parcel(Purpose.store, size), answered)

    def _answer_append(self, call: _Call, effect: AppendTable) -> None:
        world = self.world
        if world.random.random() < world.faults.refused_appends:
            refused = _build_append_end(effect, AppendVerdict.refused, NO_ERA)
            self._answer_later(call, refused)
            return
        verdict = world.store.append(effect)
        if world.random.random() < world.faults.lost_appends:
            lost = _build_append_end(effect, AppendVerdict.unknown, NO_ERA)
            self._end_after(call, _CALL_TIMEOUT, lost)
            return
        era = world.store.era
        self._answer_later(call, _build_append_end(effect, verdict, era))

    def _answer_join(self, call: _Call, effect: JoinGroup) -> None:
        failed = self._build_join_failure(call)
        if self._is_unreachable(call.process):
            self._end(call, failed)
            return
        store = self.world.store
        member = _name_member(call.process)
        leads = store.join(member, effect.lease, self.world.now)
        ended = JoinEnded(
            answered=True,
            generation=store.generation,
            leads=leads,
            asked_at=call.sent_at,
            era=store.era,
        )
        self._return(call, _CALL, ended)

    def _build_join_failure(self, call: _Call) -> JoinEnded:
        return JoinEnded(
            answered=False,
            generation=self.world.store.generation,
            leads=False,
            asked_at=call.sent_at,
        )

    def _is_unreachable(self, process: Process) -> bool:
        return self.world.faults.store_down or process.store_cut

    def _carry(self, process: Process, act: Callable[[], None]) -> None:
        route = Route(process.region, self.region)
        self.world.links.carry(route, _CALL, act)

    def _answer_later(self, call: _Call, event: Event) -> None:
        """Answer a call that takes a delay each way within a region too."""
        route = Route(self.region, call.process.region)
        end = partial(self._end, call, event)
        self.world.links.carry(route, _CALL, end)

    def _return(self, call: _Call, parcel: Parcel, event: Event) -> None:
        route = Route(self.region, call.process.region)
        end = partial(self._end, call, event)
        self.world.links.carry_back(route, parcel, end)

    def _limit(self, call: _Call, wait: Seconds, failed: Event) -> None:
        """End a call to another region that is not answered in time."""
        if call.process.region != self.region:
            self._end_after(call, Seconds(wait + _CALL_TIMEOUT), failed)

    def _end_after(self, call: _Call, delay: Seconds, event: Event) -> None:
        self.world.after(delay, partial(self._end, call, event))

    def _end(self, call: _Call, event: Event) -> None:
        if not call.ended:
            call.ended = True
            self.world.feed(call.process, event)


def _name_member(process: Process) -> str:
    options = process.gateway.options
    return f'{options.node}-{options.run}'


def _build_append_end(
    effect: AppendTable, verdict: AppendVerdict, era: StoreEra
) -> AppendEnded:
    table = effect.table
    return AppendEnded(table.service, table.sequence, verdict, era)


def _build_empty_read(
    effect: ReadTopic,
    verdict: ReadVerdict,
    requested_at: Seconds,
    era: StoreEra,
) -> TopicRead:
    return TopicRead(
        effect.topic,
        verdict,
        whole=False,
        next_offset=effect.offset or Offset(0),
        entries=(),
        asked_at=requested_at,
        era=era,
    )
