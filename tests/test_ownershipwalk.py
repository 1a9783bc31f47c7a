"""Apply random faults and moves, and check single ownership at each step."""

from contextlib import ExitStack

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from measure.ownershipbench import Bench, open_bench
from measure.ownershipfaults import (
    FAULTS,
    Fault,
    end_faults,
    find_holder,
    move_shards,
)
from measure.ownershipscene import Scene

_WAITS = (0.02, 0.1, 0.4, 1, 2)
_PLACES = strategies.integers(0, 2)


class OwnershipWalk(RuleBasedStateMachine):
    """Drive three dispatchers and three servers of one zone."""

    def __init__(self) -> None:
        """Start without a bench, which `begin` opens."""
        super().__init__()
        self._stack = ExitStack()
        self.bench: Bench

    @initialize(
        seed=strategies.integers(0, 999), checks_grants=strategies.booleans()
    )
    def begin(self, seed: int, *, checks_grants: bool) -> None:
        """Open a bench and run it until every server has a dispatcher."""
        scene = Scene(
            seed=seed,
            shards=4,
            checks_grants=checks_grants,
            pace=0.05,
        )
        self.bench = self._stack.enter_context(open_bench(scene))
        self.bench.run(2)

    @rule(
        fault=strategies.sampled_from(FAULTS),
        wait=strategies.sampled_from(_WAITS),
    )
    def begin_fault(self, fault: Fault, wait: float) -> None:
        """Inject a fault."""
        fault.begin(self.bench)
        self.bench.run(wait)

    @rule(source=_PLACES, goal=_PLACES, wait=strategies.sampled_from(_WAITS))
    def move(self, source: int, goal: int, wait: float) -> None:
        """Start a planned move."""
        servers = self.bench.scene.server_ids
        move_shards(self.bench, servers[source], servers[goal])
        self.bench.run(wait)

    @rule(wait=strategies.sampled_from(_WAITS))
    def heal(self, wait: float) -> None:
        """End every fault."""
        end_faults(self.bench)
        self.bench.run(wait)

    @invariant()
    def every_shard_has_one_owner(self) -> None:
        """Check that no shard has had two owners."""
        if hasattr(self, 'bench'):
            assert not self.bench.violations

    def teardown(self) -> None:
        """End every fault and check that each shard is served again."""
        if not hasattr(self, 'bench'):
            return
        with self._stack:
            end_faults(self.bench)
            self.bench.run(10)
            if self.bench.find_unserved(self.bench.now - 1):
                self._declare_lost()
            assert not self.bench.violations
            assert not self.bench.find_unserved(self.bench.now - 1)

    def _declare_lost(self) -> None:
        scene = self.bench.scene
        version = find_holder(self.bench).node.view.version
        overlay = scene.overlay(lost=scene.zone_names)
        self.bench.fleet.log.append((scene.republish(version, overlay),))
        self.bench.run(10)


TestOwnershipWalk = OwnershipWalk.TestCase
TestOwnershipWalk.settings = settings(
    max_examples=settings().max_examples // 8,
    stateful_step_count=15,
    derandomize=settings().derandomize,
    deadline=None,
)
