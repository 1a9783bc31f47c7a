"""Answer the platform's readiness probe and requests for metrics."""

from http import HTTPStatus

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.programs.gatewayshell import GatewayShell

_METRICS_PATH = b'/metrics'
_TEXT = (b'content-type', b'text/plain; version=0.0.4')


class ReadinessService(CallerService):
    """Serve the readiness probe and the metrics to the platform."""

    def __init__(self, shell: GatewayShell) -> None:
        """Report the state of a gateway."""
        self._shell = shell

    def read_limits(self) -> CallerLimits:
        """Return the same limits as for callers."""
        return self._shell.calls.read_limits()

    def is_closing(self) -> bool:
        """Keep the platform's connections open."""
        return False

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Allow probes to be answered side by side."""
        return True

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer a readiness probe or a request for metrics."""
        shell = self._shell
        if shell.calls.dialect.is_readiness_check(request):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            if shell.ready:
                status = HTTPStatus.OK
            return HttpAnswer(status, ())
        if request.target == _METRICS_PATH:
            self._update_gauges()
            text = shell.metrics.write_text()
            return HttpAnswer(HTTPStatus.OK, (_TEXT,), text)
        return HttpAnswer(HTTPStatus.NOT_FOUND, ())

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Build the answer to an invalid request, without a body."""
        return HttpAnswer(bad.status, ())

    def _update_gauges(self) -> None:
        gateway = self._shell.gateway
        metrics = self._shell.metrics
        metrics.show_state('open_requests', len(gateway.calls))
        metrics.show_state('parked_requests', len(gateway.parked))
        metrics.show_state('configuration', gateway.version)
        metrics.show_state('servers', len(gateway.registry.servers))
        metrics.show_state('body_bytes', self._shell.bodies.held)
        metrics.show_state(
            'caller_connections', len(self._shell.callers.opened)
        )
        metrics.show_state('controller', int(gateway.control.leading))
