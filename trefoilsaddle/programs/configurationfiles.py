"""Read the files that a check of a configuration needs, and print its result."""

import json
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import RegionName
from trefoilsaddle.gateway.configurationchanges import Change, list_changes
from trefoilsaddle.gateway.configurationcheck import (
    ConfigurationDocument,
    check_configuration,
)
from trefoilsaddle.gateway.findings import Finding, FindingCode, Severity
from trefoilsaddle.platform.configuration import decode_document
from trefoilsaddle.platform.settings import read_settings
from trefoilsaddle.programs.commandline import find_exit_code
from trefoilsaddle.results import ResultCode

_WARNING_EXIT_CODE = 1
_NO_RUN = 0


@dataclass(slots=True)
class CheckReport:
    """Hold the result of a check."""

    findings: list[Finding] = field(default_factory=list)
    # Differences from the version in force, if it was given.
    changes: list[Change] = field(default_factory=list)

    def find_exit_code(self) -> int:
        """Return the exit code of the command."""
        severities = {finding.severity for finding in self.findings}
        if Severity.error in severities:
            return find_exit_code(ResultCode.configuration_invalid)
        return _WARNING_EXIT_CODE if severities else 0


def check_files(
    path: Path, against: Path | None, settings: Path | None
) -> CheckReport:
    """Check a configuration file, with a version in force and settings."""
    report = CheckReport()
    document = _read_document(path, report.findings)
    old = None
    if against is not None:
        old = _read_other_document(against, report.findings)
    regions = None
    if settings is not None:
        regions = _read_regions(settings, report.findings)
    if document is None:
        return report
    in_force = None if old is None else old.version
    report.findings += check_configuration(document, in_force, regions)
    if old is not None:
        report.changes = list_changes(old, document)
    return report


def _read_document(
    path: Path, findings: list[Finding]
) -> ConfigurationDocument | None:
    try:
        encoded = path.read_bytes()
    except OSError as error:
        reason = f'cannot be read: {error.strerror}'
        findings.append(Finding(FindingCode.file_unreadable, str(path), reason))
        return None
    decoded = decode_document(encoded)
    if isinstance(decoded, ConfigurationDocument):
        return decoded
    findings.extend(decoded)
    return None


def _read_other_document(
    path: Path, findings: list[Finding]
) -> ConfigurationDocument | None:
    """Read the version in force; its findings begin with the file's path."""
    found: list[Finding] = []
    document = _read_document(path, found)
    for finding in found:
        place = finding.place
        if finding.code != FindingCode.file_unreadable:
            place = f'{path}: {place}'
        findings.append(Finding(finding.code, place, finding.text))
    return document


def _read_regions(
    path: Path, findings: list[Finding]
) -> Collection[RegionName] | None:
    loaded = read_settings(path, _NO_RUN)
    if isinstance(loaded, Failure):
        reason = loaded.reason.removeprefix(f'{path}: ')
        findings.append(
            Finding(FindingCode.settings_invalid, str(path), reason)
        )
        return None
    return set(loaded.options.regions.values())


def write_text(report: CheckReport) -> str:
    """Format a report, one line for each finding and change."""
    lines = [_write_finding(found) for found in report.findings]
    if not lines:
        lines.append('nothing found')
    lines.extend(_write_change(change) for change in report.changes)
    return '\n'.join(lines)


def _write_finding(found: Finding) -> str:
    parts = (found.severity, found.place, f'{found.text} [{found.code}]')
    return ': '.join(parts)


def _write_change(change: Change) -> str:
    parts = [change.kind, f'{change.part} {change.name}']
    if change.field:
        parts.extend((change.field, f'{change.old} -> {change.new}'))
    else:
        parts.append(change.old or change.new)
    return ': '.join(parts)


def write_json(report: CheckReport) -> str:
    """Format a report as a JSON object."""
    findings = [
        {
            'severity': found.severity,
            'code': found.code,
            'place': found.place,
            'text': found.text,
        }
        for found in report.findings
    ]
    changes = [
        {
            'kind': change.kind,
            'part': change.part,
            'name': change.name,
            'field': change.field,
            'old': change.old,
            'new': change.new,
        }
        for change in report.changes
    ]
    return json.dumps({'findings': findings, 'changes': changes}, indent=2)
