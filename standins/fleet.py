"""Run a small deployment as separate processes, with published files."""

from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import trio

from standins.caller import Caller
from standins.fleetplan import (
    EXAMPLES,
    SITES,
    FleetPlan,
    NodePlan,
    plan_fleet,
)
from standins.ports import LOOPBACK
from standins.processes import Output, Processes
from standins.readiness import wait_for_answers, wait_for_claim_sets
from standins.services import StandInServices

_PROGRAMS = 'trefoilsaddle.programs'
# Arguments for publishing a file of which no version is in force yet.
_NO_VERSION = ('--expect', '0')
_SETTINGS = '--settings'


class FleetError(Exception):
    """Raised when the deployment refuses to publish its files."""


class Fleet:
    """Running deployment, whose processes can be called, frozen and killed."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Prepare the deployment without starting any process."""
        self.plan = plan
        self.processes = Processes(folder)
        self.services = StandInServices(plan, self.processes)
        self._callers = {
            node.name: Caller(node.callers or 0) for node in plan.entries
        }

    async def start(self) -> None:
        """Start all processes, publish the files and wait for readiness."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.services.start)
            for node in self.plan.nodes:
                nursery.start_soon(self.start_node, node)
        await self._publish_files()
        await self.wait_until_ready()

    async def start_node(self, node: NodePlan) -> None:
        """Start or restart an entry process or a dispatcher."""
        program = 'dispatcher' if node.callers is None else 'entry'
        settings = self.plan.write_node_settings(node, self.processes.folder)
        await self.processes.start(
            node.name,
            f'{_PROGRAMS}.{program}',
            (_SETTINGS, str(settings)),
        )
        await self.processes.wait_for_port(node.name, node.port)

    async def publish(self, path: Path, *options: str) -> Output:
        """Publish a file with the operators' command."""
        command = ('publish', 'publish', str(path))
        return await self._run_command(*command, *options)

    async def dump_state(self, name: str) -> Output:
        """Read a dump of a process's state with the operators' command."""
        port = self.plan.find_node(name).port
        return await self._run_command('status', 'dump', f'{LOOPBACK}:{port}')

    async def show_table(self) -> Output:
        """Show each process's version with the operators' command."""
        return await self._run_command('status', 'table')

    def caller(self, entry: str) -> Caller:
        """Return the client for an entry process."""
        return self._callers[entry]

    async def stop_nodes(self) -> dict[str, int]:
        """Stop the entry processes, then the dispatchers, gracefully."""
        codes = await self._stop(self.plan.entries)
        codes.update(await self._stop(self.plan.dispatchers))
        return codes

    async def aclose(self) -> None:
        """Stop all processes that are still running."""
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for caller in self._callers.values():
                    nursery.start_soon(caller.aclose)
                nursery.start_soon(self.processes.stop_all)

    async def wait_until_ready(self) -> None:
        """Wait until requests through every entry process are answered."""
        running = self.processes.running.keys() & self._callers.keys()
        await wait_for_answers([self._callers[name] for name in running])

    async def wait_for_claims(self) -> None:
        """Wait until each server's role has members that may take it over."""
        servers = {server.name for server in self.plan.servers}
        await wait_for_claim_sets(self.services, servers)

    async def _stop(self, nodes: Iterable[NodePlan]) -> dict[str, int]:
        running = self.processes.running
        names = [node.name for node in nodes if node.name in running]
        return await self.processes.stop(names)

    async def _run_command(self, program: str, *arguments: str) -> Output:
        settings = self.plan.write_operator_settings(self.processes.folder)
        return await self.processes.run(
            f'{_PROGRAMS}.{program}',
            (*arguments, _SETTINGS, str(settings)),
        )

    async def _publish_files(self) -> None:
        outputs = [await self.publish(EXAMPLES / 'base.yaml', *_NO_VERSION)]
        sites = list(self.plan.overlays)
        while sites:
            site = sites.pop()
            overlay = self.plan.write_overlay(site, self.processes.folder)
            outputs.append(
                await self.publish(overlay, *_NO_VERSION, '--site', site)
            )
        for output in outputs:
            if output.code != 0:
                raise FleetError(output.text)


@asynccontextmanager
async def run_fleet(
    folder: Path,
    sites: Sequence[str] = SITES,
) -> AsyncIterator[Fleet]:
    """Run a deployment for a context, and stop all its processes after it."""
    fleet = Fleet(plan_fleet(sites), folder)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(fleet.aclose)
        await fleet.start()
        yield fleet
