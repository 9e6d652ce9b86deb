"""Metrics of agents, which import their library at the first scrape."""

from __future__ import annotations

import asyncio

import aiohttp

from wagtailhollow.internal.observability import lightweight_metrics


def test_decisions_are_counted_and_timed():
    """Guards against decisions missing from an agent's metrics."""
    metrics = lightweight_metrics.LightweightMetrics()
    metrics.observe('order', {'result': 'unknown', 'rank': 3})
    metrics.observe('switch', {'switch_s': 0.15, 'prepare_s': 0.6})
    metrics.observe('switch', {'switch_s': 7.0, 'prepare_s': 0.6})

    async def scrape():
        await metrics.serve('127.0.0.1', 0)
        host, port = metrics._server.sockets[0].getsockname()
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'http://{host}:{port}/metrics') as resp,
        ):
            text = await resp.text()
        metrics.close()
        return text

    text = asyncio.run(scrape())
    name = 'wagtailhollow_decision'
    assert f'{name}s_total{{event="order",result="unknown"}} 1.0' in text
    bucket = f'{name}_seconds_bucket{{event="switch",le="0.2",name="switch"}}'
    count = f'{name}_seconds_count{{event="switch",name="switch"}}'
    assert f'{bucket} 1.0' in text
    assert f'{count} 2.0' in text
