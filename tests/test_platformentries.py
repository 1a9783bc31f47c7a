"""Test that an odd entry among those of the servers harms no other one."""

import json
from base64 import b64encode

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.units import Offset, Seconds, Version
from trefoilsaddle.gateway.effects import ReadTopic
from trefoilsaddle.gateway.events import ReadVerdict, Topic, TopicRead
from trefoilsaddle.gateway.peermessages import News
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.platform.records import encode_keyed
from trefoilsaddle.platform.store import PlatformStore
from trefoilsaddle.wire.gatewaycodec import (
    decode_peer_message,
    encode_peer_message,
)

_ENTRY = (
    '{"service":"guide","address":"%s","zone":"a","version":"v1","slots":%s,'
    '"state":"ready","warmupLeft":"0ms","seq":4,"born":%s}'
)
_SOUND = (_ENTRY % ('10.0.0.1:8080', 3, 1)).encode()
_DEPTH = 100_000
_DIGITS = '9' * 5000
_ODD = {
    'very deeply nested': b'[' * _DEPTH + b']' * _DEPTH,
    'nested in a field': b'{"service":%s}' % (b'[' * _DEPTH + b']' * _DEPTH),
    'port of 5000 digits': (_ENTRY % (f'10.0.0.1:{_DIGITS}', 3, 1)).encode(),
    'port out of range': (_ENTRY % ('10.0.0.1:70000', 3, 1)).encode(),
    'born too large': (_ENTRY % ('10.0.0.1:80', 3, 2**70)).encode(),
    'slots too large': (_ENTRY % ('10.0.0.1:80', 10**400, 1)).encode(),
    'no text': b'\xff\xfe\x00',
    'lone surrogate': json.dumps({'service': chr(0xD800)}).encode(),
}


def _read(answer: bytes, offset: Offset | None) -> TopicRead:
    server = ScriptedServer([Step(whole(answer))])

    async def run() -> TopicRead:
        async with serve_script(server):
            store = PlatformStore('127.0.0.1', server.port, 'me', SystemClock())
            return await store.read(
                ReadTopic(Topic.servers, offset, Seconds(0))
            )

    return trio.run(run)


def _write_newest(bodies: list[bytes]) -> bytes:
    records = [
        {
            'key': f'i-{number}',
            'value': b64encode(body).decode(),
            'offset': number,
        }
        for number, body in enumerate(bodies)
    ]
    page = {'items': records, 'more': False, 'end': len(bodies)}
    return json.dumps(page).encode()


def _write_page(bodies: list[bytes]) -> bytes:
    records = [
        encode_keyed(b'i-%d' % number, body)
        for number, body in enumerate(bodies)
    ]
    return bytes(16) + b''.join(records)


# Guards against gateways that stop following the list of servers, or end, as
# another writer has left an odd entry in it.
@pytest.mark.parametrize('odd', _ODD.values(), ids=_ODD)
@pytest.mark.parametrize('newest', [False, True])
def test_odd_entry_hides_no_other(odd: bytes, *, newest: bool) -> None:
    """Read the entries before and after an odd one, and pass them on."""
    bodies = [_SOUND, odd, _SOUND]
    answer = _write_newest(bodies) if newest else _write_page(bodies)
    read = _read(answer, None if newest else Offset(0))
    assert read.verdict == ReadVerdict.records
    assert read.next_offset == len(bodies)
    servers = tuple(
        entry for entry in read.entries if isinstance(entry, Server)
    )
    assert [entry.life.server for entry in servers] == ['i-0', 'i-2']
    news = News(
        run=1,
        reporting=1,
        gateways=(),
        configuration=Version(1),
        configuration_age=Seconds(0),
        servers_age=Seconds(0),
        servers_whole=True,
        servers=servers,
        removed=(),
        owners=(),
        loads=(),
    )
    assert decode_peer_message(encode_peer_message(news)) == news
