"""Dump the state of a gateway to the log on request.

The dump contains no key of a request, no body and no caller's data.
"""

import json
from typing import Any

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Component, Effects
from trefoilsaddle.gateway.events import DumpRequested, Event
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.state import Gateway, ServiceOwners
from trefoilsaddle.gateway.watching import describe_control

# Section of the dump.
_Described = dict[str, Any]


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Log the state when a dump is requested."""
    if not isinstance(event, DumpRequested):
        return []
    text = json.dumps(describe_gateway(gateway, now))
    return [log_event(Component.lifecycle, 'state dump', state=text)]


def describe_gateway(gateway: Gateway, now: Seconds) -> _Described:
    """Return the state of the gateway as plain data."""
    link = gateway.link
    control = gateway.control
    return {
        'configuration': gateway.version,
        'ready': gateway.ready,
        'drained_zones': list(gateway.drained.zones),
        'stopping_for': _find_age(gateway.stopping_since, now),
        'controller': {
            'node': None if link.address is None else link.address.node,
            'news_age': _find_age(link.news_at, now),
            'chosen_here': control.elected,
            'leading_here': control.leading,
            'gateways': link.gateways,
        },
        'store': {
            topic.value: {
                'next_offset': state.next_offset,
                'read_age': _find_age(state.read_at, now),
                'away': state.unreachable,
            }
            for topic, state in gateway.topics.items()
        },
        'servers': _describe_servers(gateway, now),
        'work': [
            {
                'service': work.service,
                'route': work.route,
                'mean': round(mean.total / mean.weight, 3),
                'samples': round(mean.weight, 1),
            }
            for work, mean in gateway.work.routes.items()
        ],
        'owners': {
            service: _describe_owners(owners)
            for service, owners in gateway.owners.items()
        },
        'grants': {
            service: _describe_grants(keyed, now)
            for service, keyed in control.keyed.items()
        },
        'control': [
            describe_control(gateway, keyed, now)
            for keyed in control.keyed.values()
        ],
        'requests': {
            'open': len(gateway.calls),
            'parked': len(gateway.parked),
        },
        'repeats': {
            service: {
                'requests': len(budget.requests),
                'repeats': len(budget.retries),
            }
            for service, budget in gateway.budgets.items()
        },
    }


def _find_age(moment: Seconds | None, now: Seconds) -> float | None:
    return None if moment is None else round(now - moment, 2)


def _describe_servers(gateway: Gateway, now: Seconds) -> list[_Described]:
    described = []
    for server in gateway.registry.servers.values():
        pool = gateway.pools.find(server.life)
        gateways = gateway.count_gateways()
        busy = gateway.pools.estimate_busy(pool, now, gateways)
        described.append(
            {
                'server': server.life.server,
                'born': server.life.born,
                'service': server.service,
                'draining': server.draining,
                'doubted': server.life.server
                in gateway.registry.deferred_removals,
                'running_here': pool.running,
                'busy': round(busy, 1),
                'service_time': round(pool.service_time, 3),
                'failure_rate': round(pool.failure_rate, 2),
                'limit': gateway.limits.find_rate(server.life, now),
                'paused_for': round(max(pool.paused_until - now, 0), 2),
            },
        )
    return described


def _describe_owners(owners: ServiceOwners) -> _Described:
    return {
        'offset': owners.position.offset,
        'ranges': [
            [entry.first, entry.last, entry.tag, entry.serving]
            for entry in owners.owners.entries
        ],
    }


def _describe_grants(keyed: KeyedControl, now: Seconds) -> list[_Described]:
    return [
        {
            'first': partition.keys.first,
            'last': partition.keys.last,
            'server': None
            if partition.incarnation is None
            else partition.incarnation.server,
            'state': partition.state.value,
            'fence': partition.fence,
            'held_for': round(max(partition.held_until - now, 0), 2),
        }
        for partition in keyed.partitions.ordered
    ]
