"""Check that leaving servers are drained and stopping dispatchers replaced."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest.mock import patch

import pytest

from measure.ownershipbench import Bench, open_bench
from measure.ownershipfaults import find_holder
from measure.ownershipscene import Scene
from trefoilsaddle.core import sharing
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.events import HostState, ListedHost, StopRequested
from trefoilsaddle.core.messages import ShareMove, ShareMoveAck
from trefoilsaddle.core.terms import next_provisional_epoch
from trefoilsaddle.core.units import (
    Epoch,
    Moment,
    NodeId,
    Offset,
    Seconds,
    ServerId,
)

# Seconds after which a leaving server receives no new requests.
_DRAIN_TIME = 3
_SCENE = Scene(seed=3, shards=4)
_SERVER = ServerId('z0-s0')


def _publish_leaving(bench: Bench) -> None:
    scene = bench.scene
    version = find_holder(bench).node.view.version
    overlay = scene.overlay(leaving=(_SERVER,))
    bench.fleet.log.append((scene.republish(version, overlay),))


def _list_host(bench: Bench) -> None:
    bench.fleet.hosts = (ListedHost(_SERVER, HostState.leaving),)


def _mark_draining(bench: Bench) -> None:
    state = bench.servers[_SERVER].state
    state.switches = replace(state.switches, draining=True)


@dataclass(frozen=True, slots=True)
class Sign:
    """Name one way to learn that a server is leaving."""

    name: str
    show: Callable[[Bench], None]
    away: bool = False


SIGNS = (
    Sign('overlay', _publish_leaving),
    Sign('host list', _list_host),
    Sign('own answer', _mark_draining),
    Sign('host list without log', _list_host, away=True),
    Sign('own answer without log', _mark_draining, away=True),
)


@pytest.mark.parametrize('sign', SIGNS, ids=lambda sign: sign.name)
def test_leaving_server_gets_no_new_work(sign: Sign) -> None:
    """Move all shards off a leaving server within a few seconds."""
    with open_bench(_SCENE) as bench:
        bench.run(3)
        bench.fleet.log.faults.away = sign.away
        bench.run(2)
        sign.show(bench)
        bench.run(_DRAIN_TIME)
        begun = len(bench.servers[_SERVER].state.executions)
        bench.run(2)
        assert len(bench.servers[_SERVER].state.executions) == begun
        assert not bench.find_unserved(bench.now - 1)
        assert not bench.violations


@pytest.mark.parametrize('checks_grants', [True, False])
def test_stop_hands_roles_over(*, checks_grants: bool) -> None:
    """Hand every role over at a stop, and leave no shard unserved."""
    scene = replace(_SCENE, checks_grants=checks_grants)
    with open_bench(scene) as bench:
        bench.run(4)
        holder = find_holder(bench)
        bench.fleet.deliver(holder, StopRequested())
        for _ in range(10):
            bench.run(0.2)
            assert not bench.find_unserved(bench.now - 0.4)
        assert not holder.node.duties.held


@pytest.mark.parametrize('away', [False, True])
@pytest.mark.parametrize('dispatchers', [2, 3])
def test_restart_under_the_same_name(dispatchers: int, *, away: bool) -> None:
    """Serve again under a new term, without state of the old incarnation."""
    with open_bench(replace(_SCENE, dispatchers=dispatchers)) as bench:
        bench.run(4)
        bench.fleet.log.faults.away = away
        bench.run(2)
        lost = find_holder(bench)
        lost.alive = False
        index = list(bench.fleet.processes).index(lost.node_id)
        bench.fleet.start(bench.scene.make_options(index))
        bench.run(6)
        assert not bench.find_unserved(bench.now - 1)
        assert not bench.violations


def _request_ack(bench: Bench) -> bool:
    """Share a move with a member that serves under a lower term."""
    node = find_holder(bench).node
    duty = node.duties.held[_SERVER]
    later = Epoch(Offset(duty.term.offset + 100), 0)
    node.duties.held[_SERVER] = Duty(
        server=_SERVER,
        term=next_provisional_epoch(node.view.applied, duty.term),
        claim_set=(),
        former_members=(),
        former_dispatcher=None,
        started=Seconds(0),
        provisional=True,
    )
    share = ShareMove(_SERVER, later, 1, ())
    moment = Moment(Seconds(bench.now), Seconds(bench.now))
    effects = sharing.handle_share_move(node, moment, NodeId('other'), share)
    return any(
        isinstance(getattr(effect, 'message', None), ShareMoveAck)
        for effect in effects
    )


@pytest.mark.parametrize('guarded', [True, False])
def test_no_ack_while_server_may_be_in_use(*, guarded: bool) -> None:
    """Acknowledge no move off a server that this process still serves."""
    with open_bench(_SCENE) as bench:
        bench.run(3)
        if guarded:
            assert not _request_ack(bench)
            return
        with patch.object(sharing, '_may_be_in_use', lambda *_: False):
            assert _request_ack(bench)
