"""Dump a process's state as JSON, without any key, body or token."""

from dataclasses import asdict, astuple, dataclass
from json import dumps as write_json

from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import (
    Moment,
    NodeId,
    Offset,
    RegionName,
    Seconds,
    ServerId,
    SiteName,
    Version,
    ZoneName,
)
from trefoilsaddle.core.view import LogView

_BASE_FILE = 'base file'


@dataclass(frozen=True, slots=True)
class DocumentDump:
    """Show the version in which a document was last replaced."""

    # Name of the site, or `base file`.
    document: str
    version: Version


@dataclass(frozen=True, slots=True)
class ServerDump:
    """Show a server's dispatcher and number of shards."""

    server: ServerId
    shards: int
    dispatcher: NodeId | None
    # Offset and sequence of the dispatcher's term.
    term: tuple[int, int] | None


@dataclass(frozen=True, slots=True)
class QueueDump:
    """Show the numbers of requests to one server at its dispatcher."""

    server: ServerId
    # By rank, the most urgent first.
    waiting: tuple[int, ...]
    parked: int
    running: int


@dataclass(frozen=True, slots=True)
class DutyDump:
    """Show the term, shards and grants of a server held by a dispatcher."""

    server: ServerId
    # Offset and sequence of the dispatcher's term.
    term: tuple[int, int]
    # True while only the server's fence has confirmed the term.
    provisional: bool
    shards: int
    granted_shards: int
    moving_shards: int
    # Time for which the server's grants are guaranteed to be valid.
    grants_left: Seconds


@dataclass(frozen=True, slots=True)
class ProcessDump:
    """Show the address and the assumed health of a process."""

    node: NodeId
    zone: ZoneName
    host: str
    port: int
    dispatches: bool
    health: str


@dataclass(frozen=True, slots=True)
class Dump:
    """Hold the dump of a process's state."""

    node: NodeId
    site: SiteName
    region: RegionName
    zone: ZoneName
    dispatches: bool
    stopping: bool
    # Last log offset that the process has applied.
    applied: Offset
    log_away: bool
    version: Version
    documents: tuple[DocumentDump, ...]
    lost_zones: tuple[ZoneName, ...]
    servers: tuple[ServerDump, ...]
    duties: tuple[DutyDump, ...]
    queues: tuple[QueueDump, ...]
    pending_calls: int
    processes: tuple[ProcessDump, ...]


def write_dump(node: Node, moment: Moment) -> str:
    """Return the dump of a process's state as JSON text."""
    return write_json(asdict(build_dump(node, moment)))


def build_dump(node: Node, moment: Moment) -> Dump:
    """Collect the dump of a process's state."""
    options = node.options
    return Dump(
        node=options.node,
        site=options.site,
        region=options.region,
        zone=options.zone,
        dispatches=options.dispatches,
        stopping=node.stopping,
        applied=node.view.applied,
        log_away=node.following.log_away,
        version=node.view.version,
        documents=_dump_documents(node.view),
        lost_zones=tuple(sorted(node.view.lost_zones)),
        servers=_dump_servers(node.view),
        duties=_dump_duties(node, moment),
        queues=_dump_queues(node),
        pending_calls=len(node.routing.pending),
        processes=_dump_processes(node),
    )


def _dump_documents(view: LogView) -> tuple[DocumentDump, ...]:
    versions = view.document_versions.items()
    return tuple(
        DocumentDump(site or _BASE_FILE, version) for site, version in versions
    )


def _dump_servers(view: LogView) -> tuple[ServerDump, ...]:
    dumps: list[ServerDump] = []
    for policy in view.servers():
        server = policy.server_id
        role = view.roles.get(server)
        dumps.append(
            ServerDump(
                server=server,
                shards=view.count_shards(server),
                dispatcher=None if role is None else role.dispatcher,
                term=None if role is None else astuple(role.term),
            ),
        )
    return tuple(dumps)


def _dump_duties(node: Node, moment: Moment) -> tuple[DutyDump, ...]:
    dumps: list[DutyDump] = []
    for duty in node.duties.held.values():
        left = duty.grants.valid_until - moment.monotonic
        dumps.append(
            DutyDump(
                server=duty.server,
                term=astuple(duty.term),
                provisional=duty.provisional,
                shards=len(duty.shards),
                granted_shards=len(duty.grants.accepted),
                moving_shards=len(duty.moves),
                grants_left=Seconds(max(left, 0)),
            ),
        )
    return tuple(dumps)


def _dump_queues(node: Node) -> tuple[QueueDump, ...]:
    return tuple(
        QueueDump(
            server=queue.server,
            waiting=tuple(ranked.size for ranked in queue.ranks),
            parked=len(queue.parked),
            running=len(queue.running),
        )
        for queue in node.dispatching.queues.values()
    )


def _dump_processes(node: Node) -> tuple[ProcessDump, ...]:
    return tuple(
        ProcessDump(
            node=update.node,
            zone=update.zone,
            host=update.host,
            port=update.port,
            dispatches=update.dispatches,
            health=update.health.value,
        )
        for update in node.membership.processes.values()
    )
