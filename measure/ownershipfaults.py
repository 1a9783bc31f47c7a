"""Faults that can be injected into an ownership simulation."""

from collections.abc import Callable
from dataclasses import dataclass

from measure.ownershipbench import Bench
from measure.process import Process
from trefoilsaddle.core import moves
from trefoilsaddle.core.units import Moment, NodeId, ServerId

_Action = Callable[[Bench], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """Named fault with the function that starts it."""

    name: str
    begin: _Action


def find_holder(bench: Bench) -> Process:
    """Return the dispatcher of the first server, or any live one."""
    holder = bench.holder(_first_server(bench))
    if holder is not None:
        return holder
    return next(
        process for process in bench.fleet.processes.values() if process.alive
    )


def move_shards(bench: Bench, source: ServerId, target: ServerId) -> None:
    """Start a planned move of all shards of a server."""
    process = bench.holder(source)
    if process is None or process.paused:
        return
    moment = Moment(process.clock, process.clock)
    shards = process.node.view.shards_on(source)
    targets = dict.fromkeys(shards, target)
    for effect in moves.start_move(process.node, moment, source, targets):
        bench.fleet.perform(process, effect)


def end_faults(bench: Bench) -> None:
    """End all faults; stopped servers restart with an empty state."""
    faults = bench.fleet.log.faults
    faults.away = False
    faults.lose_replies = False
    faults.lose_appends = False
    bench.fleet.network.cuts.clear()
    bench.fleet.network.loss = 0
    links = bench.links
    links.cuts.clear()
    links.reply_cuts.clear()
    links.lost_calls = 0
    links.lost_replies = 0
    links.slow_calls = 0
    _wake_everything(bench)


def _wake_everything(bench: Bench) -> None:
    for process in bench.fleet.processes.values():
        process.cut_from_log = False
        if process.paused:
            process.resume()
    for server in bench.servers.values():
        if server.frozen:
            server.wake()
        if not server.alive:
            server.restart()


def _first_server(bench: Bench) -> ServerId:
    return bench.scene.server_ids[0]


def _lose_dispatcher(bench: Bench) -> None:
    holder = find_holder(bench)
    bench.replace_process(list(bench.fleet.processes).index(holder.node_id))


def _pause_dispatcher(bench: Bench) -> None:
    find_holder(bench).paused = True


def _lose_server(bench: Bench) -> None:
    bench.servers[_first_server(bench)].stop()


def _restart_server(bench: Bench) -> None:
    server = bench.servers[_first_server(bench)]
    server.stop()
    server.restart()


def _freeze_server(bench: Bench) -> None:
    bench.servers[_first_server(bench)].frozen = True


def _lose_log(bench: Bench) -> None:
    bench.fleet.log.faults.away = True


def _lose_append_replies(bench: Bench) -> None:
    bench.fleet.log.faults.lose_replies = True


def _lose_appends(bench: Bench) -> None:
    bench.fleet.log.faults.lose_appends = True


def _lose_grant_replies(bench: Bench) -> None:
    bench.links.reply_cuts.add(
        (find_holder(bench).node_id, _first_server(bench))
    )


def _cut_server(bench: Bench) -> None:
    bench.links.cuts.add((find_holder(bench).node_id, _first_server(bench)))


def _cut_peers(bench: Bench) -> None:
    holder = find_holder(bench).node_id
    bench.fleet.network.cut([holder], _other_processes(bench, holder))


def _isolate_dispatcher(bench: Bench) -> None:
    _cut_peers(bench)
    find_holder(bench).cut_from_log = True


def _lose_messages(bench: Bench) -> None:
    bench.fleet.network.loss = 0.3
    bench.links.lost_calls = 0.3
    bench.links.lost_replies = 0.3


def _slow_calls(bench: Bench) -> None:
    bench.links.slow_calls = 0.3
    bench.links.max_slow_delay = 2


def _other_processes(bench: Bench, holder: NodeId) -> set[NodeId]:
    return set(bench.fleet.processes) - {holder}


FAULTS = (
    Fault('dispatcher-lost', _lose_dispatcher),
    Fault('dispatcher-paused', _pause_dispatcher),
    Fault('dispatcher-isolated', _isolate_dispatcher),
    Fault('server-lost', _lose_server),
    Fault('server-restarted', _restart_server),
    Fault('server-frozen', _freeze_server),
    Fault('server-cut-off', _cut_server),
    Fault('grant-replies-lost', _lose_grant_replies),
    Fault('calls-slow', _slow_calls),
    Fault('messages-lost', _lose_messages),
    Fault('peers-cut-off', _cut_peers),
    Fault('log-away', _lose_log),
    Fault('append-replies-lost', _lose_append_replies),
    Fault('appends-lost', _lose_appends),
)
