"""Helpers for the proofs of the table: operators, versions and traffic."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import re
import statistics
import sys
import time

import aiohttp

from standins import caller, deployment
from wagtailhollow.internal.membership import relays as membership_relays
from wagtailhollow.internal.membership import rendezvous

SAMPLE_PERIOD_S = 0.02
_VERSION = re.compile(
    r'^wagtailhollow_document_version\{document="table"\} (\S+)', re.M
)


async def ctl(cluster, *args, operator='anna'):
    """Run wagtailhollow-ctl --json; return its exit code and document."""
    path = cluster.folder / f'ctl-{operator}.json'
    path.write_text(
        json.dumps(
            {
                'operator': operator,
                'deployment': 'demo',
                'platform_url': cluster.platform.url,
                'timeout_s': 5,
                'peer_keys_file': str(cluster.folder / 'keys.json'),
                'seed_peers': [
                    item.peer_address for item in cluster.named('entry-')
                ],
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *('-m', 'wagtailhollow.cli.ctl', '--settings', str(path), '--json'),
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, 'PYTHONPATH': f'{deployment.REPOSITORY}/src'},
    )
    out, err = await process.communicate()
    assert b'Traceback' not in err, err.decode()
    return process.returncode, json.loads(out)


async def accepted_at(cluster, version):
    """Return the Unix time at which the platform stored *version*."""
    history = await cluster.get(f'{cluster.platform.url}/history')
    return next(row['time'] for row in history if row['version'] == version)


def relays(cluster):
    """Return the entries that relay the table in their data centres."""
    return [
        cluster.processes[name]
        for data_centre in cluster.shape.data_centres
        for name in rendezvous.highest_ranked(
            membership_relays.election_key(data_centre),
            [item.name for item in cluster.named(f'entry-{data_centre}-')],
            membership_relays.RELAYS_PER_DATA_CENTRE,
        )
    ]


def seed_entries(cluster):
    """Set the other entries as seed peers of each entry, for restarts."""
    for item in cluster.named('entry-'):
        path = cluster.folder / f'{item.name}.json'
        document = json.loads(path.read_text())
        document['seed_peers'] = [
            other.peer_address
            for other in cluster.named('entry-')
            if other is not item
        ]
        path.write_text(json.dumps(document))


class VersionLog:
    """Samples the version in force at each node; an async context manager."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._nodes = [*cluster.named('entry-'), *cluster.named('agent-')]
        self.seen = collections.defaultdict(list)

    async def __aenter__(self):
        # A separate session, so that a stopped node does not occupy the
        # connections of the callers.
        self._session = aiohttp.ClientSession()
        self._tasks = [
            asyncio.create_task(self._sample_version(node))
            for node in self._nodes
        ]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def _sample_version(self, node):
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with asyncio.timeout(0.3):
                    async with self._session.get(f'{node.url}/metrics') as r:
                        found = _VERSION.search(await r.text())
                if found and float(found[1]):
                    self._record(node.name, int(float(found[1])))
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _record(self, name, version):
        if not self.seen[name] or self.seen[name][-1][1] != version:
            self.seen[name].append((time.time(), version))

    def reached_at(self, name, version):
        """Return when *name* was first seen at *version* or newer."""
        return next((at for at, seen in self.seen[name] if seen >= version), 0)

    async def wait(self, version, since, nodes=None, timeout_s=30.0):
        """Return the time from *since* until *nodes* are at *version*."""
        names = nodes or [node.name for node in self._nodes]
        deadline_s = time.time() + timeout_s
        while time.time() < deadline_s:
            times = [self.reached_at(name, version) for name in names]
            if all(times):
                return max(0.0, max(times) - since)
            await asyncio.sleep(SAMPLE_PERIOD_S)
        late = [name for name in names if not self.reached_at(name, version)]
        raise AssertionError(
            f'version {version} not in force after {timeout_s} s at {late}'
        )

    def reversions(self):
        """Return each change of a node to an older version."""
        return [
            (name, before, after)
            for name, steps in self.seen.items()
            for (_, before), (_, after) in zip(steps, steps[1:], strict=False)
            if after < before
        ]


class Traffic:
    """Callers at each entry, and the time of each engine's latest call."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.last_start = {}
        self.answers = collections.Counter()
        self._started = {}

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self._tasks = [
            asyncio.create_task(self._call(entry.url, number))
            for entry in self._cluster.named('entry-')
            for number in range(2)
        ]
        self._tasks += [
            asyncio.create_task(self._sample(engine))
            for engine in self._cluster.named('engine-')
        ]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def _call(self, url, number):
        client = caller.Caller(self._session, timeout_s=5.0)
        for count in itertools.count():
            # Each prompt is new: with few prompts, prefix affinity may route
            # all of them to the other data centre.
            document = caller.chat_request(f'{count} planks for {number}', 4)
            answer = await client.chat(url, document)
            self.answers[answer.error or 'whole'] += 1
            await asyncio.sleep(0.02)

    async def _sample(self, engine):
        while True:
            async with self._session.get(f'{engine.url}/load') as resp:
                started = (await resp.json())['started']
            if started != self._started.get(engine.name):
                self._started[engine.name] = started
                self.last_start[engine.name] = time.time()
            await asyncio.sleep(SAMPLE_PERIOD_S)


def format_times(values):
    """Format the median and the maximum of *values*."""
    return (
        f'median {statistics.median(values):.2f} s, worst {max(values):.2f} s'
    )
