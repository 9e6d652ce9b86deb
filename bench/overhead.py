"""``make bench``: what the two hops cost, and what control costs.

Writes build/bench.json and prints the same as a table. The added first-token
time and the CPU for each token are taken against calling the engine directly
in the same run. CPU and memory are those of the processes by /proc; the bytes
of control are counted by the daemons.
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
    """Resources that a process has used so far.

    :ivar control_bytes: bytes of control messages, both directions.
    """

    at_s: float
    cpu_s: float
    memory_mb: float
    control_bytes: float


async def usage(
    cluster: deployment.Deployment, process: deployment.Process
) -> Usage:
    """Return what *process* has used so far."""
    # Read before the metrics, whose rendering costs CPU of its own.
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
    """What a process used over a time."""

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
    """Return a figure with an upper limit, if there is one."""
    return common.Figure(
        name,
        unit,
        [value],
        '' if limit is None else f'at most {limit:g}',
        None if limit is None else (lambda measured: measured <= limit),
    )


async def hops(cluster: deployment.Deployment) -> list[common.Figure]:
    """Measure added first-token time and CPU for each token."""
    client = caller.Caller(cluster.http)
    engine = cluster.named('engine-')[0]
    entry, agent = cluster.named('entry-')[0], cluster.named('agent-eng')[0]
    firsts: dict[str, list[float]] = {entry.url: [], engine.url: []}
    for number in range(FIRST_TOKEN_CALLS):
        # Alternating, so that both see the same state of the machine.
        for url, values in firsts.items():
            request = caller.chat_request(f'{number} {url}', 2)
            values.append((await client.chat(url, request)).first_s)
    added_s = statistics.median(firsts[entry.url]) - statistics.median(
        firsts[engine.url]
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


async def idle(cluster: deployment.Deployment) -> list[common.Figure]:
    """Measure control of an idle entry and an idle agent."""
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
    """Return the least-squares slope through *points*."""
    xs, ys = zip(*points, strict=True)
    return statistics.linear_regression(xs, ys).slope


async def target_slopes() -> list[common.Figure]:
    """Measure an entry's control over the number of its targets."""
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


async def table_slopes() -> list[common.Figure]:
    """Measure entry and agent over organisations and changes."""
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
        quiet = await rate_over(cluster, [entry, agent], IDLE_S)
    for index, name in enumerate(('entry', 'agent')):
        old, new = before[index], after[index]
        passed_s = new.at_s - old.at_s
        cpu_s = new.cpu_s - old.cpu_s - quiet[index].cpu_share * passed_s
        sent = new.control_bytes - old.control_bytes
        sent -= quiet[index].control_bytes_per_s * passed_s
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
        figures = await hops(cluster)
        figures += await idle(cluster)
    figures += await target_slopes()
    figures += await table_slopes()
    return figures


def main() -> int:
    """Run the bench; return 1 if a target is missed."""
    return common.report('bench.json', asyncio.run(run()))


if __name__ == '__main__':
    sys.exit(main())
