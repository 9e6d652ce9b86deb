"""A store that comes back from a copy that is some seconds old."""

from __future__ import annotations

import asyncio

import pytest

from standins import direct_deployment
from tests.target_records import record
from wagtailhollow.internal.directory import follow, model, state

OLD_KEY = 'key-old'
NEW_KEY = 'key-new'


def run_scenario(scenario):
    async def go():
        async with direct_deployment.DirectDeployment() as site:
            await asyncio.wait_for(scenario(site), 15)

    asyncio.run(go())


def put_manifest(site, version, *keys):
    site.store.put('config', 'main', direct_deployment.manifest(version, keys))


async def wait_for_version(site, version):
    async with asyncio.timeout(5):
        while site.entry._directory.manifest.version != version:
            await asyncio.sleep(0.02)


async def status_of(site, request_id, key):
    async with site.call('once', request_id, key) as resp:
        await resp.read()
        return resp.status


def test_configuration_does_not_go_back_with_the_store():
    """Guards against a withdrawn key that an older copy makes valid again."""

    async def scenario(site):
        put_manifest(site, 5, OLD_KEY)
        await wait_for_version(site, 5)
        site.store.make_copy()
        put_manifest(site, 8, NEW_KEY)
        await wait_for_version(site, 8)
        site.store.restore_copy()
        await asyncio.sleep(1.0)
        assert await status_of(site, 'r1', OLD_KEY) == 401
        assert await status_of(site, 'r2', NEW_KEY) == 200

    run_scenario(scenario)


def test_configuration_follows_revisions_that_are_given_out_again():
    """Guards against a newer manifest that is ignored for its low revision."""

    async def scenario(site):
        site.store.make_copy()
        for version in range(5, 10):
            put_manifest(site, version, OLD_KEY)
        await wait_for_version(site, 9)
        site.store.restore_copy()
        await asyncio.sleep(0.3)
        put_manifest(site, 12, NEW_KEY)
        await wait_for_version(site, 12)
        assert await status_of(site, 'r1', NEW_KEY) == 200

    run_scenario(scenario)


def test_changes_are_seen_if_the_revision_has_been_passed_again():
    """Guards against a watch that goes on in another history.

    The revisions up to that of the watch are given out again before it asks.
    """

    async def scenario(site):
        site.store.make_copy()
        put_manifest(site, 5, OLD_KEY)
        await wait_for_version(site, 5)
        site.store.mode = 'busy'
        await asyncio.sleep(0.3)
        site.store.restore_copy()
        put_manifest(site, 7, NEW_KEY)
        for number in range(5):
            site.store.put('other', f'o-{number}', {})
        site.store.mode = 'ok'
        await wait_for_version(site, 7)

    run_scenario(scenario)


class Directory:
    """A directory that is told of targets, with a fake clock."""

    def __init__(self):
        self.now = 100.0
        self.state = state.Directory(lambda: self.now)

    def listing(self, *records, is_older_copy=False):
        documents = {item.name: item for item in records}
        self.state.apply_targets(
            follow.Update(
                documents, 1, True, False, is_older_copy, is_older_copy
            )
        )

    def event(self, name, found):
        self.state.apply_targets(
            follow.Update({name: found}, 2, False, False, 1)
        )

    def names(self):
        return {item.name for item in self.state.targets('s')}


def test_leaving_target_is_not_ready_again_in_an_older_copy():
    """Guards against calls to a target that leaves, from a stale record."""
    found = Directory()
    found.listing(record(0), record(1))
    found.event('i-1', record(1, state=model.TargetState.LEAVING))
    found.listing(record(0), record(1), is_older_copy=True)
    assert found.names() == {'i-0'}
    found.event('i-1', record(1, started_ms=2))
    assert found.names() == {'i-0', 'i-1'}, 'its next start takes calls'


def test_target_that_was_gone_is_used_once_it_is_written_again():
    """Guards against calls to a target that has left, from a stale record."""
    found = Directory()
    found.listing(record(0), record(1))
    found.event('i-1', None)
    found.listing(record(0), record(1), is_older_copy=True)
    assert found.names() == {'i-0'}
    found.event('i-1', record(1))
    assert found.names() == {'i-0', 'i-1'}


def test_target_that_an_older_copy_lacks_has_time_to_register():
    """Guards against targets that are lost until they register again."""
    found = Directory()
    found.listing(record(0))
    found.event('i-1', record(1))
    found.listing(record(0), is_older_copy=True)
    assert found.names() == {'i-0', 'i-1'}
    found.now += state.LAPSE_GRACE_S + 0.1
    assert found.names() == {'i-0'}


@pytest.mark.parametrize('is_taken_back', [True, False])
def test_withdrawal_that_an_older_copy_lacks_is_kept(is_taken_back):
    """Guards against calls to a data centre that is withdrawn."""
    found = Directory()
    found.listing(record(0))
    withdraw = follow.Update({'dc-1': True}, 2, False, False)
    found.state.apply_withdrawals(withdraw)
    found.state.apply_withdrawals(
        follow.Update({}, 1, True, False, 1, is_older_copy=True)
    )
    assert not found.names()
    if is_taken_back:
        found.state.apply_withdrawals(withdraw)
        found.state.apply_withdrawals(
            follow.Update({'dc-1': None}, 3, False, False, 1)
        )
    else:
        found.now += state.RESTORED_GRACE_S + 0.1
    assert found.names() == {'i-0'}
