"""wagtailhollow-burn as a process, against the metrics of a running entry."""

from __future__ import annotations

import asyncio
import json
import sys

from standins import caller, deployment

SHAPE = deployment.Shape(data_centres=('dc-a',), engines=1, plain=0)


def test_report_counts_the_calls_that_an_entry_served(run_deployment):
    """Guards against a report that misreads the metrics of a real entry."""

    async def scenario(cluster):
        entry = cluster.named('entry-')[0]
        settings = cluster.folder / 'burn.json'
        settings.write_text(
            json.dumps(
                {
                    'sources': [f'{entry.url}/metrics'],
                    'history_file': str(cluster.folder / 'history.jsonl'),
                }
            )
        )

        async def report():
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, '-m', 'wagtailhollow.cli.burn'),
                *('--settings', str(settings), '--format', 'json'),
                stdout=asyncio.subprocess.PIPE,
                cwd=deployment.REPOSITORY / 'src',
            )
            out, _ = await process.communicate()
            return process.returncode, json.loads(out)

        client = caller.Caller(cluster.http)
        document = caller.chat_request('lake', 5)
        await client.chat(entry.url, document)
        await report()
        for _ in range(4):
            assert (await client.chat(entry.url, document)).is_complete
        code, found = await report()
        assert code == 0, found
        totals = {
            (row['scope'], row['name'], row['objective']): row['short']
            for row in found['rows']
        }
        for key in (('all', ''), ('organisation', 'council')):
            for objective in ('availability', 'first_token'):
                burn = totals[(*key, objective)]
                assert (burn['total'], burn['rate']) == (4, 0), found

    run_deployment(scenario, SHAPE)
