"""Closed-loop load that compares every answer byte by byte."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Sequence

from . import caller, deployment, engine

PAUSE_AFTER_REFUSAL_S = 0.02
STREAMED_SHARE = 0.7


@dataclasses.dataclass
class Load:
    """Callers that each send one call after another until stopped.

    :ivar tokens: smallest and largest number of tokens of a completion.
    :ivar complete: number of answers that equal the engine's output.
    :ivar refused: number of answers that say that the call did not run, by
        error kind.
    :ivar wrong: descriptions of all other answers.
    """

    cluster: deployment.Deployment
    urls: list[str]
    tokens: tuple[int, int]
    seed: int
    complete: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    wrong: list[str] = dataclasses.field(default_factory=list)
    is_stopped: bool = False

    async def run_caller(self, number: int) -> None:
        """Send calls until :attr:`is_stopped` is set."""
        rng = random.Random(f'{self.seed}/{number}')
        client = caller.Caller(self.cluster.http)
        while not self.is_stopped:
            document = caller.chat_request(
                f'station {rng.randrange(10**9)}',
                rng.randint(*self.tokens),
                stream=rng.random() < STREAMED_SHARE,
            )
            if not self.urls:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)
                continue
            answer = await client.chat(rng.choice(self.urls), document)
            self.record(answer, document)
            if not answer.is_complete:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)

    def record(self, answer: caller.Answer, document: dict) -> None:
        """Count an answer as complete, refused or wrong."""
        if answer.is_complete and is_exact(answer, document):
            self.complete += 1
        elif answer.execution == 'not_run':
            self.refused[answer.error] += 1
        else:
            self.wrong.append(
                f'status {answer.status}, {answer.error or "no error"}, '
                f'{len(answer.raw)} bytes'
            )


def is_exact(answer: caller.Answer, document: dict) -> bool:
    """Return whether the body equals the engine's output byte by byte."""
    call_id = answer.headers.get('x-request-id', '')
    expected = (
        engine.expected_stream if document['stream'] else engine.expected_body
    )
    return answer.raw == expected(call_id, document)


@contextlib.asynccontextmanager
async def running(
    cluster: deployment.Deployment,
    callers: int,
    tokens: tuple[int, int],
    seed: int,
    urls: Sequence[str] = (),
) -> AsyncIterator[Load]:
    """Run callers inside the context; wait for their last calls on exit."""
    urls = list(urls) or [item.url for item in cluster.named('entry-')]
    load = Load(cluster, urls, tokens, seed)
    tasks = [
        asyncio.create_task(load.run_caller(number))
        for number in range(callers)
    ]
    try:
        yield load
    finally:
        load.is_stopped = True
        await asyncio.gather(*tasks)
