"""Entries that start again after a key or a server has been withdrawn.

The failure: what left while a process was down, or just before, is in use
again after its restart.
"""

from __future__ import annotations

import asyncio

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from wagtailhollow.internal.entry.direct import compose
from wagtailhollow.internal.platform import settings


async def restart(site, change):
    """Stop the entry, change the store, and start the entry again."""
    await site.entry.stop()
    # The datagram socket is closed by the event loop.
    await asyncio.sleep(0.05)
    change()
    row = direct_deployment.host_settings(site.store.server.address, site.ip)
    site.entry = compose.DirectEntry(settings.decode(row))
    await site.entry.start()


def test_key_withdrawn_before_a_restart_stays_refused():
    """Guards against a key that the restarted process takes for valid."""

    async def scenario(site):
        def withdraw():
            site.store.put(
                'config', 'main', direct_deployment.manifest(keys=('other',))
            )

        await restart(site, withdraw)
        await site.wait_until_ready(site.ip)
        async with site.call('once') as resp:
            assert resp.status == 401
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 0

    run_scenario(scenario)


def test_server_that_left_before_a_restart_gets_no_calls():
    """Guards against calls to a server that another may have replaced."""

    async def scenario(site):
        gone, left = site.engines_of(direct_deployment.PLAIN_SERVICE)

        def leave():
            site.store.delete('servers', gone.name)

        await restart(site, leave)
        await site.wait_until_ready(site.ip)
        for number in range(6):
            async with site.call('once', f'r{number}') as resp:
                assert resp.status == 200
        assert (len(gone.received), len(left.received)) == (0, 6)

    run_scenario(scenario)


@pytest.mark.parametrize('mode', ['silent', 'busy'])
def test_entry_that_starts_in_an_outage_serves_no_keys(mode):
    """Guards against configuration from before that outage."""

    async def scenario(site):
        def fail():
            site.store.mode = mode

        await restart(site, fail)
        async with site.call('once', X_Deadline_Ms='700') as resp:
            assert resp.status == 503
        assert await site.readiness() == 503
        site.store.put(
            'config', 'main', direct_deployment.manifest(keys=('other',))
        )
        site.store.mode = 'ok'
        await site.wait_until_ready(site.ip)
        async with site.call('once', 'r2') as resp:
            assert resp.status == 401
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 0

    run_scenario(scenario)
