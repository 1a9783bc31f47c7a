"""Test a fleet in two regions that share one link with all its traffic."""

import pytest

from measure.gatewayworld import World
from measure.worldlinks import Purpose
from tests.regionscenes import (
    RegionScene,
    build_regions,
    build_version,
    find_link,
    list_late,
    replace_controller,
)
from trefoilsaddle.core.units import Seconds

# The users' bound on the time from the writing of a version until all gateways
# use it.
_MAX_VERSION_AGE = Seconds(2.5)
# Time of the takeover until a version is written.
_AFTER_TAKEOVER = Seconds(0.3)
# Fleets whose copies hardly wait, so that only their number counts.
_FAST_SHARE = 1_000_000
_MAX_GROWTH = 2
_SPREADING = (Purpose.updates, Purpose.copies, Purpose.announcements)


def _list_late_after(world: World, version: int) -> list[str]:
    world.store.write_configuration(build_version(version))
    world.run(_MAX_VERSION_AGE)
    return [str(node) for node in list_late(world, version)]


def test_version_in_a_calm_second_is_in_force_in_time() -> None:
    """Have a large version in force everywhere while nothing else happens."""
    assert _list_late_after(build_regions(RegionScene()), 2) == []


# Guards against requests that gateways of the other region handle by an old
# version (CONFIG), as copies, reads and announcements for each of them fill the
# link between the regions after the controller was lost or refused.
@pytest.mark.parametrize('refused', [False, True], ids=['lost', 'refused'])
def test_version_in_a_takeover_is_in_force_in_time(refused: bool) -> None:
    """Have a large version in force everywhere during a takeover."""
    world = build_regions(RegionScene())
    assert _list_late_after(world, 2) == []
    replace_controller(world, refused=refused)
    world.run(_AFTER_TAKEOVER)
    assert _list_late_after(world, 3) == []


def _count_spread(west: int) -> int:
    """Count what crosses the link for the gateways of the other region."""
    world = build_regions(RegionScene(west=west, link_share=_FAST_SHARE))
    sent = find_link(world).sent
    before = sum(sent[purpose] for purpose in _SPREADING)
    assert _list_late_after(world, 2) == []
    replace_controller(world, refused=False)
    world.run(_AFTER_TAKEOVER)
    assert _list_late_after(world, 3) == []
    return sum(sent[purpose] for purpose in _SPREADING) - before


# Guards against a link between regions that is full because each gateway gets
# the same bytes across it.
def test_bytes_across_do_not_grow_with_gateways() -> None:
    """Send each update, copy and announcement to a region once."""
    assert _count_spread(24) < _MAX_GROWTH * _count_spread(8)
