"""Simulated transport of grant calls to servers and of their answers."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from measure.fleet import Fleet
from measure.ownershipscene import Scene
from measure.process import Process
from measure.serverlinks import FakeServer, ServerLinks
from standins.serverstate import GrantCall
from trefoilsaddle.core.effects import SendGrant
from trefoilsaddle.core.events import GrantAnswered, GrantVerdict
from trefoilsaddle.core.units import ServerId

# In seconds.
_TIMEOUT = 0.3
_RETRY = 0.01


@dataclass(slots=True)
class GrantLinks:
    """Links and servers that grant calls pass through."""

    scene: Scene
    fleet: Fleet
    links: ServerLinks
    servers: dict[ServerId, FakeServer]
    # Called whenever a server has handled a grant call.
    check: Callable[[], None]

    def send(self, process: Process, effect: SendGrant) -> None:
        """Send a grant call, which fails if no answer arrives in time."""
        failed = GrantAnswered(
            effect.server,
            effect.sequence,
            GrantVerdict.failed,
            effect.term,
            process.clock,
            draining=False,
        )
        fail = partial(self.fleet.deliver, process, failed)
        self.fleet.schedule.add(_TIMEOUT, fail)
        server = self.servers[effect.server]
        act = partial(self._handle_call, server, process, effect, failed)
        arrive = partial(server.receive, act, fail)
        self.links.carry_call(process.node_id, effect.server, arrive)

    def _handle_call(
        self,
        server: FakeServer,
        process: Process,
        effect: SendGrant,
        failed: GrantAnswered,
    ) -> None:
        if self.scene.checks_grants:
            call = _build_call(process, effect)
            if server.state.has_running_work(call):
                # The server acknowledges only after that work has ended.
                act = partial(
                    self._handle_call, server, process, effect, failed
                )
                again = partial(server.receive, act, _drop_call)
                self.fleet.schedule.add(_RETRY, again)
                return
            answer = self._answer(server, call, failed)
            self.check()
        else:
            answer = replace(failed, verdict=GrantVerdict.accepted)
        reply = partial(self.fleet.deliver, process, answer)
        self.links.carry_reply(process.node_id, effect.server, reply)

    def _answer(
        self,
        server: FakeServer,
        call: GrantCall,
        failed: GrantAnswered,
    ) -> GrantAnswered:
        grant_result = server.state.handle_grant(server.clock, call)
        accepted = grant_result.accepted
        return replace(
            failed,
            verdict=GrantVerdict.accepted if accepted else GrantVerdict.fenced,
            term=grant_result.term,
            draining=grant_result.draining,
            stamp=grant_result.stamp,
        )


def _build_call(process: Process, effect: SendGrant) -> GrantCall:
    return GrantCall(
        process.node_id,
        effect.term,
        effect.sequence,
        effect.duration,
        effect.whole,
        effect.granted,
        effect.revoked,
        effect.stamp,
    )


def _drop_call() -> None:
    """Drop a call to a server that has stopped."""
