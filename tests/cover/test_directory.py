"""Copies of the deployed configuration: versions, age and store outages."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from standins import memory_platform
from wagtailhollow import errors
from wagtailhollow.internal.directory import changes, follow, model, state
from wagtailhollow.internal.entry.direct import freshness


def route(prefix, service='s'):
    return model.Route(
        prefix,
        'a.example',
        prefix,
        model.CallKind.IDEMPOTENT,
        (model.ServiceShare(service, 1.0),),
        1.0,
        0.2,
    )


def manifest(revision, *routes):
    return model.Manifest(
        revision, revision, routes, {}, model.CallerLimits(), None
    )


def target(name, **fields):
    values = {
        'started_ms': 1,
        'service': 's',
        'address': '10.0.0.1:80',
        'data_centre': 'dc-1',
        'slots': 6,
        'state': model.TargetState.READY,
    }
    return model.TargetRecord(name, **(values | fields))


def update(documents, is_listing=False, after_outage=False):
    return follow.Update(documents, 5, is_listing, after_outage)


@pytest.fixture
def now():
    return [100.0]


@pytest.fixture
def directory(now):
    return state.Directory(lambda: now[0])


def test_route_with_the_longest_matching_prefix_is_chosen(directory):
    """Guards against calls that are matched to a less specific route."""
    directory.apply_manifest(
        update({'main': manifest(1, route('/a/'), route('/a/b/', 't'))})
    )
    assert directory.route('A.example', '/a/b/c').prefix == '/a/b/'
    assert directory.route('a.example', '/a/bc').prefix == '/a/'
    assert directory.route('b.example', '/a/b/c') is None
    assert directory.route('a.example', '/a') is None


def test_older_manifest_is_ignored(directory):
    """Guards against an older manifest that arrives after a newer one."""
    directory.apply_manifest(update({'main': manifest(9, route('/new/'))}))
    directory.apply_manifest(update({'main': manifest(4, route('/old/'))}))
    assert directory.manifest.revision == 9
    assert directory.route('a.example', '/old/x') is None


def test_withdrawn_data_centre_gets_no_calls(directory):
    """Guards against calls to a data centre that operators have withdrawn."""
    directory.apply_targets(update({'i': target('i')}))
    directory.apply_withdrawals(update({'dc-1': True}))
    assert directory.targets('s') == []
    assert directory.ready('i') is None
    directory.apply_withdrawals(update({'dc-1': None}))
    assert directory.targets('s') == [target('i')]


def test_leaving_target_gets_no_calls(directory):
    """Guards against calls to a target that has announced that it leaves."""
    directory.apply_targets(update({'i': target('i')}))
    directory.apply_targets(
        update({'i': target('i', state=model.TargetState.LEAVING)})
    )
    assert directory.ready('i') is None


def test_lapse_does_not_bring_a_leaving_target_back(directory, now):
    """Guards against calls to a leaving target around an outage."""
    directory.apply_targets(update({'i': target('i')}, is_listing=True))
    directory.mark_leaving(target('i'))
    directory.apply_targets(update({}, is_listing=True, after_outage=True))
    assert directory.ready('i') is None
    now[0] += state.LAPSE_GRACE_S + 1
    directory.apply_targets(update({}, is_listing=True))
    directory.apply_targets(update({'i': target('i')}))
    assert directory.ready('i') is None
    directory.apply_targets(update({'i': target('i', started_ms=2)}))
    assert directory.ready('i') is not None


def test_target_of_unknown_start_gets_calls_after_it_left(directory):
    """Guards against a restarted target that gets no calls any more."""
    directory.apply_targets(update({'i': target('i', started_ms=0)}))
    directory.mark_leaving(target('i', started_ms=0))
    directory.apply_targets(update({'i': None}))
    directory.apply_targets(update({'i': target('i', started_ms=0)}))
    assert directory.ready('i') is not None


def test_number_of_remembered_leaving_targets_is_bounded(directory):
    """Guards against memory that grows with every target that leaves."""
    directory.apply_targets(update({'i': target('i', started_ms=7)}))
    for started_ms in range(state.MAX_LEAVING + 8):
        directory.mark_leaving(target('i', started_ms=started_ms))
    assert len(directory._leaving) == state.MAX_LEAVING
    # Of the last ones none is dropped.
    last = target('i', started_ms=state.MAX_LEAVING + 7)
    directory.apply_targets(update({'i': last}))
    assert directory.ready('i') is None


def test_target_that_registers_again_within_the_grace_period_stays(
    directory, now
):
    """Guards against refused calls when registrations expire in an outage."""
    directory.apply_targets(update({'i': target('i')}, is_listing=True))
    directory.apply_targets(update({}, is_listing=True, after_outage=True))
    assert directory.ready('i') is not None
    directory.apply_targets(update({'i': target('i')}))
    now[0] += state.LAPSE_GRACE_S + 1
    assert directory.ready('i') is not None


def test_target_missing_after_the_grace_period_is_removed(directory, now):
    """Guards against calls to a target that ended during an outage."""
    directory.apply_targets(update({'i': target('i')}, is_listing=True))
    directory.apply_targets(update({}, is_listing=True, after_outage=True))
    now[0] += state.LAPSE_GRACE_S + 0.1
    assert directory.ready('i') is None
    assert directory.targets('s') == []


def test_later_start_at_an_address_replaces_the_earlier_one(directory):
    """Guards against calls to targets that ended in a power loss.

    Their registrations remain for seconds beside those of the next start.
    """
    old = target('i-old', started_ms=1)
    new = target('i-new', started_ms=2)
    directory.apply_targets(update({'i-old': old, 'i-new': new}, True))
    assert directory.targets('s') == [new]
    # A late change of the old registration.
    directory.apply_targets(update({'i-old': target('i-old', slots=5)}))
    assert directory.targets('s') == [new]
    directory.apply_targets(update({'i-new': None}))
    assert directory.targets('s') == []
    directory.apply_targets(update({'i-old': old}))
    assert directory.targets('s') == [old]


def test_target_with_a_new_address_is_not_replaced_at_the_old_one(directory):
    """Guards against removing a target that restarted at another address."""
    directory.apply_targets(update({'i-1': target('i-1', started_ms=1)}, True))
    moved = target('i-1', started_ms=2, address='10.0.0.2:80')
    directory.apply_targets(update({'i-1': moved}))
    new = target('i-2', started_ms=3)
    directory.apply_targets(update({'i-2': new}))
    assert directory.targets('s') == [moved, new]


def manifest_of(revision, *services):
    found = manifest(revision)
    rows = {name: model.Service(name) for name in services}
    return dataclasses.replace(found, services=rows)


@pytest.fixture(params=['manifest first', 'registrations first'])
def in_order(request, directory):
    """Return a function that applies a manifest and a listing."""

    def apply(found, *records):
        work = [
            lambda: directory.apply_manifest(update({'main': found})),
            lambda: directory.apply_targets(
                update({item.name: item for item in records}, True)
            ),
        ]
        if request.param == 'registrations first':
            work.reverse()
        for step in work:
            step()
        return directory

    return apply


def test_registration_of_an_unknown_service_displaces_no_target(in_order):
    """Guards against sound targets that another writer's objects displace."""
    other = target('x', service='other', started_ms=9)
    found = in_order(manifest_of(1, 's'), target('i'), other)
    assert found.targets('s') == [target('i')]
    assert found.ready('i') is not None
    assert found.target_at('10.0.0.1:80') == target('i')
    assert found.known_targets() == [target('i')]


def test_such_a_registration_may_come_again_and_end(in_order):
    """Guards against the same by changes of such an object, or its end."""
    found = in_order(manifest_of(1, 's'), target('i'))
    for changed in (
        target('x', service='other', started_ms=9),
        target('x', service='other', started_ms=9, slots=7),
        target('x', service='other', address='10.0.0.2:80', started_ms=10),
        target('x', service='other', started_ms=11),
        None,
    ):
        found.apply_targets(update({'x': changed}))
        assert found.targets('s') == [target('i')]
        assert found.target_at('10.0.0.1:80') == target('i')


def test_later_start_replaces_once_a_manifest_names_its_service(directory):
    """Guards against calls to a target whose address has a new service."""
    new = target('n', service='t', started_ms=2)
    directory.apply_manifest(update({'main': manifest_of(1, 's')}))
    directory.apply_targets(update({'i': target('i'), 'n': new}, True))
    assert directory.targets('s') == [target('i')]
    directory.apply_manifest(update({'main': manifest_of(2, 's', 't')}))
    assert directory.targets('s') == []
    assert directory.targets('t') == [new]
    # The start that it has replaced is not used again with its own end.
    directory.apply_targets(update({'n': None}))
    assert directory.all_targets() == []


def test_replaced_target_stays_unused_when_its_successor_moves(directory):
    """Guards against calls to a start that has ended at an address."""
    old = target('i-1')
    new = target('i-2', started_ms=2)
    directory.apply_targets(update({'i-1': old, 'i-2': new}, True))
    moved = target('i-2', started_ms=3, address='10.0.0.2:80')
    directory.apply_targets(update({'i-2': moved}))
    assert directory.targets('s') == [moved]


def test_all_registrations_of_an_address_may_end_at_once(directory):
    """Guards against a listing that cannot be applied."""
    records = [target(f'i-{n}', started_ms=n) for n in range(1, 4)]
    directory.apply_targets(update({r.name: r for r in records}, True))
    assert directory.targets('s') == records[-1:]
    directory.apply_targets(update({}, True))
    assert directory.all_targets() == []


def test_target_removed_without_an_outage_is_removed_at_once(directory):
    """Guards against a grace period for targets that have left."""
    directory.apply_targets(update({'i': target('i')}))
    directory.apply_targets(update({'i': None}))
    assert directory.all_targets() == []


class ScriptedSource:
    """Returns or raises the items of a script, then waits."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []

    async def _next(self, *request):
        self.requests.append(request)
        await asyncio.sleep(0.01)
        if not self.script:
            await asyncio.Event().wait()
        item = self.script.pop(0)
        if isinstance(item, Exception):
            raise item
        return item

    async def read(self):
        return await self._next('read')

    async def watch(self, revision, wait_s):
        return await self._next('watch', revision)


def run_follower(monkeypatch, follower, seconds):
    """Run a follower for simulated *seconds*."""

    async def work():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(follow, 'suspend_aware_now', loop.time)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()

    memory_platform.run_in_virtual_time(work)


def follow_script(monkeypatch, *script):
    """Run a follower on a source with *script*."""
    source = ScriptedSource(*script)
    updates = []
    follower = follow.Follower('things', source, updates.append, 1.5)
    run_follower(monkeypatch, follower, 10)
    return source, updates, follower


def test_documents_are_read_again_after_lost_history(monkeypatch):
    """Guards against missed changes after the store discarded its history."""
    source, updates, _ = follow_script(
        monkeypatch,
        changes.Listing({'a': 1}, 4),
        changes.HistoryGone('x'),
        changes.Listing({'b': 2}, 9),
    )
    assert [item[0] for item in source.requests] == [
        'read',
        'watch',
        'read',
        'watch',
    ]
    assert source.requests[-1] == ('watch', 9)
    assert updates[-1].is_listing


def test_outage_is_reported_with_the_updates_after_it(monkeypatch):
    """Guards against treating expired registrations as departures."""
    failures = [changes.SourceUnavailable('down')] * 6
    _, updates, _ = follow_script(
        monkeypatch,
        changes.Listing({'a': 1}, 4),
        *failures,
        changes.Changes({'a': None}, 9),
        changes.Changes({'b': 1}, 10),
    )
    assert [item.after_outage for item in updates] == [False, True, True]


def test_removal_long_after_an_outage_is_not_marked(monkeypatch):
    """Guards against a grace period for a target that left long after."""
    failures = [changes.SourceUnavailable('down')] * 6
    quiet = [changes.Changes({}, 4)] * 250
    _, updates, _ = follow_script(
        monkeypatch,
        changes.Listing({'a': 1}, 4),
        *failures,
        *quiet,
        changes.Changes({'a': None}, 9),
    )
    assert [item.after_outage for item in updates] == [False, False]


class WaitingSource:
    """A store with one outage that holds watches without changes."""

    def __init__(self, returns_s, removed_s):
        self.returns_s = returns_s
        self.removed_s = removed_s

    async def read(self):
        return changes.Listing({'a': 1}, 4)

    async def watch(self, revision, wait_s):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.01)
        if 0.005 < loop.time() < self.returns_s:
            raise changes.SourceUnavailable('down')
        remaining_s = self.removed_s - loop.time()
        if revision < 9 and remaining_s <= wait_s:
            await asyncio.sleep(max(0.0, remaining_s))
            return changes.Changes({'a': None}, 9)
        await asyncio.sleep(wait_s)
        return changes.Changes({}, revision)


def test_return_of_the_store_is_noticed_without_a_full_wait(monkeypatch):
    """Guards against treating a departure as an effect of an earlier outage.

    The store is back after 11.5 s and a target leaves at 15.0 s. A first watch
    that waits returns only at 14.5 s, so the departure would be marked.
    """
    updates = []
    source = WaitingSource(returns_s=11.5, removed_s=15.0)
    follower = follow.Follower('things', source, updates.append, 2.5)
    run_follower(monkeypatch, follower, 20)
    assert [item.after_outage for item in updates] == [False, False]


def test_open_watch_does_not_confirm_the_copy(monkeypatch):
    """Guards against treating a manifest as current while a watch hangs."""
    _, _, follower = follow_script(monkeypatch, changes.Listing({'a': 1}, 4))
    assert follower.confirmed_s == 0.0


def fresh(age_s, is_strict=True):
    return freshness.Freshness(lambda: age_s, 5.0, is_strict, 2.0)


def test_keys_are_refused_once_a_withdrawal_may_have_been_missed():
    """Guards against serving a withdrawn key on a host without the store."""
    fresh(5.0 - freshness.KEY_MARGIN_S - 0.1).require_fresh_for_keys()
    with pytest.raises(errors.Refusal) as caught:
        fresh(5.0 - freshness.KEY_MARGIN_S + 0.1).require_fresh_for_keys()
    assert caught.value.answer.status == 503
    assert caught.value.retry_after_s


def test_unknown_route_is_not_denied_with_an_old_manifest():
    """Guards against a 404 for a route that has been added since."""
    fresh(1.9).require_fresh_for_denial('no route')
    with pytest.raises(errors.Refusal) as caught:
        fresh(2.1).require_fresh_for_denial('no route')
    assert caught.value.answer.status == 503
