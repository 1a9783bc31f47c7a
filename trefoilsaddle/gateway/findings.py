"""Define what the check of a configuration reports.

Codes are stable: scripts of operators may depend on them.  docs/OPERATIONS.md
has a row for each code; a test compares the two.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from trefoilsaddle.core.units import Seconds


@unique
class Severity(StrEnum):
    """Severity of a finding."""

    error = 'error'
    warning = 'warning'


@unique
class FindingCode(StrEnum):
    """Kind of a finding."""

    # Input that cannot be read.
    file_unreadable = 'file_unreadable'
    not_json = 'not_json'
    field_invalid = 'field_invalid'
    settings_invalid = 'settings_invalid'

    # Values that a gateway cannot serve with as they are meant.
    version_not_newer = 'version_not_newer'
    time_not_positive = 'time_not_positive'
    size_not_positive = 'size_not_positive'
    attempts_below_one = 'attempts_below_one'
    connections_below_one = 'connections_below_one'
    prefix_start = 'prefix_start'
    service_missing = 'service_missing'
    service_undefined = 'service_undefined'
    service_duplicate = 'service_duplicate'
    weights_zero = 'weights_zero'
    regions_without_zone = 'regions_without_zone'

    # Entries without effect, and limits that contradict each other.
    route_shadowed = 'route_shadowed'
    route_duplicate = 'route_duplicate'
    prefix_end = 'prefix_end'
    service_unused = 'service_unused'
    weight_zero = 'weight_zero'
    region_without_zone = 'region_without_zone'
    goal_above_timeout = 'goal_above_timeout'
    header_above_body = 'header_above_body'
    idle_below_header = 'idle_below_header'


WARNINGS = frozenset(
    (
        FindingCode.route_shadowed,
        FindingCode.route_duplicate,
        FindingCode.prefix_end,
        FindingCode.service_unused,
        FindingCode.weight_zero,
        FindingCode.region_without_zone,
        FindingCode.goal_above_timeout,
        FindingCode.header_above_body,
        FindingCode.idle_below_header,
    )
)


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe a fault of a configuration and where it is."""

    code: FindingCode
    # Place in the file, such as `listeners[0].rules[2]`, or the file's path.
    place: str
    text: str

    @property
    def severity(self) -> Severity:
        """Return how severe the finding is."""
        return Severity.warning if self.code in WARNINGS else Severity.error


def write_number(number: float) -> str:
    """Format a number without the digits that a float adds."""
    return format(number, '.12g')


def write_seconds(seconds: Seconds) -> str:
    """Format a time."""
    return f'{write_number(seconds)} s'
