"""``make bench``: the overhead of the two hops and of control messages.

Writes build/bench.json and prints the same figures as a table. The added
first-token time is the difference from calls to the engine itself in the same
run. CPU time and memory of the processes are read from /proc; the bytes of
control messages come from the daemons' metrics.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import re
import statistics
import sys
import time
from collections.abc import Sequence

from measure import common, open_loop
from standins import caller, deployment

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
MEMORY_LIMIT_MB = 64.0
CONTROL_CPU_LIMIT = 0.011
CONTROL_BYTES_LIMIT = 6_000.0
IDLE_S = 8.0
FIRST_TOKEN_CALLS = 150
STREAMS = 40
TOKENS = 200
TARGET_COUNTS = (4, 16, 48)
ORGANISATION_COUNTS = (10, 1_000, 5_700)
CHANGES = 40

SMALL = deployment.Shape(
    data_centres=('dc-a',),
    engines=1,
    engine_options=(
        '--token-ms', '20', '--first-ms', '20',
        '--capacity', '64', '--fall-over', '1000', '--warm-after', '1',
    ),
    agent_settings={'ramp': {'initial_cap': 64, 'max_cap': 64}},
)  # fmt: skip


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resources that a process has used since its start.

    :ivar at_s: monotonic time of the measurement.
    :ivar memory_mb: resident memory.
    :ivar control_bytes: bytes of control messages in both directions.
    """

    at_s: float
    cpu_s: float
    memory_mb: float
    control_bytes: float


async def usage(
    cluster: deployment.Deployment, process: deployment.Process
) -> Usage:
    """Return the resources that *process* has used since its start."""
    # Read before the metrics are fetched, as rendering them uses CPU time too.
    folder = pathlib.Path(f'/proc/{process.pid}')
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    status = (folder / 'status').read_text()
    (resident_kb,) = re.findall(r'VmRSS:\s+(\d+)', status)
    at_s = time.monotonic()
    async with cluster.http.get(f'{process.url}/metrics') as resp:
        text = await resp.text()
    counted = re.findall(
        r'^wagtailhollow_peer_control_bytes_total\{.*\} (\S+)$', text, re.M
    )
    return Usage(
        at_s, cpu_s, int(resident_kb) / 1024, sum(map(float, counted))
    )


@dataclasses.dataclass(frozen=True)
class Rate:
    """Resources that a process used during a period."""

    cpu_share: float
    memory_mb: float
    control_bytes_per_s: float


async def rate_over(
    cluster: deployment.Deployment,
    processes: Sequence[deployment.Process],
    seconds: float,
) -> list[Rate]:
    """Return the rates of *processes* over the next *seconds*."""
    before = [await usage(cluster, item) for item in processes]
    await asyncio.sleep(seconds)
    after = [await usage(cluster, item) for item in processes]
    return [
        Rate(
            (new.cpu_s - old.cpu_s) / (new.at_s - old.at_s),
            new.memory_mb,
            (new.control_bytes - old.control_bytes) / (new.at_s - old.at_s),
        )
        for old, new in zip(before, after, strict=True)
    ]


def figure(
    name: str, unit: str, value: float, limit: float | None = None
) -> common.Figure:
    """Return a figure, with an upper limit if *limit* is given."""
    return common.Figure(
        name,
        unit,
        [value],
        '' if limit is None else f'at most {limit:g}',
        None if limit is None else (lambda measured: measured <= limit),
    )


async def measure_hops(cluster: deployment.Deployment) -> list[common.Figure]:
    """Measure the added first-token time and the CPU time per token."""
    client = caller.Caller(cluster.http)
    engine = cluster.named('engine-')[0]
    entry, agent = cluster.named('entry-')[0], cluster.named('agent-eng')[0]
    first_times_s: dict[str, list[float]] = {
        entry.url: [],
        engine.url: [],
    }
    for number in range(FIRST_TOKEN_CALLS):
        # Alternating calls, so that both are measured under the same machine
        # load.
        for url, values in first_times_s.items():
            request = caller.chat_request(f'{number} {url}', 2)
            values.append((await client.chat(url, request)).first_s)
    added_s = statistics.median(first_times_s[entry.url]) - statistics.median(
        first_times_s[engine.url]
    )
    before = [await usage(cluster, item) for item in (entry, agent)]
    answers = await asyncio.gather(
        *(
            client.chat(entry.url, caller.chat_request(f's{index}', TOKENS))
            for index in range(STREAMS)
        )
    )
    after = [await usage(cluster, item) for item in (entry, agent)]
    assert all(answer.is_complete for answer in answers)
    cpu_s = [
        new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True)
    ]
    tokens = STREAMS * TOKENS
    gaps = [gap for answer in answers for gap in answer.gaps_s]
    return [
        figure('added first token, median', 'ms', added_s * 1000, 5.0),
        figure('added CPU a token, both hops', 'µs',
               sum(cpu_s) / tokens * 1e6, 150.0),
        figure('CPU a token, entry', 'µs', cpu_s[0] / tokens * 1e6),
        figure('CPU a token, agent', 'µs', cpu_s[1] / tokens * 1e6),
        figure('between tokens p95, 40 streams', 'ms',
               open_loop.percentile(gaps, 95) * 1000, 33.0),
        figure('loaded entry, memory', 'MB', after[0].memory_mb,
               MEMORY_LIMIT_MB),
        figure('loaded agent, memory', 'MB', after[1].memory_mb,
               MEMORY_LIMIT_MB),
    ]  # fmt: skip


async def measure_idle(cluster: deployment.Deployment) -> list[common.Figure]:
    """Measure the control overhead of an idle entry and an idle agent."""
    entry, agent = cluster.named('entry-')[0], cluster.named('agent-eng')[0]
    rates = await rate_over(cluster, [entry, agent], IDLE_S)
    return [
        row
        for name, rate in zip(('entry', 'agent'), rates, strict=True)
        for row in (
            figure(f'idle {name}, memory', 'MB', rate.memory_mb,
                   MEMORY_LIMIT_MB),
            figure(f'idle {name}, control CPU', 'share', rate.cpu_share,
                   CONTROL_CPU_LIMIT),
            figure(f'idle {name}, control bytes', 'B/s',
                   rate.control_bytes_per_s, CONTROL_BYTES_LIMIT),
        )
    ]  # fmt: skip


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of a least-squares fit of *points*."""
    xs, ys = zip(*points, strict=True)
    return statistics.linear_regression(xs, ys).slope


async def measure_targets() -> list[common.Figure]:
    """Measure the control overhead of an entry by number of targets."""
    points: list[tuple[int, Rate]] = []
    async with deployment.Deployment(SMALL) as cluster:
        engine = cluster.named('engine-')[0]
        for count in TARGET_COUNTS:
            running = len(cluster.named('agent-'))
            for index in range(running, count):
                name = f'agent-more-{index:03}'
                await cluster.start(
                    cluster.agent(
                        name, 'dc-a', deployment.MODEL_SERVICE, engine
                    )
                )
                await cluster.set_host(name, state='live')
            await cluster.wait_ready()
            await asyncio.sleep(2.0)
            entry = cluster.named('entry-')[0]
            (rate,) = await rate_over(cluster, [entry], IDLE_S)
            points.append((count, rate))
    last = points[-1][1]
    return [
        figure('entry CPU a target', 'share',
               slope([(n, r.cpu_share) for n, r in points])),
        figure('entry memory a target', 'KB',
               slope([(n, r.memory_mb) for n, r in points]) * 1024),
        figure('entry control bytes a target', 'B/s',
               slope([(n, r.control_bytes_per_s) for n, r in points])),
        figure('entry with 48 targets, control CPU', 'share',
               last.cpu_share, CONTROL_CPU_LIMIT),
        figure('entry with 48 targets, memory', 'MB',
               last.memory_mb, MEMORY_LIMIT_MB),
        figure('entry with 48 targets, control bytes', 'B/s',
               last.control_bytes_per_s, CONTROL_BYTES_LIMIT),
    ]  # fmt: skip


async def measure_table() -> list[common.Figure]:
    """Measure entry and agent by number of organisations and of changes."""
    memory: list[tuple[float, float]] = []
    figures: list[common.Figure] = []
    async with deployment.Deployment(SMALL) as cluster:
        entry, agent = (
            cluster.named('entry-')[0], cluster.named('agent-eng')[0],
        )  # fmt: skip
        for count in ORGANISATION_COUNTS:
            await cluster.edit_table(
                {
                    f'organisation/org-{index:05}':
                    deployment.organisation_row(
                        f'org-{index:05}', {'tokens_per_day': 1_000_000}
                    )
                    for index in range(count)
                }
            )  # fmt: skip
            await asyncio.sleep(3.0)
            memory.append((count, (await usage(cluster, entry)).memory_mb))
        before = [await usage(cluster, item) for item in (entry, agent)]
        for number in range(CHANGES):
            await cluster.edit_table(
                {'organisation/org-00001': {'weight': 1.0 + number}}
            )
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
        after = [await usage(cluster, item) for item in (entry, agent)]
        idle_rates = await rate_over(cluster, [entry, agent], IDLE_S)
    for index, name in enumerate(('entry', 'agent')):
        old, new = before[index], after[index]
        elapsed_s = new.at_s - old.at_s
        cpu_s = new.cpu_s - old.cpu_s - idle_rates[index].cpu_share * elapsed_s
        sent = new.control_bytes - old.control_bytes
        sent -= idle_rates[index].control_bytes_per_s * elapsed_s
        figures += [
            figure(f'{name} CPU a change, 5,700 organisations', 'ms',
                   cpu_s / CHANGES * 1000),
            figure(f'{name} control bytes a change', 'B', sent / CHANGES),
            figure(f'{name} memory with 5,700 organisations', 'MB',
                   new.memory_mb, MEMORY_LIMIT_MB),
        ]  # fmt: skip
    figures.append(
        figure('entry memory an organisation', 'KB', slope(memory) * 1024)
    )
    return figures


async def run() -> list[common.Figure]:
    """Run all measurements."""
    async with deployment.Deployment(SMALL) as cluster:
        figures = await measure_hops(cluster)
        figures += await measure_idle(cluster)
    figures += await measure_targets()
    figures += await measure_table()
    return figures


def main() -> int:
    """Run the benchmark; return 1 if a figure exceeds its limit."""
    return common.report('bench.json', asyncio.run(run()))


if __name__ == '__main__':
    sys.exit(main())
