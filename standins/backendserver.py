"""Backend server for tests: `python -m standins.backendserver`."""

import time
from base64 import b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, replace
from types import MappingProxyType
from uuid import uuid4

import trio
from pydantic import TypeAdapter, ValidationError
from typer import Typer

from standins.httpshell import (
    HttpAnswer,
    HttpApp,
    HttpRequest,
    answer_json,
    run_app,
    update_switches,
)
from standins.servercalls import GrantBody, read_run_call
from standins.serverstate import (
    Execution,
    NotRun,
    ServerState,
    ServerSwitches,
    ServerTraits,
)
from trefoilsaddle.core.units import (
    Seconds,
    ServerId,
)

app = Typer(add_completion=False)

_SWITCHES = TypeAdapter(ServerSwitches)
_POLL_INTERVAL = 0.005
_SERVICE_TIME = 0.005
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_TIMED_OUT = 504
_REFUSAL_STATUS = MappingProxyType(
    {
        NotRun.fenced: _CONFLICT,
        NotRun.shed: _UNAVAILABLE,
        NotRun.draining: _UNAVAILABLE,
        NotRun.expired: _TIMED_OUT,
    }
)


class ServerApp(HttpApp):
    """HTTP interface of a server: grants, health, control, and requests."""

    def __init__(self, state: ServerState) -> None:
        """Serve the given server state."""
        self._state = state

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Dispatch by path; control requests work even while frozen."""
        if request.path == '/control':
            return self._handle_control(request)
        if request.path == '/executions':
            return answer_json(_OK, self._state.executions)
        await self._wait_while_frozen()
        if request.path == '/grants':
            return await self._handle_grant(request)
        if request.path == '/health':
            return self._report_health()
        return await self._handle_run(request)

    def _handle_control(self, request: HttpRequest) -> HttpAnswer:
        if request.method == 'POST':
            switches = update_switches(
                self._state.switches,
                _SWITCHES,
                request.body,
            )
            if isinstance(switches, HttpAnswer):
                return switches
            self._state.switches = switches
        return answer_json(_OK, asdict(self._state.switches))

    async def _wait_while_frozen(self) -> None:
        while self._state.switches.frozen:
            await trio.sleep(_POLL_INTERVAL)

    async def _handle_grant(self, request: HttpRequest) -> HttpAnswer:
        if not self._state.traits.checks_grants:
            return answer_json(_NOT_FOUND, {})
        try:
            body = GrantBody.model_validate_json(request.body)
        except ValidationError as error:
            return answer_json(_BAD_REQUEST, {'error': str(error)})
        call = body.to_grant_call()
        granted = self._state.handle_grant(_read_clock(), call)
        while granted.accepted and self._state.has_running_work(call):
            await trio.sleep(_POLL_INTERVAL)
        term = [granted.term.offset, granted.term.sequence]
        return answer_json(
            _OK if granted.accepted else _CONFLICT,
            {
                'verdict': 'accepted' if granted.accepted else 'fenced',
                'term': term,
                'draining': granted.draining,
                'stamp': granted.stamp,
            },
        )

    def _report_health(self) -> HttpAnswer:
        draining = self._state.switches.draining
        return answer_json(
            _OK,
            {'draining': draining, 'load': self._state.load},
        )

    async def _handle_run(self, request: HttpRequest) -> HttpAnswer:
        try:
            call = read_run_call(request)
        except (KeyError, ValueError):
            return answer_json(_BAD_REQUEST, {'error': 'a header is invalid'})
        begun = self._state.begin(_read_clock(), call)
        if isinstance(begun, NotRun):
            return HttpAnswer(
                _REFUSAL_STATUS[begun],
                headers=(('x-trefoil-not-run', begun.value),),
            )
        return await self._finish_run(request, begun)

    async def _finish_run(
        self,
        request: HttpRequest,
        execution: Execution,
    ) -> HttpAnswer:
        with self._hold_slot(execution):
            await self._wait_for_completion(execution)
        if execution.cancelled:
            return answer_json(_TIMED_OUT, {'error': 'the deadline passed'})
        return self._build_answer(request)

    @contextmanager
    def _hold_slot(self, execution: Execution) -> Iterator[None]:
        # Stays cancelled unless the work completes.
        execution.cancelled = True
        try:
            yield
        except trio.Cancelled:
            self._state.finish(_read_clock(), execution)
            raise
        self._state.finish(_read_clock(), execution)

    async def _wait_for_completion(self, execution: Execution) -> None:
        deadline = execution.started + execution.call.remaining
        end = min(execution.due, deadline)
        await trio.sleep(max(0, end - _read_clock()))
        await self._wait_while_frozen()
        execution.cancelled = deadline < execution.due

    def _build_answer(self, request: HttpRequest) -> HttpAnswer:
        body = {
            'server': self._state.traits.server,
            'method': request.method,
            'path': request.path,
            'key': request.headers['x-trefoil-key'],
            'body': b64encode(request.body).decode(),
        }
        whole = answer_json(_OK, body)
        switches = self._state.switches
        if not switches.short_answers:
            return whole
        left = switches.short_answers - 1
        self._state.switches = replace(switches, short_answers=left)
        return replace(
            whole,
            body=whole.body[: len(whole.body) // 2],
            length=len(whole.body),
        )


def _read_clock() -> Seconds:
    return Seconds(time.monotonic())


@app.command()
def serve_backend(
    port: int,
    server: str,
    host: str = '127.0.0.1',
    checks_grants: bool = True,
    service_time: float = _SERVICE_TIME,
    cold_period: float = 0,
) -> None:
    """Run a backend server; times are in seconds."""
    traits = ServerTraits(
        server=ServerId(server),
        checks_grants=checks_grants,
        instance=uuid4().hex,
        service_time=Seconds(service_time),
        cold_period=Seconds(cold_period),
    )
    state = ServerState(traits, _read_clock())
    run_app(ServerApp(state), host, port)


if __name__ == '__main__':
    app()
