"""Test that a process looks up servers in its newest view."""

from dataclasses import replace

import trio

from tests.bench import FIRST, SERVER, TERM, build_bench, build_configuration
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.catchup import install_view
from trefoilsaddle.core.effects import SendGrant
from trefoilsaddle.core.events import GrantAnswered, GrantVerdict
from trefoilsaddle.core.units import Offset, Seconds
from trefoilsaddle.core.view import LogView
from trefoilsaddle.programs.process import build_backends

_CALL = SendGrant(
    server=SERVER,
    sequence=1,
    term=TERM,
    duration=Seconds(1),
    whole=True,
    granted=(),
    revoked=(),
    stamp=None,
)


def _build_view(port: int) -> LogView:
    configuration = build_configuration(checks_grants=False)
    sites = {
        name: replace(
            site,
            servers=tuple(replace(each, port=port) for each in site.servers),
        )
        for name, site in configuration.sites.items()
    }
    view = LogView(applied=Offset(1_000))
    view.put_configuration(replace(configuration, sites=sites))
    return view


async def _probe_after_catch_up(server: ScriptedServer) -> GrantAnswered:
    node = build_bench().nodes[FIRST]
    async with serve_script(server):
        client = build_backends(node, SystemClock())
        install_view(node, _build_view(server.port))
        answer = await client.send_grant(_CALL)
        await client.aclose()
    return answer


def test_servers_are_reached_after_a_catch_up() -> None:
    """Use the view that replaced the initial one."""
    server = ScriptedServer([Step(whole(b'{"draining":false,"load":0}'))])
    answer = trio.run(_probe_after_catch_up, server)
    assert answer.verdict is GrantVerdict.accepted
