"""Decide whether the store may have lost the tables of a service.

A service without a table is a new one, or the store came back from a copy that
is older than its first table.  Both look alike in the store, and controllers may
still renew grants by the lost tables.  A service counts as new only if something
excludes the loss.
"""

from collections.abc import Collection
from enum import StrEnum, unique

from trefoilsaddle.core.units import Seconds, ServiceName, StoreEra
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import Assignment, OwnershipTable

# Era of a store that has never come back from a copy.
_FIRST_ERA = StoreEra(1)
# No keys are granted within this time from the start of a system: the servers of
# a new service have to register first, and all machines start within 0.3 s of
# each other (stated by the users).
_MIN_TIME_TO_GRANT = Seconds(1)


@unique
class Novelty(StrEnum):
    """Reason for which a service without a table never had one."""

    store_lost_nothing = 'the store has never lost a table'
    first_start = 'the system has started in this era of the store'
    added_later = (
        'a table of this era was stored before the service was divided'
    )


def is_before_grants(gateway: Gateway, now: Seconds) -> bool:
    """Return whether the system has started too recently to have granted keys."""
    if not gateway.options.first_start:
        return False
    return now - gateway.started_at <= _MIN_TIME_TO_GRANT


def find_novelty(gateway: Gateway, service: ServiceName) -> Novelty | None:
    """Return why a service is new; None if its tables may be lost."""
    if gateway.era <= _FIRST_ERA:
        return Novelty.store_lost_nothing
    if gateway.era == gateway.initial_era:
        return Novelty.first_start
    if any(
        _precedes(gateway, stored.table, service)
        for stored in gateway.tables.values()
    ):
        return Novelty.added_later
    return None


def list_divided(
    gateway: Gateway,
    service: ServiceName,
    assignments: Collection[Assignment],
) -> tuple[ServiceName, ...]:
    """Return the services whose keys have been granted, with the next table.

    That table has the assignments of one service.
    """
    divided = {service} if assignments else set()
    for stored in gateway.tables.values():
        divided.update(stored.table.divided)
        if stored.table.assignments:
            divided.add(stored.table.service)
    return tuple(sorted(divided))


def _precedes(
    gateway: Gateway, table: OwnershipTable, service: ServiceName
) -> bool:
    """Return whether no keys of a service were granted before a table.

    The controller of a complete table knew every table before its own.
    """
    if not is_complete(gateway, table):
        return False
    return bool(table.divided) and service not in table.divided


def is_complete(gateway: Gateway, table: OwnershipTable) -> bool:
    """Return whether a table rests on all tables that were ever stored."""
    return table.era == gateway.era and not table.incomplete
