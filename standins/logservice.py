"""Log service for tests: `python -m standins.logservice`."""

import time
from dataclasses import asdict

import trio
from pydantic import BaseModel, TypeAdapter, ValidationError
from typer import Typer

from standins.httpshell import (
    HttpAnswer,
    HttpApp,
    HttpRequest,
    answer_json,
    run_app,
    update_switches,
)
from standins.logstore import LogLimits, LogStore, LogSwitches, StoredPage
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Offset, Seconds

app = Typer(add_completion=False)

_SWITCHES = TypeAdapter(LogSwitches)
_DEFAULT_LIMIT = '256'
# Longest wait of a read for a new entry, in seconds.
_MAX_WAIT = 30.0
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503


class AppendBody(BaseModel):
    """JSON body of an append request."""

    text: str


class LogApp(HttpApp):
    """HTTP interface of the log: appends, reads and control requests."""

    def __init__(self, store: LogStore) -> None:
        """Serve the given store."""
        self._store = store
        self._appended = trio.Event()

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Dispatch by path; the delay does not apply to control requests."""
        if request.path == '/control':
            return self._handle_control(request)
        await trio.sleep(self._store.switches.delay)
        if request.path == '/append':
            return self._handle_append(request)
        if request.path == '/entries':
            return await self._handle_read(request)
        return answer_json(_NOT_FOUND, {})

    def _handle_control(self, request: HttpRequest) -> HttpAnswer:
        if request.method == 'POST':
            switches = update_switches(
                self._store.switches,
                _SWITCHES,
                request.body,
            )
            if isinstance(switches, HttpAnswer):
                return switches
            self._store.switches = switches
        return answer_json(
            _OK,
            {**asdict(self._store.switches), 'tail': self._store.tail},
        )

    def _handle_append(self, request: HttpRequest) -> HttpAnswer:
        try:
            body = AppendBody.model_validate_json(request.body)
        except ValidationError as error:
            return answer_json(_BAD_REQUEST, {'error': str(error)})
        offset = self._store.append(Seconds(time.monotonic()), body.text)
        self._appended.set()
        self._appended = trio.Event()
        if isinstance(offset, Failure):
            return answer_json(_UNAVAILABLE, {'error': offset.reason})
        return answer_json(_OK, {'offset': offset})

    async def _handle_read(self, request: HttpRequest) -> HttpAnswer:
        start = Offset(int(request.query.get('from', '0')))
        limit = int(request.query.get('limit', _DEFAULT_LIMIT))
        wait = float(request.query.get('wait', '0'))
        page = self._read_page(start, limit)
        with trio.move_on_after(min(wait, _MAX_WAIT)):
            while isinstance(page, StoredPage) and page.tail <= start:
                await self._appended.wait()
                page = self._read_page(start, limit)
        if isinstance(page, Failure):
            return answer_json(_UNAVAILABLE, {'error': page.reason})
        entries = [
            {'offset': entry.offset, 'text': entry.text}
            for entry in page.entries
        ]
        return answer_json(
            _OK,
            {'first': page.first, 'tail': page.tail, 'entries': entries},
        )

    def _read_page(self, start: Offset, limit: int) -> StoredPage | Failure:
        return self._store.read(Seconds(time.monotonic()), start, limit)


@app.command()
def serve_log(
    port: int,
    host: str = '127.0.0.1',
    append_rate: float = 300,
    retention: float = 3600,
) -> None:
    """Serve a log, at first empty, with limits on append rate and retention."""
    limits = LogLimits(append_rate=append_rate, retention=Seconds(retention))
    run_app(LogApp(LogStore(limits)), host, port)


if __name__ == '__main__':
    app()
