"""Processes and configuration of the service measurements."""

from measure.scenes import (
    DEADLINES,
    QUEUE_LIMIT,
    RANK_NAMES,
    SHARES,
    SLOTS,
    TARGETS,
    Deployment,
    Service,
)
from trefoilsaddle.core.authority import Authority
from trefoilsaddle.core.calls import IdempotencyKey, Request
from trefoilsaddle.core.configuration import (
    Configuration,
    LimitPolicy,
    RankPolicy,
    ServerPolicy,
    ServicePolicy,
    SitePolicy,
)
from trefoilsaddle.core.disciplines import Discipline
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.node import Node, build_node
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.core.units import (
    Epoch,
    MemberName,
    Moment,
    NodeId,
    Offset,
    Rank,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
)
from trefoilsaddle.core.view import Ownership, Role

DISPATCHER = NodeId('dispatcher-1')
NEAR_ENTRY = NodeId('entry-near')
FAR_ENTRY = NodeId('entry-far')

_ZONE = ZoneName('zone-1')
_REGION = RegionName('region-1')
_SITE = SiteName('site-1')
_TERM = Epoch(Offset(1), 0)
_EPOCH = Epoch(Offset(2), 0)
_LOOKUP_RANK = 1


def server_name(service: Service) -> str:
    """Return the name of the one simulated server of a service."""
    return f'{service.name}-1'


def build_fleet(
    deployment: Deployment,
    discipline: Discipline,
) -> dict[NodeId, Node]:
    """Build one entry process for each region, and one dispatcher."""
    nodes: dict[NodeId, Node] = {}
    for seed, name in enumerate((NEAR_ENTRY, FAR_ENTRY, DISPATCHER)):
        node = build_node(_build_options(name, seed))
        node.view.put_configuration(_build_configuration(deployment))
        node.dispatching.discipline = discipline
        for service in deployment.services:
            _place_service(node, service)
        nodes[name] = node
    return nodes


def grant_authority(
    node: Node,
    moment: Moment,
    server: ServerId,
    shard: ShardId,
) -> Authority | Failure:
    """Grant authority always, as the measured dispatcher keeps its roles."""
    return Authority(_TERM, _EPOCH, Seconds(moment.monotonic + 1))


def build_measured_request(
    service: str,
    rank: int,
    member: str,
    token: str,
    created: float,
) -> Request:
    """Build a request; only lookups are idempotent."""
    idempotent = rank == _LOOKUP_RANK
    key = None if idempotent else IdempotencyKey(Seconds(created), token)
    return Request(
        service=ServiceName(service),
        member=MemberName(member),
        rank=Rank(rank),
        key=token.encode(),
        method='POST',
        path='/',
        content_type='text/plain',
        body=b'',
        idempotent=idempotent,
        idempotency_key=key,
        remaining=Seconds(DEADLINES[rank]),
    )


def _place_service(node: Node, service: Service) -> None:
    server = ServerId(server_name(service))
    shard = ShardId(ServiceName(service.name), ShardNumber(0))
    owner = Ownership(server, _EPOCH, first=True)
    node.view.put_owner(shard, owner)
    node.view.roles[server] = Role(DISPATCHER, _TERM, ())
    adopt_shard(node, Moment(Seconds(0), Seconds(0)), shard, fresh=True)


def _build_configuration(deployment: Deployment) -> Configuration:
    ranks = tuple(
        RankPolicy(name, Seconds(target), worth, share)
        for name, target, worth, share in zip(
            RANK_NAMES,
            TARGETS,
            deployment.worths,
            SHARES,
            strict=True,
        )
    )
    servers = tuple(map(_build_server, deployment.services))
    limits = LimitPolicy(
        retry_budget=0.1,
        grant_duration=Seconds(2),
        lease_duration=Seconds(2),
        clock_drift=0.01,
        clock_skew=Seconds(0.1),
        idempotency_window=Seconds(600),
        idempotency_limit=10_000,
        imbalance=0.2,
        hot_fraction=0.1,
    )
    return Configuration(
        version=Version(1),
        ranks=ranks,
        services={
            ServiceName(service.name): _build_service(service)
            for service in deployment.services
        },
        members=tuple(map(MemberName, deployment.members)),
        limits=limits,
        sites={_SITE: SitePolicy(_SITE, _REGION, (_ZONE,), servers, ())},
    )


def _build_service(service: Service) -> ServicePolicy:
    return ServicePolicy(
        name=ServiceName(service.name),
        shard_count=1,
        longest_deadline=Seconds(30),
        queue_limit=QUEUE_LIMIT,
        largest_body=65_536,
        isolation_hold=None,
    )


def _build_server(service: Service) -> ServerPolicy:
    return ServerPolicy(
        server_id=ServerId(server_name(service)),
        service=ServiceName(service.name),
        zone=_ZONE,
        host='127.0.0.1',
        port=1,
        slots=SLOTS,
        connections=45,
        checks_grants=True,
        leaving=False,
    )


def _build_options(name: NodeId, seed: int) -> Options:
    return Options(
        node=name,
        zone=_ZONE,
        region=_REGION,
        site=_SITE,
        host='127.0.0.1',
        port=1,
        dispatches=name == DISPATCHER,
        peers=(),
        seed=seed,
    )
