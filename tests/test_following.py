"""Check that all processes derive equal views from the log under faults."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from statistics import median

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from measure.fleet import Fleet
from measure.process import Process
from tests.sites import (
    SITES,
    describe_overlay,
    make_options,
    make_publication,
    publish_sites,
)
from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.effects import Effect, SendMessage
from trefoilsaddle.core.events import LogRead, MessageReceived
from trefoilsaddle.core.followstate import RelayRequest
from trefoilsaddle.core.messages import (
    RelayEntries,
    RelayRead,
    StateRead,
    StateReply,
)
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LogEntry,
    LostZone,
    Move,
    MovedShard,
    Record,
)
from trefoilsaddle.core.relaying import choose_relay
from trefoilsaddle.core.snapshots import split_view
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    Moment,
    NodeId,
    Offset,
    RecordId,
    Seconds,
    ServerId,
    ZoneName,
)
from trefoilsaddle.core.view import LogView
from trefoilsaddle.core.viewtext import write_view

_SIZE = 8
# Seconds; median age of reads once a failed relay is avoided.
_SETTLED_AGE = 0.5
# Short enough that snapshots are appended during a test.
_RETENTION = Seconds(40)


def _start_fleet(size: int = _SIZE, seed: int = 1) -> Fleet:
    fleet = Fleet(seed=seed)
    for index in range(size):
        _start(fleet, index, size)
    publish_sites(fleet)
    fleet.run(3)
    return fleet


def _start(fleet: Fleet, index: int, size: int = _SIZE) -> Process:
    options = make_options(index, size, seed=fleet.seed)
    fleet.start(replace(options, log_retention=_RETENTION))
    return fleet.processes[options.node]


def _replay(history: list[LogEntry], applied: Offset) -> LogView:
    view = LogView()
    for entry in history[: applied + 1]:
        apply_entry(view, entry)
    return view


def _check_views(fleet: Fleet) -> None:
    """Compare every view with a replay of the whole log history."""
    texts: dict[Offset, str] = {}
    for process in fleet.processes.values():
        view = process.node.view
        if view.applied not in texts:
            replayed = _replay(fleet.log.history, view.applied)
            texts[view.applied] = write_view(replayed)
        assert write_view(view) == texts[view.applied]


def _publish(fleet: Fleet, number: int, expected: int) -> RecordId:
    document = describe_overlay(replace(SITES[0], servers=2 + number))
    name = f'again-{number}'
    record = make_publication(name, expected, SITES[0].name, document)
    fleet.log.append((record,))
    return record.record_id


def test_fresh_fleet_puts_files_in_force_and_assigns_every_shard() -> None:
    """Start with an empty log and reach the first placement."""
    fleet = _start_fleet()
    views = [process.node.view for process in fleet.processes.values()]
    assert views[0].version == 1 + len(SITES)
    assert len(views[0].owners) == 64
    assert all(view == views[0] for view in views)
    _check_views(fleet)


@pytest.mark.parametrize(
    'fault',
    ['lose_replies', 'lose_appends', 'away'],
)
def test_records_take_effect_once_after_a_fault(fault: str) -> None:
    """Retry appends after a log fault without duplicate records."""
    fleet = Fleet(seed=2)
    process = _start(fleet, 0, 1)
    publish_sites(fleet)
    setattr(fleet.log.faults, fault, True)
    fleet.run(3)
    setattr(fleet.log.faults, fault, False)
    fleet.run(6)
    assert len(process.node.view.owners) == 64
    assert not process.node.following.outbox
    # Each retry follows a read, so the log holds no duplicate.
    ids = [
        record.record_id
        for entry in fleet.log.history
        for record in entry.records
    ]
    assert len(ids) == len(set(ids))


def test_log_is_read_before_a_record_is_appended_again() -> None:
    """Append a record only once while replies are lost and reads are slow."""
    fleet = Fleet(seed=2)
    process = _start(fleet, 0, 1)
    publish_sites(fleet)
    fleet.log.faults.lose_replies = True
    fleet.log.faults.delay = Seconds(2)
    fleet.run(20)
    assert len(process.node.view.owners) == 64
    appended = [
        record
        for entry in fleet.log.history
        for record in entry.records
        if isinstance(record, Assign)
    ]
    assert len(appended) == 1


def test_one_process_of_a_zone_reads_for_its_neighbours() -> None:
    """Keep the read rate proportional to zones, not to processes."""
    fleet = _start_fleet(size=16)
    reads = fleet.log.reads
    fleet.run(10)
    per_second = (fleet.log.reads - reads) / 10
    assert per_second <= 4 * 5 * 1.1
    _check_all_fresh(fleet)


def _check_all_fresh(fleet: Fleet, age: float = 1) -> None:
    for process in fleet.processes.values():
        if process.alive and not process.paused:
            fresh_at = process.node.following.fresh_at
            assert fleet.schedule.now - fresh_at <= age


def _find_relays(fleet: Fleet) -> list[Process]:
    """Return the relays that processes currently choose."""
    now = Seconds(fleet.schedule.now)
    chosen = [
        choose_relay(process.node, Moment(now, now))
        for process in fleet.processes.values()
    ]
    names = {name for name in chosen if name is not None}
    return [fleet.processes[name] for name in sorted(names)]


def _kill(process: Process) -> None:
    process.alive = False


def _pause(process: Process) -> None:
    process.paused = True


def _cut_off_log(process: Process) -> None:
    process.cut_from_log = True


@pytest.mark.parametrize('fail', [_kill, _pause, _cut_off_log])
def test_neighbours_do_without_a_relay_that_fails(
    fail: Callable[[Process], None],
) -> None:
    """Stay within a lease of two seconds when every relay fails at once."""
    fleet = _start_fleet()
    relays = _find_relays(fleet)
    assert len(relays) == 4
    for relay in relays:
        fail(relay)
    worst = []
    for _ in range(40):
        fleet.run(0.25)
        followers = [
            process
            for process in fleet.processes.values()
            if process not in relays
        ]
        now = fleet.schedule.now
        ages = [now - each.node.following.fresh_at for each in followers]
        worst.append(max(ages))
        assert not any(each.node.following.log_away for each in followers)
    assert max(worst) < 2
    # From then on a failed relay is avoided most of the time.
    assert median(worst[8:]) < _SETTLED_AGE


def test_relayed_read_that_began_before_the_request_does_not_count() -> None:
    """Answer a relay request only from a read that starts after its arrival."""
    fleet = _start_fleet()
    relay = _find_relays(fleet)[0]
    fleet.log.faults.delay = Seconds(0.1)
    while relay.node.following.reading_since is None:
        fleet.run(0.01)
    # The read in flight returns the current state of the log.
    requester = NodeId('node-requester')
    sent = relay.node.following.reading_since
    request = MessageReceived(requester, RelayRead(1, Offset(0)))
    fleet.deliver(relay, request)
    answers: list[float] = []
    fleet.observe = lambda sender, target, message: (
        answers.append(fleet.schedule.now) if target == requester else None
    )
    while relay.node.following.reading_since == sent:
        fleet.run(0.01)
    assert not answers
    fleet.run(1)
    assert len(answers) == 1


def _find_requester(fleet: Fleet) -> tuple[Process, RelayRequest]:
    """Run until some process has a relay request in flight."""
    for _ in range(1000):
        fleet.run(0.001)
        for process in fleet.processes.values():
            request = process.node.following.relay.request
            if request is not None:
                return process, request
    raise AssertionError('no process reads through another')


def test_relayed_answer_counts_from_the_request_and_only_once() -> None:
    """Measure freshness from the request's send time; ignore other answers."""
    fleet = _start_fleet()
    requester, request = _find_requester(fleet)
    following = requester.node.following
    before = following.fresh_at
    tail = Offset(requester.node.view.applied + 1)
    for sender, sequence in (
        (request.relay, request.sequence - 1),
        (NodeId('node-other'), request.sequence),
    ):
        answer = RelayEntries(sequence, (), Offset(0), tail)
        fleet.deliver(requester, MessageReceived(sender, answer))
    assert following.fresh_at == before
    fleet.schedule.now += 0.05
    answer = RelayEntries(request.sequence, (), Offset(0), tail)
    fleet.deliver(requester, MessageReceived(request.relay, answer))
    assert following.fresh_at == request.sent_at


@dataclass(frozen=True, slots=True)
class _ReadCase:
    """Describe a read and whether it proves that the tail was reached."""

    name: str
    # Both relative to the offset after the last one applied.
    tail: int
    first: int
    fresh: bool


_READS = (
    _ReadCase('reached-the-tail', 0, -3, True),
    _ReadCase('stale', -1, -3, False),
    _ReadCase('fell-short', 2, -3, False),
    _ReadCase('gap', 2, 1, False),
)


@pytest.mark.parametrize('case', _READS, ids=lambda case: case.name)
def test_only_a_read_of_the_tail_is_fresh(case: _ReadCase) -> None:
    """Renew freshness only by a read that reached the tail of the log."""
    fleet = _start_fleet(size=1)
    process = fleet.processes[NodeId('node-0')]
    following = process.node.following
    position = process.node.view.applied + 1
    before = following.fresh_at
    sent = Seconds(fleet.schedule.now)
    first = Offset(position + case.first)
    read = LogRead((), first, Offset(position + case.tail), sent)
    fleet.deliver(process, read)
    assert (following.fresh_at > before) == case.fresh


def test_snapshots_go_on_before_retention_ends() -> None:
    """Keep a complete snapshot in the log while processes restart."""
    fleet = _start_fleet()
    kept: list[tuple[float, int]] = []
    for step in range(60):
        fleet.run(2)
        kept.append((fleet.schedule.now, fleet.log.tail))
        _expire_old(fleet, kept)
        if step % 7 == 3:
            _restart(fleet, Random(step).randrange(_SIZE))
        newest = _newest_view(fleet)
        if fleet.log.first > 0:
            assert newest.snapshot.first_part >= fleet.log.first
    assert fleet.log.first > 100 or fleet.log.appends < 100
    process = _restart(fleet, 3)
    fleet.run(3)
    assert process.node.view.version == 3
    assert len(process.node.view.owners) == 64
    _check_views(fleet)


def _expire_old(fleet: Fleet, kept: list[tuple[float, int]]) -> None:
    oldest = fleet.schedule.now - _RETENTION
    for moment, tail in kept:
        if moment <= oldest:
            fleet.log.expire(Offset(tail))


def _restart(fleet: Fleet, index: int) -> Process:
    return _start(fleet, index)


def _newest_view(fleet: Fleet) -> LogView:
    views = [process.node.view for process in fleet.processes.values()]
    return max(views, key=lambda view: view.applied)


def test_gap_without_any_snapshot_is_never_skipped() -> None:
    """Apply nothing and gain no freshness while no whole view is available."""
    fleet = _start_fleet(size=1)
    process = fleet.processes[NodeId('node-0')]
    process.paused = True
    for number in range(30):
        _publish(fleet, number, expected=0)
    fleet.log.expire(Offset(fleet.log.tail - 5))
    applied = process.node.view.applied
    fresh_at = process.node.following.fresh_at
    reads = fleet.log.reads
    process.resume()
    fleet.run(10)
    assert process.node.view.applied == applied
    assert process.node.following.fresh_at <= fresh_at + 0.3
    assert fleet.log.reads - reads < 250


def test_entries_that_do_not_follow_are_not_applied() -> None:
    """Skip entries after a hole in the result of a read."""
    fleet = _start_fleet(size=1)
    process = fleet.processes[NodeId('node-0')]
    applied = process.node.view.applied
    record = LostZone(RecordId('later'), ZoneName('x'), lost=True)
    later = LogEntry(Offset(applied + 2), (record,))
    now = Seconds(fleet.schedule.now)
    read = LogRead((later,), Offset(0), Offset(applied + 3), now)
    fleet.deliver(process, read)
    assert process.node.view.applied == applied


def test_snapshot_that_leaves_a_gap_is_not_taken() -> None:
    """Install a snapshot only if it covers up to the oldest entry kept."""
    fleet = _start_fleet(size=1)
    process = fleet.processes[NodeId('node-0')]
    process.paused = True
    parts = split_view(process.node.view)
    for number in range(10):
        _publish(fleet, number, expected=0)
    for part in parts:
        fleet.log.append((part,))
    fleet.log.expire(Offset(fleet.log.tail - len(parts) - 1))
    fresh = _start(fleet, 0, 1)
    fleet.run(5)
    assert fresh.node.view.applied < 0


def test_gap_is_closed_by_a_peer() -> None:
    """Install the view of a peer that has applied all entries."""
    fleet = _start_fleet(size=2)
    process = fleet.processes[NodeId('node-1')]
    process.paused = True
    for number in range(30):
        _publish(fleet, number, expected=0)
    fleet.run(2)
    fleet.log.expire(Offset(fleet.log.tail - 5))
    process.resume()
    fleet.run(3)
    assert process.node.view == fleet.processes[NodeId('node-0')].node.view
    _check_all_fresh(fleet)
    _check_views(fleet)


@pytest.mark.parametrize('size', [2, 8])
def test_process_that_starts_in_an_outage_takes_its_peers_view(
    size: int,
) -> None:
    """Learn owners and documents from a peer, without gaining freshness."""
    fleet = _start_fleet(size=size)
    fleet.log.faults.away = True
    fleet.run(3)
    process = _start(fleet, size - 1, size)
    fleet.run(4)
    assert len(process.node.view.owners) == 64
    assert process.node.following.log_away
    assert process.node.following.fresh_at == float('-inf')
    _check_views(fleet)


def test_older_view_of_a_peer_replaces_nothing() -> None:
    """Ignore a peer's view that is older, equal, unrequested or malformed."""
    fleet = _start_fleet(size=2)
    node = fleet.processes[NodeId('node-0')].node
    sequence = node.following.exchange.sequence
    old = _replay(fleet.log.history, Offset(1))
    newer = _replay(fleet.log.history, node.view.applied)
    _append_one_more(newer)
    before = write_view(node.view)
    for number, applied, text in (
        (sequence, old.applied, write_view(old)),
        (sequence, node.view.applied, before),
        (sequence + 1, newer.applied, write_view(newer)),
        (sequence, newer.applied, write_view(newer)[:-8]),
        # The stated offset is newer than the view in the text.
        (sequence, newer.applied, write_view(old)),
    ):
        _answer_state(fleet, StateReply(number, applied, text))
        assert write_view(node.view) == before
    _answer_state(
        fleet,
        StateReply(sequence, newer.applied, write_view(newer)),
    )
    assert write_view(node.view) == write_view(newer)


def _append_one_more(view: LogView) -> None:
    extra = LostZone(RecordId('extra'), ZoneName('x'), lost=True)
    apply_entry(view, LogEntry(Offset(view.applied + 1), (extra,)))


def _answer_state(fleet: Fleet, reply: StateReply) -> None:
    """Deliver a reply as if the first process had asked the second."""
    process = fleet.processes[NodeId('node-0')]
    process.node.following.exchange.asked_peer = NodeId('node-1')
    fleet.deliver(process, MessageReceived(NodeId('node-1'), reply))


def test_peer_sends_no_older_view() -> None:
    """Send no view to a peer that is equally new or newer."""
    fleet = _start_fleet(size=2)
    process = fleet.processes[NodeId('node-0')]
    sent: list[Effect] = []
    for applied in (process.node.view.applied, Offset(900)):
        question = MessageReceived(NodeId('node-1'), StateRead(1, applied))
        sent.extend(
            effect
            for effect in process.handle_event(question)
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, StateReply)
        )
    assert not sent


def test_racing_publishers_get_one_winner_everywhere() -> None:
    """Accept one of several racing publications, the same in every view."""
    fleet = _start_fleet()
    ids = [_publish(fleet, number, expected=3) for number in range(5)]
    fleet.run(1)
    for process in fleet.processes.values():
        verdicts = [process.node.view.verdicts[name] for name in ids]
        assert [verdict.accepted for verdict in verdicts] == [
            True,
            False,
            False,
            False,
            False,
        ]


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'publish',
                'claim',
                'move',
                'snapshot',
                'away',
                'stale',
                'slow',
                'lose_replies',
                'lose_appends',
                'expire',
                'pause',
                'kill',
                'start',
                'cut',
                'loss',
                'heal',
            ],
        ),
        st.integers(0, _SIZE - 1),
        st.sampled_from([0.05, 0.3, 1, 4]),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(steps=_STEPS, seed=st.integers(0, 5))
def test_views_of_one_offset_are_equal_and_versions_never_fall(
    steps: list[tuple[str, int, float]],
    seed: int,
) -> None:
    """Compare views with a replay of the whole history at each step."""
    fleet = _start_fleet(seed=seed)
    versions: dict[int, tuple[Offset, int]] = {}
    for number, (fault, index, duration) in enumerate(steps):
        _apply_fault(fleet, fault, index, number)
        fleet.run(duration)
        _check_views(fleet)
        _check_versions(fleet, versions)
    _apply_fault(fleet, 'heal', 0, 0)
    fleet.run(12)
    _check_views(fleet)
    _check_versions(fleet, versions)


def _check_versions(
    fleet: Fleet,
    versions: dict[int, tuple[Offset, int]],
) -> None:
    for process in fleet.processes.values():
        view = process.node.view
        position = (view.applied, int(view.version))
        former = versions.get(id(process), position)
        assert former[0] <= position[0]
        assert former[1] <= position[1]
        versions[id(process)] = position


def _apply_fault(fleet: Fleet, fault: str, index: int, number: int) -> None:
    match fault:
        case 'publish':
            _publish(fleet, number, expected=_newest_view(fleet).version)
        case 'expire':
            fleet.log.expire(Offset(fleet.log.tail - index))
        case 'start':
            _start(fleet, index)
        case 'heal':
            _heal(fleet)
        case 'claim' | 'move' | 'snapshot':
            for record in _make_records(fleet, fault, index, number):
                fleet.log.append((record,))
        case 'pause' | 'kill' | 'cut' | 'loss':
            _fail_process(fleet, fault, index)
        case _:
            _fail_log(fleet, fault, index)


def _make_records(
    fleet: Fleet,
    kind: str,
    index: int,
    number: int,
) -> tuple[Record, ...]:
    """Build records whose conditions hold in the newest view."""
    view = _newest_view(fleet)
    if kind == 'snapshot':
        return split_view(view)
    zone = SITES[index % 2].zones[index // 2 % 2]
    place = index // 4
    server = ServerId(f'{zone}-{place}')
    role = view.roles.get(server)
    term = FIRST_EPOCH if role is None else role.term
    if kind == 'claim':
        holders = () if role is None else role.claim_set
        return (_make_claim(server, term, holders, number),)
    side = index % 2
    target = ServerId(f'north-a-{side}')
    moved = tuple(
        MovedShard(shard, view.owners[shard].epoch, target, None)
        for shard in sorted(view.shards_on(server))[:3]
    )
    return (Move(RecordId(f'move-{number}'), server, term, moved),)


def _make_claim(
    server: ServerId,
    term: Epoch,
    holders: tuple[NodeId, ...],
    number: int,
) -> Claim:
    member = number % _SIZE
    claimant = NodeId(f'node-{member}')
    return Claim(
        record_id=RecordId(f'claim-{number}'),
        server=server,
        expected=term,
        dispatcher=holders[-1] if holders else claimant,
        claim_set=(claimant, *holders[:1]),
        provisional=None,
    )


def _fail_process(fleet: Fleet, fault: str, index: int) -> None:
    process = fleet.processes[NodeId(f'node-{index}')]
    if fault == 'loss':
        fleet.network.loss = index / _SIZE
    elif fault == 'pause':
        process.paused = True
    elif fault == 'kill':
        process.alive = False
    else:
        near = [process.node_id]
        fleet.network.cut(near, set(fleet.processes) - set(near))


def _fail_log(fleet: Fleet, fault: str, index: int) -> None:
    faults = fleet.log.faults
    if fault == 'stale':
        faults.stale_by = 1 + index % 3
    elif fault == 'slow':
        faults.delay = Seconds(index / 3)
    else:
        setattr(faults, fault, True)


def _heal(fleet: Fleet) -> None:
    fleet.log.faults = type(fleet.log.faults)()
    fleet.network.cuts.clear()
    fleet.network.loss = 0
    for process in fleet.processes.values():
        process.resume()
