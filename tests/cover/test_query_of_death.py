"""Load with a part of a prompt that crashes each target that answers it.

Such calls come at any entry, no two are alike, and sound calls share their
other parts. Without a hold each retry and each further call ends one more
target.
"""

from __future__ import annotations

import asyncio

from standins import direct_deployment

FIRST_PART = 'aa01'
CRASH_PART = 'dead'


def run_scenario(scenario, **shape):
    """Run *scenario* on a new in-process deployment."""

    async def run():
        async with direct_deployment.DirectDeployment(**shape) as site:
            for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
                engine.crash_part = CRASH_PART
            await asyncio.wait_for(scenario(site), 20)

    asyncio.run(run())


def prompt(*parts, own):
    """Return the header for a prompt; *own* is the part of its session."""
    return ','.join(f'{part}:40' for part in (*parts, own))


def call(site, number, *parts, ip=''):
    """Send a stream call with shared parts and a part of its own."""
    return site.call(
        'stream',
        f'r{number}',
        ip=ip,
        X_Prompt_Prefix=prompt(*parts, own=f'{number:x}'),
    )


def crashes(site):
    """Return the number of targets that have crashed."""
    return sum(engine.is_crashed for engine in site.engines)


def test_call_that_crashed_a_target_is_not_sent_to_another():
    """Guards against a retry that ends the next target."""

    async def scenario(site):
        async with call(site, 1, FIRST_PART, CRASH_PART) as resp:
            # It ran, so that the answer must not promise that it has not.
            assert resp.status == 502
        assert crashes(site) == 1

    run_scenario(scenario, engines=4)


def test_part_that_crashed_a_target_is_held_at_all_entries():
    """Guards against calls with one part that end target after target."""

    async def scenario(site):
        await site.list_entries()
        async with call(site, 1, FIRST_PART) as resp:
            assert await resp.read() == direct_deployment.STREAM
        async with call(site, 2, FIRST_PART, CRASH_PART) as resp:
            assert resp.status == 502
        await asyncio.sleep(0.1)
        before = site.request_count(direct_deployment.MODEL_SERVICE)
        for number in range(3, 9):
            ip = site.ips[number % 2]
            async with call(
                site, number, f'aa{number}', CRASH_PART, ip=ip
            ) as resp:
                assert resp.status == 503
                assert float(resp.headers['retry-after']) > 1
        assert site.request_count(direct_deployment.MODEL_SERVICE) == before
        for number in range(9, 15):
            ip = site.ips[number % 2]
            async with call(site, number, FIRST_PART, ip=ip) as resp:
                assert await resp.read() == direct_deployment.STREAM
        assert crashes(site) == 1

    run_scenario(scenario, engines=4, entries=2)


def test_entry_that_starts_later_learns_of_held_parts():
    """Guards against a restarted entry that ends one more target."""

    async def scenario(site):
        async with call(site, 1, FIRST_PART, CRASH_PART) as resp:
            assert resp.status == 502
        ip = direct_deployment.unused_ip()
        site.ips.append(ip)
        await site.start_entry(ip)
        await site.wait_until_ready(ip)
        for _ in range(3):
            await site.list_entries()
            await asyncio.sleep(0.7)
        async with call(site, 2, 'bb', CRASH_PART, ip=ip) as resp:
            assert resp.status == 503
        assert crashes(site) == 1

    run_scenario(scenario, engines=4)
