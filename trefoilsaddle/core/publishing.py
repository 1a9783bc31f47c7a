"""Evaluate publications against the configuration in force."""

from dataclasses import replace

from trefoilsaddle.core.configuration import (
    Configuration,
    ServerPolicy,
    ServicePolicy,
    SitePolicy,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.units import (
    RecordId,
    ServiceName,
    SiteName,
    Version,
)
from trefoilsaddle.core.view import LogView
from trefoilsaddle.documents import (
    build_limits,
    build_members,
    build_ranks,
    build_services,
    build_site,
    parse_base,
    parse_overlay,
)
from trefoilsaddle.patches import apply_patch, write_patch
from trefoilsaddle.results import ResultCode


def evaluate_publication(
    view: LogView,
    publication: Publication,
) -> Configuration | Failure:
    """Return the configuration that a publication would put in force.

    Fails with `version_conflict` if the document has been replaced since
    the version that the publisher had seen, or `configuration_invalid`.
    """
    replaced = view.document_versions.get(publication.site, Version(0))
    if not replaced <= publication.expected <= view.version:
        return Failure(
            ResultCode.version_conflict,
            f'the document is at version {replaced}',
        )
    whole = complete_publication(view, publication)
    if isinstance(whole, Failure):
        return whole
    version = Version(view.version + 1)
    if whole.site is None:
        return _join_base(view, whole.document, version)
    return _join_overlay(view, whole.site, whole.document, version)


def complete_publication(
    view: LogView,
    publication: Publication,
) -> Publication | Failure:
    """Return the publication with the whole document instead of a patch."""
    if not publication.merge:
        return publication
    former = view.documents.get(publication.site)
    if former is None:
        return _refuse('there is no document to patch')
    document = apply_patch(former, publication.document)
    if isinstance(document, Failure):
        return document
    return replace(publication, document=document, merge=False)


def shorten_publication(
    view: LogView,
    publication: Publication,
) -> Publication:
    """Return the publication as a patch, if that is shorter and equivalent."""
    former = view.documents.get(publication.site)
    if former is None or publication.merge:
        return publication
    patch = write_patch(former, publication.document)
    if isinstance(patch, Failure) or len(patch) >= len(publication.document):
        return publication
    short = replace(publication, document=patch, merge=True)
    evaluated = evaluate_publication(view, short)
    if evaluated != evaluate_publication(view, publication):
        return publication
    return short


def join_documents(
    documents: dict[SiteName | None, str],
    version: Version,
) -> Configuration | Failure:
    """Build the configuration from a base file and the overlays in force."""
    view = LogView()
    for site in sorted(documents, key=lambda name: name or ''):
        publication = Publication(
            record_id=RecordId(''),
            expected=Version(0),
            site=site,
            document=documents[site],
        )
        joined = evaluate_publication(view, publication)
        if isinstance(joined, Failure):
            return joined
        view.configuration = joined
    if view.configuration is None:
        return _refuse('no base file is in force')
    return replace(view.configuration, version=version)


def _join_base(
    view: LogView,
    document: str,
    version: Version,
) -> Configuration | Failure:
    base = parse_base(document)
    if isinstance(base, Failure):
        return base
    former = view.configuration
    configuration = Configuration(
        version=version,
        ranks=build_ranks(base),
        services=build_services(base),
        members=build_members(base),
        limits=build_limits(base),
        sites={} if former is None else former.sites,
    )
    failure = _check_services(former, configuration.services)
    for site in configuration.sites.values():
        failure = failure or _check_site(configuration, site)
    return failure or configuration


def _join_overlay(
    view: LogView,
    name: SiteName,
    document: str,
    version: Version,
) -> Configuration | Failure:
    overlay = parse_overlay(document)
    if isinstance(overlay, Failure):
        return overlay
    if view.configuration is None:
        return _refuse('no base file is in force')
    site = build_site(name, overlay)
    failure = _check_site(view.configuration, site)
    failure = failure or _check_owners(view, site)
    if failure is not None:
        return failure
    sites = {**view.configuration.sites, name: site}
    return replace(
        view.configuration,
        version=version,
        sites=dict(sorted(sites.items())),
    )


def _check_services(
    former: Configuration | None,
    services: dict[ServiceName, ServicePolicy],
) -> Failure | None:
    """Refuse changes of a service's shard count, which would remap keys."""
    if former is None:
        return None
    for name, service in former.services.items():
        successor = services.get(name)
        if successor is None:
            return _refuse(f'service {name} is missing')
        if successor.shard_count != service.shard_count:
            return _refuse(f'service {name} changes its shards')
    return None


def _check_site(
    configuration: Configuration,
    site: SitePolicy,
) -> Failure | None:
    for server in site.servers:
        if server.service not in configuration.services:
            return _refuse(f'server {server.server_id}: unknown service')
    names = {policy.server_id for policy in site.servers}
    for other in configuration.sites.values():
        if other.name == site.name:
            continue
        if not set(other.zones).isdisjoint(site.zones):
            return _refuse(f'a zone belongs to site {other.name}')
        if any(known.server_id in names for known in other.servers):
            return _refuse(f'a server belongs to site {other.name}')
    return None


def _check_owners(view: LogView, site: SitePolicy) -> Failure | None:
    """Refuse to remove, relocate or repurpose a server that owns shards.

    Requests in flight at its former address, or for its former service, could
    otherwise run concurrently with requests sent to its successor.
    """
    assert view.configuration is not None
    former = view.configuration.sites.get(site.name)
    successors = {policy.server_id: policy for policy in site.servers}
    for policy in former.servers if former else ():
        if not view.count_shards(policy.server_id):
            continue
        successor = successors.get(policy.server_id)
        if successor is None:
            reason = 'owns shards: mark it as leaving first'
            return _refuse(f'server {policy.server_id} {reason}')
        if not _is_unchanged(policy, successor):
            reason = 'owns shards: give its successor a name of its own'
            return _refuse(f'server {policy.server_id} {reason}')
    return None


def _is_unchanged(policy: ServerPolicy, successor: ServerPolicy) -> bool:
    if policy.service != successor.service:
        return False
    return (policy.host, policy.port) == (successor.host, successor.port)


def _refuse(reason: str) -> Failure:
    return Failure(ResultCode.configuration_invalid, reason)
