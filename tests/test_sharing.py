"""Check that a move completes although its whole claim set is lost."""

import pytest

from measure.ownershipbench import Bench, open_bench
from measure.ownershipscene import Scene


def _lose_all_but_one(bench: Bench) -> None:
    """Kill all dispatchers but one, and cut that off from log and servers."""
    survivor, *others = bench.fleet.processes.values()
    bench.fleet.log.faults.away = True
    bench.run(1)
    for process in others:
        process.alive = False
    for server in bench.servers:
        bench.links.cuts.add((survivor.node_id, server))
    bench.run(6)


def _restore(bench: Bench) -> None:
    """Restore the log and the links to the servers."""
    bench.links.cuts.clear()
    bench.fleet.log.faults.away = False
    bench.run(12)


@pytest.mark.parametrize('checks_grants', [False, True])
@pytest.mark.parametrize('seed', range(6))
def test_last_dispatcher_serves_again(seed: int, checks_grants: bool) -> None:
    """Serve every shard again once the log and the servers are back."""
    scene = Scene(seed=seed, checks_grants=checks_grants, dispatchers=2)
    with open_bench(scene) as bench:
        bench.run(4)
        _lose_all_but_one(bench)
        _restore(bench)
        assert not bench.find_unserved(bench.now - 1)
        assert not bench.violations
