"""The whole path as separate processes: caller, entry, agent, target."""

from __future__ import annotations

import collections

from standins import caller, deployment, engine

SMALL = deployment.Shape(data_centres=('dc-a',), engines=1, plain=1)


def test_streamed_and_whole_completions_equal_what_the_engine_made(
    run_deployment,
):
    """Guards against answers that are cut, reordered or changed."""

    async def scenario(cluster):
        client = caller.Caller(cluster.http)
        url = cluster.named('entry-')[0].url
        for stream in (True, False):
            document = caller.chat_request('ladder 7', 40, stream)
            answer = await client.chat(url, document)
            assert answer.is_whole, answer
            assert answer.text == engine.expected_text(document)

    run_deployment(scenario, SMALL)


def test_call_with_an_idempotency_key_runs_once_and_is_replayed(
    run_deployment,
):
    """Guards against a second execution when a caller retries."""

    async def scenario(cluster):
        client = caller.Caller(cluster.http)
        url = cluster.named('entry-')[0].url
        first = await client.order(url, 'buoy-1', 'key-1')
        second = await client.order(url, 'buoy-1', 'key-1')
        assert first.status == 201, first
        assert (second.status, second.text) == (201, first.text)
        plain = cluster.named('plain-')[0]
        executions = await cluster.get(f'{plain.url}/executions')
        assert collections.Counter(executions) == {'buoy-1': 1}

    run_deployment(scenario, SMALL)
