"""Open-loop load generator for a deployment.

Calls start at their recorded arrival times even if earlier ones are still
running, so a slow system does not receive less load. Every streamed answer is
compared with the output that the engine produces for the request.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import statistics
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

from standins import caller, deployment, engine


@dataclasses.dataclass(frozen=True)
class Plan:
    """A recorded load, which the seed reproduces.

    :ivar rate: calls per second.
    :ivar order_share: share of orders, that is calls that must not be
        executed twice.
    :ivar tokens: minimum and maximum number of tokens of a completion.
    """

    seed: int
    seconds: float
    rate: float
    order_share: float = 0.1
    tokens: tuple[int, int] = (10, 60)
    organisations: Sequence[str] = ('council', 'insurer')


@dataclasses.dataclass(frozen=True)
class Sample:
    """One completed call.

    :ivar at_s: recorded arrival time, relative to the start of the load.
    :ivar entry: URL of the entry.
    :ivar is_truncated: whether a successful answer differs from the engine's
        output or ends early without an error.
    """

    at_s: float
    kind: str
    entry: str
    answer: caller.Answer
    is_truncated: bool
    order_key: str = ''


async def send_load(
    cluster: deployment.Deployment, plan: Plan
) -> list[Sample]:
    """Send the load to the running entries and return all samples."""
    rng = random.Random(plan.seed)
    entries = cluster.named('entry-')
    callers = {
        name: caller.Caller(cluster.http, name) for name in plan.organisations
    }
    start_s = time.monotonic()
    tasks = []
    at_s = rng.expovariate(plan.rate)
    while at_s < plan.seconds:
        await asyncio.sleep(max(0.0, start_s + at_s - time.monotonic()))
        client = callers[rng.choice(plan.organisations)]
        url = rng.choice(entries).url
        name = f'{plan.seed}-{len(tasks)}'
        if rng.random() < plan.order_share:
            work = _order(client, url, name, at_s)
        else:
            document = caller.chat_request(
                f'post {rng.randrange(20)}', rng.randint(*plan.tokens)
            )
            work = _chat(client, url, document, at_s)
        tasks.append(asyncio.create_task(work))
        at_s += rng.expovariate(plan.rate)
    return list(await asyncio.gather(*tasks))


async def _chat(
    client: caller.Caller, url: str, document: dict, at_s: float
) -> Sample:
    answer = await client.chat(url, document)
    is_expected = answer.text == engine.expected_text(document)
    is_truncated = (
        answer.status == 200
        and not answer.error
        and not (answer.is_complete and is_expected)
    )
    return Sample(at_s, 'chat', url, answer, is_truncated)


async def _order(
    client: caller.Caller, url: str, key: str, at_s: float
) -> Sample:
    answer = await client.order(url, key, key)
    return Sample(at_s, 'order', url, answer, False, key)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Figures of the calls of one phase; times are in seconds."""

    calls: int
    answered: int
    refused: int
    errors: Mapping[str, int]
    truncated: int
    first_p50: float
    first_p95: float
    gap_p95: float
    within_target: float

    def table_row(self) -> str:
        """Return the figures as a row below ``TABLE_HEADER``."""
        kinds = ', '.join(f'{k} {n}' for k, n in self.errors.items()) or '-'
        return (
            f'{self.calls:6} {self.answered:9} {self.refused:8} '
            f'{self.truncated:10} {self.first_p50 * 1000:9.1f} '
            f'{self.first_p95 * 1000:9.1f} {self.gap_p95 * 1000:9.1f} '
            f'{self.within_target:8.3f}  {kinds}'
        )


TABLE_HEADER = (
    f'{"calls":>6} {"answered":>9} {"refused":>8} {"truncated":>10} '
    f'{"first50ms":>9} {"first95ms":>9} {"gap95ms":>9} {"in slo":>8}  errors'
)
FIRST_TOKEN_TARGET_S = 1.5
BETWEEN_TOKENS_TARGET_S = 0.033


def summarise(samples: Iterable[Sample]) -> Summary:
    """Return the summary of *samples*."""
    samples = list(samples)
    answered = [item for item in samples if item.answer.is_complete]
    chats = [item.answer for item in answered if item.kind == 'chat']
    refused = [item for item in samples if item.answer.execution == 'not_run']
    failures = collections.Counter(
        item.answer.error
        for item in samples
        if item.answer.error and item.answer.execution != 'not_run'
    )
    first_token_times = [item.first_s for item in chats] or [0.0]
    gaps = [statistics.fmean(item.gaps_s) for item in chats if item.gaps_s]
    is_within_target = [
        item.first_s <= FIRST_TOKEN_TARGET_S
        and (
            not item.gaps_s
            or statistics.fmean(item.gaps_s) <= BETWEEN_TOKENS_TARGET_S
        )
        for item in chats
    ]
    return Summary(
        calls=len(samples),
        answered=len(answered),
        refused=len(refused),
        errors=failures,
        truncated=sum(item.is_truncated for item in samples),
        first_p50=percentile(first_token_times, 50),
        first_p95=percentile(first_token_times, 95),
        gap_p95=percentile(gaps or [0.0], 95),
        within_target=statistics.fmean(is_within_target)
        if is_within_target
        else 1.0,
    )


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile; for a single value, the value itself."""
    if len(values) < 2:
        return values[0]
    return statistics.quantiles(values, n=100, method='inclusive')[percent - 1]


def split_by_phase(
    samples: Iterable[Sample], limits: Mapping[str, tuple[float, float]]
) -> dict[str, list[Sample]]:
    """Return the samples by phase, according to their arrival times.

    :param limits: start (inclusive) and end (exclusive) of each phase.
    """
    samples = list(samples)
    return {
        name: [item for item in samples if low <= item.at_s < high]
        for name, (low, high) in limits.items()
    }


async def executions(
    cluster: deployment.Deployment,
) -> collections.Counter:
    """Return the number of executions of each order over all instances."""
    counts: collections.Counter[str] = collections.Counter()
    for process in cluster.named('plain-'):
        counts.update(await cluster.get(f'{process.url}/executions'))
    return counts


async def started_calls(
    cluster: deployment.Deployment, choose: Callable[[str], bool]
) -> int:
    """Return the number of calls started by the engines of chosen names."""
    loads = [
        await cluster.get(f'{process.url}/load')
        for process in cluster.named('engine-')
        if choose(process.name)
    ]
    return sum(load['started'] for load in loads)
