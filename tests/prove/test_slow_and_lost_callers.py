"""P4 for callers that read slowly, disconnect, or lose their entry."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

from standins import caller, deployment, engine, load


def _resident_kb(process):
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    line = next(row for row in status.splitlines() if 'VmRSS' in row)
    return int(line.split()[1])


def test_slow_caller_gets_the_complete_answer_and_delays_no_others(
    run_deployment, record_proof
):
    """Guards against a slow caller that uses up memory or delays others."""
    figures = {}
    shape = deployment.Shape(
        data_centres=('dc-a',),
        engines=1,
        plain=0,
        organisations={'council': {'max_tokens_per_call': 100_000}},
        engine_options=('--token-ms', '0.2'),
    )

    async def read_slowly(cluster, url, tokens, begun, resume_reading):
        document = caller.chat_request('slow', tokens)
        async with cluster.http.post(
            f'{url}/v1/chat/completions',
            json=document,
            headers={'Authorization': 'Bearer key-council'},
        ) as resp:
            raw = await resp.content.readany()
            begun.set()
            await resume_reading.wait()
            raw += await resp.content.read()
            call_id = resp.headers['x-request-id']
        return raw == engine.expected_stream(call_id, document)

    async def scenario(cluster):
        entry = cluster.named('entry-')[0]
        agent = cluster.named('agent-')[0]
        before = _resident_kb(entry), _resident_kb(agent)
        begun, resume_reading = asyncio.Event(), asyncio.Event()
        # 45,000 tokens are 8 MB, more than all socket buffers of the path.
        slow = asyncio.create_task(
            read_slowly(cluster, entry.url, 45_000, begun, resume_reading)
        )
        await begun.wait()
        client = caller.Caller(cluster.http)
        first_times_s = []
        for number in range(30):
            document = caller.chat_request(f'quick {number}', 20)
            answer = await client.chat(entry.url, document)
            assert load.is_exact(answer, document)
            first_times_s.append(answer.first_s)
        await asyncio.sleep(2.0)
        after = _resident_kb(entry), _resident_kb(agent)
        assert not slow.done()
        resume_reading.set()
        assert await slow
        figures['others, first token ms'] = round(max(first_times_s) * 1000)
        figures['growth KB'] = [
            new - old for new, old in zip(after, before, strict=True)
        ]
        print(figures)
        assert max(figures['growth KB']) < 6_000

    run_deployment(scenario, shape)
    record_proof('P4', 'slow reader of 8 MB', 0, str(figures))


def test_calls_of_lost_callers_and_entries_are_cancelled_at_the_engine(
    run_deployment, record_proof
):
    """Guards against an engine that continues calls that nobody awaits."""
    figures = {}

    async def wait_idle(cluster, url):
        start_s = time.monotonic()
        while (await cluster.get(f'{url}/load'))['running']:
            await asyncio.sleep(0.02)
        return round(time.monotonic() - start_s, 2)

    async def scenario(cluster):
        entries = cluster.named('entry-')
        url = cluster.named('engine-')[0].url
        client = caller.Caller(cluster.http)
        document = caller.chat_request('orphan', 4000)
        tasks = [
            asyncio.create_task(client.chat(entry.url, document))
            for entry in entries
        ]
        await asyncio.sleep(0.5)
        tasks[0].cancel()
        entries[1].signal(signal.SIGKILL)
        answer = await tasks[1]
        call_id = answer.headers['x-request-id']
        assert not answer.is_complete
        assert engine.expected_stream(call_id, document).startswith(answer.raw)
        figures['s to cancel'] = await wait_idle(cluster, url)
        assert figures['s to cancel'] < 12.0
        state = await cluster.get(f'{url}/load')
        assert state['cancelled'] == 2

    run_deployment(
        scenario,
        deployment.Shape(
            data_centres=('dc-a',), entries=2, engines=1, plain=0
        ),
    )
    print(figures)
    record_proof('P4', 'caller gone, entry killed', 0, str(figures))
