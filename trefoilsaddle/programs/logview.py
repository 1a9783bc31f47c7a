"""Read the log and publish to it from a command-line program."""

from trio import move_on_after, sleep

from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.publishing import (
    evaluate_publication,
    shorten_publication,
)
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.snapshots import SnapshotCollector
from trefoilsaddle.core.units import Offset, Seconds
from trefoilsaddle.core.view import LogView, Verdict
from trefoilsaddle.logservice.logclient import LogClient, LogPage
from trefoilsaddle.results import ResultCode

# Interval between reads until a publication appears in the log.
_READ_INTERVAL = Seconds(0.1)
# Number of reads after which a record is appended again, as the append may have
# been lost.
_READS_PER_APPEND = 10

_UNKNOWN = Failure(
    ResultCode.publication_unknown,
    'the publication did not appear in the log in time; check with '
    'trefoil-status before a retry',
)


class LogFollower:
    """Maintain a view by applying the log to it."""

    def __init__(self, log: LogClient) -> None:
        """Start with an empty view."""
        self.view = LogView()
        self._log = log

    async def catch_up(self) -> Failure | None:
        """Apply all entries up to the tail of the log (log_unavailable)."""
        page = await self._read_page()
        while not isinstance(page, Failure):
            if page.tail <= self.view.applied + 1:
                return None
            page = await self._read_page()
        return page

    async def publish(
        self,
        publication: Publication,
        timeout: Seconds,
    ) -> Verdict | Failure:
        """Publish and return the verdict that is read back from the log.

        Fails with `configuration_invalid` or `version_conflict` before
        anything is appended, and with `publication_unknown` if the verdict
        is not read in time.
        """
        failure = await self.catch_up()
        if failure is not None:
            return failure
        evaluated = evaluate_publication(self.view, publication)
        if isinstance(evaluated, Failure):
            return evaluated
        # Only the changes are sent to every process, not the whole file.
        shortened = shorten_publication(self.view, publication)
        with move_on_after(timeout):
            return await self._append_until_read_back(shortened)
        return _UNKNOWN

    async def _append_until_read_back(
        self, publication: Publication
    ) -> Verdict:
        # The same record may be appended several times; it is applied once.
        reads = 0
        while publication.record_id not in self.view.verdicts:
            if reads % _READS_PER_APPEND == 0:
                await self._log.append((publication,))
            else:
                await sleep(_READ_INTERVAL)
            reads += 1
            await self.catch_up()
        return self.view.verdicts[publication.record_id]

    async def _read_page(self) -> LogPage | Failure:
        page = await self._log.read(Offset(self.view.applied + 1))
        if isinstance(page, Failure):
            return page
        if page.first > self.view.applied + 1:
            return await self._skip_gap(page) or page
        for entry in page.entries:
            apply_entry(self.view, entry)
        return page

    async def _skip_gap(self, page: LogPage) -> Failure | None:
        """Continue from the newest snapshot, since earlier records expired."""
        collector = SnapshotCollector()
        position = page.first
        while position < page.tail:
            part = await self._log.read(position)
            if isinstance(part, Failure):
                return part
            for entry in part.entries:
                collector.collect(entry)
            position = Offset(max(position, part.first) + len(part.entries))
        snapshot = collector.newest
        if snapshot is None or snapshot.applied <= self.view.applied:
            return Failure(
                ResultCode.log_unavailable,
                'the log holds no snapshot that covers the expired records',
            )
        self.view = snapshot
        return None
