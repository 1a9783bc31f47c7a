"""Check that processes follow the log alike, whatever the faults."""

import pytest

from measure.fleet import Fleet
from tests.sites import SITES, describe_overlay, make_options, publish_sites
from trefoilsaddle.core.units import NodeId


def test_fresh_fleet_puts_files_in_force_and_assigns_every_shard() -> None:
    """Follow the log from an empty one to the first placement."""
    fleet = Fleet(seed=1)
    for index in range(4):
        fleet.start(make_options(index, 4))
    publish_sites(fleet)
    fleet.run(3)
    views = [process.node.view for process in fleet.processes.values()]
    assert views[0].version == 1 + len(SITES)
    assert len(views[0].owners) == 64
    assert all(view == views[0] for view in views)


@pytest.mark.parametrize('fault', ['lose_replies', 'lose_appends', 'away'])
def test_records_take_effect_once_after_a_fault(fault: str) -> None:
    """Append again after a lost reply, and take effect once."""
    fleet = Fleet(seed=2)
    node = fleet.start(make_options(0, 1))
    publish_sites(fleet)
    setattr(fleet.log.faults, fault, True)
    fleet.run(3)
    setattr(fleet.log.faults, fault, False)
    fleet.run(6)
    assert len(node.view.owners) == 64
    assert not node.following.outbox
    assert describe_overlay(SITES[0]) in node.view.documents.values()
    assert fleet.processes[NodeId('node-0')].alive
