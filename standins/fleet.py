"""Run a small deployment as separate processes, with its files in force."""

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
from standins.services import OutsideServices

_PROGRAMS = 'trefoilsaddle.programs'
# No version of the file is in force yet.
_FIRST = ('--expect', '0')
_SETTINGS = '--settings'


class FleetError(Exception):
    """Tell that the deployment does not do what it was asked."""


class Fleet:
    """Run a deployment; each part can be reached, frozen and killed."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Start nothing yet."""
        self.plan = plan
        self.processes = Processes(folder)
        self.services = OutsideServices(plan, self.processes)
        self._callers = {
            node.name: Caller(node.callers or 0) for node in plan.entries
        }

    async def start(self) -> None:
        """Start every process and put the files in force."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.services.start)
            for node in self.plan.nodes:
                nursery.start_soon(self.start_node, node)
        await self._publish_files()
        await self.wait_until_ready()

    async def start_node(self, node: NodePlan) -> None:
        """Start an entry process or a dispatcher, at first or again."""
        program = 'dispatcher' if node.callers is None else 'entry'
        settings = self.plan.write_node_settings(node, self.processes.folder)
        await self.processes.start(
            node.name,
            f'{_PROGRAMS}.{program}',
            (_SETTINGS, str(settings)),
        )
        await self.processes.wait_for_port(node.name, node.port)

    async def publish(self, path: Path, *options: str) -> Output:
        """Publish a file as an operator does."""
        command = ('publish', 'publish', str(path))
        return await self._run_command(*command, *options)

    async def dump_state(self, name: str) -> Output:
        """Ask a process for a dump of its state as an operator does."""
        port = self.plan.find_node(name).port
        return await self._run_command('status', 'dump', f'{LOOPBACK}:{port}')

    async def show_table(self) -> Output:
        """Ask which version is in force where, as an operator does."""
        return await self._run_command('status', 'table')

    def caller(self, entry: str) -> Caller:
        """Return a caller of one entry process."""
        return self._callers[entry]

    async def stop_nodes(self) -> dict[str, int]:
        """Stop the entry processes, then the dispatchers, gracefully."""
        codes = await self._stop(self.plan.entries)
        codes.update(await self._stop(self.plan.dispatchers))
        return codes

    async def aclose(self) -> None:
        """Stop whatever still runs."""
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for caller in self._callers.values():
                    nursery.start_soon(caller.aclose)
                nursery.start_soon(self.processes.stop_all)

    async def wait_until_ready(self) -> None:
        """Wait until every entry process gets answers from every server."""
        running = self.processes.running.keys() & self._callers.keys()
        await wait_for_answers([self._callers[name] for name in running])

    async def wait_until_settled(self) -> None:
        """Wait until each server's role may be taken over by someone."""
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
        outputs = [await self.publish(EXAMPLES / 'base.yaml', *_FIRST)]
        sites = list(self.plan.overlays)
        while sites:
            site = sites.pop()
            overlay = self.plan.write_overlay(site, self.processes.folder)
            outputs.append(await self.publish(overlay, *_FIRST, '--site', site))
        for output in outputs:
            if output.code != 0:
                raise FleetError(output.text)


@asynccontextmanager
async def run_fleet(
    folder: Path,
    sites: Sequence[str] = SITES,
) -> AsyncIterator[Fleet]:
    """Run a deployment; stop all of it at the end."""
    fleet = Fleet(plan_fleet(sites), folder)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(fleet.aclose)
        await fleet.start()
        yield fleet
