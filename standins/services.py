"""Start and control the stand-ins of a deployment."""

from collections.abc import Iterable

import httpcore
import trio
from pydantic import TypeAdapter
from pydantic_core import to_json as write_json

from standins.fleetplan import Document, FleetPlan, ServerPlan, StandInName
from standins.ports import LOOPBACK
from standins.processes import Processes
from standins.serverstate import Execution
from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import Offset
from trefoilsaddle.logservice.exchange import ServiceAddress
from trefoilsaddle.logservice.logclient import HttpLogClient, LogPage

_EXECUTIONS = TypeAdapter(list[Execution])
_OK = 200


class ControlError(Exception):
    """Raised when a stand-in does not answer a control request with 200."""


class StandInServices:
    """Log service, host list and backend servers of a deployment."""

    def __init__(self, plan: FleetPlan, processes: Processes) -> None:
        """Prepare without starting any process."""
        self._plan = plan
        self._processes = processes

    async def start(self) -> None:
        """Start all stand-ins and wait until they listen."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start_log)
            nursery.start_soon(self._start_hosts)
            for server in self._plan.servers:
                nursery.start_soon(self._start_server, server)

    async def control_log(self, **switches: object) -> None:
        """Set fault switches of the log service."""
        await self._control(self._plan.log, switches)

    async def control_server(self, server: str, **switches: object) -> None:
        """Set fault switches of a backend server."""
        ports = {plan.name: plan.port for plan in self._plan.servers}
        await self._control(ports[server], switches)

    async def list_hosts(self, states: Document) -> None:
        """Replace the host list; states are `live` or `leaving` by name."""
        await self._control(self._plan.hosts, {'hosts': states})

    async def read_executions(self) -> list[Execution]:
        """Return the executions of all backend servers."""
        executions: list[Execution] = []
        async with trio.open_nursery() as nursery:
            for server in self._plan.servers:
                nursery.start_soon(_read_executions, server.port, executions)
        return executions

    async def read_records(self) -> list[Record]:
        """Return all records of the log, oldest first."""
        log = HttpLogClient(ServiceAddress(LOOPBACK, self._plan.log))
        records: list[Record] = []
        page = await log.read(Offset(0))
        while isinstance(page, LogPage) and page.entries:
            for entry in page.entries:
                records.extend(entry.records)
            page = await log.read(Offset(page.entries[-1].offset + 1))
        await log.aclose()
        return records

    async def _control(self, port: int, switches: Document) -> None:
        await _exchange('POST', port, '/control', write_json(switches))

    async def _start_log(self) -> None:
        await self._start(StandInName.log, 'logservice', self._plan.log)

    async def _start_hosts(self) -> None:
        await self._start(StandInName.hosts, 'hostservice', self._plan.hosts)
        names = [server.name for server in self._plan.servers]
        names.extend(node.name for node in self._plan.nodes)
        await self.list_hosts(dict.fromkeys(names, 'live'))

    async def _start_server(self, server: ServerPlan) -> None:
        checks = 'checks' if server.checks_grants else 'no-checks'
        await self._start(
            server.name,
            'backendserver',
            server.port,
            (server.name, f'--{checks}-grants'),
        )

    async def _start(
        self,
        name: str,
        module: str,
        port: int,
        arguments: Iterable[str] = (),
    ) -> None:
        await self._processes.start(
            name,
            f'standins.{module}',
            (str(port), *arguments),
        )
        await self._processes.wait_for_port(name, port)


async def _read_executions(port: int, executions: list[Execution]) -> None:
    body = await _exchange('GET', port, '/executions', b'')
    executions.extend(_EXECUTIONS.validate_json(body))


async def _exchange(method: str, port: int, path: str, body: bytes) -> bytes:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f'http://{LOOPBACK}:{port}{path}',
            content=body,
        )
    if response.status != _OK:
        raise ControlError(f'the stand-in answered {response.status}')
    return response.content
