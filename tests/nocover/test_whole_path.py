"""End-to-end tests: caller, entry, agent and target as processes."""

from __future__ import annotations

import collections

from standins import caller, deployment, engine

SHAPE = deployment.Shape(data_centres=('dc-a',), engines=1, plain=1)


def test_completions_equal_the_text_of_the_engine(
    run_deployment,
):
    """Guards against truncated, reordered and changed answers."""

    async def scenario(cluster):
        client = caller.Caller(cluster.http)
        url = cluster.named('entry-')[0].url
        for stream in (True, False):
            document = caller.chat_request('ladder 7', 40, stream)
            answer = await client.chat(url, document)
            assert answer.is_complete, answer
            assert answer.text == engine.expected_text(document)

    run_deployment(scenario, SHAPE)


def test_call_with_an_idempotency_key_runs_once_and_is_replayed(
    run_deployment,
):
    """Guards against a second execution after a retry by the caller."""

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

    run_deployment(scenario, SHAPE)
