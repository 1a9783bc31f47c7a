"""Check that lost processes are detected without false positives."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import pytest

from measure.fleet import Fleet
from measure.layout import (
    make_options,
    make_peer,
    name_node,
    start_joined_fleet,
)
from measure.process import Process
from trefoilsaddle.core.effects import SendMessage
from trefoilsaddle.core.events import (
    HostsListed,
    HostState,
    ListedHost,
    MessageReceived,
    PeerLost,
    StopRequested,
)
from trefoilsaddle.core.membership import (
    health_of,
    live_dispatchers,
    live_processes,
)
from trefoilsaddle.core.messages import Ack, Health, Message, Ping, Rumour
from trefoilsaddle.core.rumours import is_newer
from trefoilsaddle.core.units import NodeId, ServerId

_SIZE = 12
_VICTIM = name_node(5)
_WITNESS = name_node(1)


def _start_fleet(size: int = _SIZE, seed: int = 3) -> Fleet:
    fleet = start_joined_fleet(size, seed)
    fleet.run(3)
    return fleet


def _list_healths(fleet: Fleet, subject: NodeId) -> set[Health]:
    return {
        health_of(process.node, subject)
        for name, process in fleet.processes.items()
        if name != subject and process.alive and not process.paused
    }


def _kill(fleet: Fleet) -> None:
    fleet.processes[_VICTIM].alive = False


def _pause(fleet: Fleet) -> None:
    fleet.processes[_VICTIM].paused = True


def _cut_off(fleet: Fleet) -> None:
    fleet.network.cut([_VICTIM], set(fleet.processes) - {_VICTIM})


def _cut_one_link(fleet: Fleet) -> None:
    fleet.network.cut([_VICTIM], [_WITNESS])


def _break_connections(fleet: Fleet) -> None:
    for process in list(fleet.processes.values()):
        fleet.deliver(process, PeerLost(_VICTIM))


def _leave_list(fleet: Fleet) -> None:
    fleet.hosts = (ListedHost('node-0', HostState.live),)


def _pause_briefly(fleet: Fleet) -> None:
    process = fleet.processes[_VICTIM]
    process.paused = True
    fleet.run(0.5)
    process.resume()


@dataclass(frozen=True, slots=True)
class _Case:
    """Name a fault and the health that others then assign to its victim."""

    name: str
    fail: Callable[[Fleet], None]
    # Health in all other processes within three seconds, and for ten more.
    health: Health


_CASES = (
    _Case('killed', _kill, Health.dead),
    _Case('paused', _pause, Health.dead),
    _Case('cut-off', _cut_off, Health.dead),
    _Case('one-link-cut', _cut_one_link, Health.alive),
    _Case('connections-broken', _break_connections, Health.alive),
    _Case('off-the-host-list', _leave_list, Health.alive),
    _Case('paused-shortly', _pause_briefly, Health.alive),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_processes_agree_on_health(case: _Case) -> None:
    """Declare a process dead for a lasting loss, and for no other fault."""
    fleet = _start_fleet()
    case.fail(fleet)
    fleet.run(3)
    for _ in range(20):
        healths = _list_healths(fleet, _VICTIM) - {Health.suspect}
        assert healths <= {case.health}
        fleet.run(0.5)
    assert _list_healths(fleet, _VICTIM) == {case.health}
    _check_others_alive(fleet)


def _check_others_alive(fleet: Fleet) -> None:
    """Check that all processes but the victim are alive for all others."""
    fleet.processes.pop(_VICTIM)
    for name in fleet.processes:
        assert _list_healths(fleet, name) == {Health.alive}


@pytest.mark.parametrize('pause', [0.4, 1, 2, 5, 30])
def test_paused_process_declares_nobody_dead(pause: float) -> None:
    """Suspect nobody right after an own pause, and be alive for others soon."""
    fleet = _start_fleet()
    process = fleet.processes[_VICTIM]
    process.paused = True
    fleet.run(pause)
    process.resume()
    fleet.run(6)
    assert not process.log_lines
    assert _list_healths(fleet, _VICTIM) == {Health.alive}


def test_process_paused_while_it_suspects_declares_nobody_dead() -> None:
    """Restart a suspicion that timed out during a pause of the process."""
    fleet = _start_fleet()
    process = fleet.processes[_VICTIM]
    fleet.network.cut([_VICTIM], [_WITNESS])
    fleet.deliver(process, PeerLost(_WITNESS))
    process.paused = True
    fleet.run(3)
    fleet.network.cuts.clear()
    process.resume()
    assert health_of(process.node, _WITNESS) is Health.suspect
    fleet.run(5)
    assert health_of(process.node, _WITNESS) is Health.alive
    assert not process.log_lines


def test_one_cut_link_makes_nobody_suspect() -> None:
    """Reach a process through others when one link to it is cut."""
    fleet = _start_fleet()
    _cut_one_link(fleet)
    for _ in range(100):
        fleet.run(0.1)
        assert _list_healths(fleet, _VICTIM) == {Health.alive}


def test_suspicion_comes_before_death() -> None:
    """Declare a process dead only after the suspicion timeout."""
    fleet = _start_fleet()
    _kill(fleet)
    fleet.deliver(fleet.processes[_WITNESS], PeerLost(_VICTIM))
    witness = fleet.processes[_WITNESS].node
    assert health_of(witness, _VICTIM) is Health.suspect
    fleet.run(0.5)
    assert health_of(witness, _VICTIM) is Health.suspect
    fleet.run(0.2)
    assert health_of(witness, _VICTIM) is Health.dead


def test_healed_partition_is_noticed() -> None:
    """Find every process alive again after two zones were cut apart."""
    fleet = _start_fleet()
    near = [name_node(index) for index in range(0, _SIZE, 4)]
    fleet.network.cut(near, set(fleet.processes) - set(near))
    fleet.run(8)
    process = fleet.processes[near[0]]
    assert sorted(live_dispatchers(process.node, None)) == sorted(near)
    fleet.network.cuts.clear()
    fleet.run(20)
    for each in fleet.processes.values():
        assert len(live_dispatchers(each.node, None)) == _SIZE


def test_leaving_process_takes_no_more_work() -> None:
    """Spread that a process is leaving, without declaring it dead."""
    fleet = _start_fleet()
    process = fleet.processes[_VICTIM]
    process.node.stopping = True
    fleet.deliver(process, StopRequested())
    fleet.run(1)
    for name, each in fleet.processes.items():
        assert health_of(each.node, _VICTIM) is Health.leaving, name
        assert _VICTIM not in live_dispatchers(each.node, None)
        assert _VICTIM not in live_processes(each.node, None)


def test_starting_process_joins_through_one_peer() -> None:
    """Join through any one peer, even under the name of a dead process."""
    fleet = _start_fleet(size=60)
    _kill(fleet)
    fleet.run(4)
    options = make_options(5, 60, seed=4)
    fleet.start(replace(options, peers=(make_peer(3, 60),)))
    fleet.run(4)
    node = fleet.processes[_VICTIM].node
    assert len(live_dispatchers(node, None)) == 60
    assert _list_healths(fleet, _VICTIM) == {Health.alive}


def test_host_list_marks_leaving_servers() -> None:
    """Mark servers that the host list gives as leaving."""
    fleet = _start_fleet(size=1)
    process = fleet.processes[name_node(0)]
    process.node.duties_stale = False
    listed = ListedHost('server-1', HostState.leaving)
    fleet.deliver(process, HostsListed((listed,)))
    leaving = process.node.membership.leaving_servers
    assert leaving == {ServerId('server-1')}


_ALIVE = Health.alive
_LEAVING = Health.leaving
_SUSPECT = Health.suspect
_DEAD = Health.dead


@pytest.mark.parametrize(
    ('known', 'received', 'winner'),
    [
        ((_ALIVE, 1), (_ALIVE, 1), 'known'),
        ((_ALIVE, 1), (_SUSPECT, 1), 'received'),
        ((_ALIVE, 2), (_SUSPECT, 1), 'known'),
        ((_SUSPECT, 1), (_ALIVE, 1), 'known'),
        ((_SUSPECT, 1), (_ALIVE, 2), 'received'),
        ((_SUSPECT, 1), (_DEAD, 1), 'received'),
        ((_DEAD, 1), (_SUSPECT, 1), 'known'),
        ((_DEAD, 1), (_ALIVE, 1), 'known'),
        ((_DEAD, 1), (_ALIVE, 2), 'received'),
        ((_ALIVE, 1), (_LEAVING, 1), 'received'),
        ((_LEAVING, 1), (_ALIVE, 1), 'known'),
        ((_LEAVING, 1), (_SUSPECT, 1), 'received'),
    ],
)
def test_newer_update_wins(
    known: tuple[Health, int],
    received: tuple[Health, int],
    winner: str,
) -> None:
    """Prefer the greater incarnation, then the more severe health."""
    newer = is_newer(_build_update(*received), _build_update(*known))
    assert newer == (winner == 'received')


def _build_update(health: Health, incarnation: int) -> Rumour:
    peer = make_peer(5, _SIZE)
    return Rumour(
        node=peer.node,
        zone=peer.zone,
        host=peer.host,
        port=peer.port,
        dispatches=peer.dispatches,
        health=health,
        incarnation=incarnation,
    )


def test_messages_stay_small_whatever_happens() -> None:
    """Limit the updates in each message while a zone is lost."""
    fleet = _start_fleet(size=64)
    sizes: list[int] = []
    fleet.observe = partial(_record_size, sizes)
    for index in range(0, 64, 4):
        fleet.processes[name_node(index)].alive = False
    fleet.run(10)
    assert max(sizes) <= 6


def _record_size(
    sizes: list[int],
    sender: NodeId,
    target: NodeId,
    message: Message,
) -> None:
    if isinstance(message, Ping | Ack):
        sizes.append(len(message.rumours))


def test_suspected_process_is_told_and_refutes() -> None:
    """Answer a ping from a process declared dead with that update."""
    fleet = _start_fleet()
    witness = fleet.processes[_WITNESS]
    witness.node.membership.processes[_VICTIM] = _build_update(_DEAD, 7)
    ping = MessageReceived(_VICTIM, Ping(1, None, (), ()))
    answers = _list_acks(witness, ping)
    assert _build_update(_DEAD, 7) in answers[0].rumours
    victim = fleet.processes[_VICTIM]
    fleet.deliver(victim, MessageReceived(_WITNESS, answers[0]))
    own = victim.node.membership.processes[_VICTIM]
    assert (own.health, own.incarnation) == (_ALIVE, 8)


def _list_acks(process: Process, event: MessageReceived) -> list[Ack]:
    return [
        effect.message
        for effect in process.handle_event(event)
        if isinstance(effect, SendMessage) and isinstance(effect.message, Ack)
    ]
