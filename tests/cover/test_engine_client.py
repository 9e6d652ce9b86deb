"""Queries and commands to an engine, and their results without a response."""

from __future__ import annotations

import asyncio

import pytest
from starlette import requests, responses, routing

from standins import direct_deployment
from wagtailhollow.internal.experts.live import model
from wagtailhollow.internal.platform import engine

TIMEOUT_S = 0.6
"""Commands time out after half of it, before the stand-in's late response.

Connecting on a busy machine can take longer than the default of 0.06 s.
"""


class StandInEngine:
    """Responds to commands with given statuses; None for a late response."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.commands = []
        self.server = direct_deployment.Server(
            [routing.Route('/order', self.order, methods=['POST'])],
            direct_deployment.unused_ip(),
            8080,
        )

    async def order(self, req: requests.Request) -> responses.Response:
        self.commands.append(await req.json())
        status = self.statuses.pop(0)
        if status is None:
            await asyncio.sleep(0.5)
        return responses.Response(status_code=status or 200)


def run_with_engine(scenario, *statuses):
    async def run():
        standin = StandInEngine(*statuses)
        await standin.server.start()
        client = engine.EngineClient(standin.server.address, TIMEOUT_S)
        try:
            return await scenario(client, standin)
        finally:
            client.close()
            await standin.server.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        (200, model.OrderResult.DONE),
        (202, model.OrderResult.DONE),
        (409, model.OrderResult.CONFLICT),
        (400, model.OrderResult.FAILED),
        (None, model.OrderResult.UNKNOWN),
    ],
)
def test_status_determines_the_result_of_a_command(status, result):
    """Guards against a command without a response that counts as done."""

    async def scenario(client, standin):
        assert await client.arm(1, 7, 30) is result
        assert standin.commands == [
            {'op': 'arm', 'epoch': 1, 'version': 7, 'step': 30}
        ]

    run_with_engine(scenario, status)


def test_late_response_is_not_taken_for_the_next():
    """Guards against taking a late response for that to the next command."""

    async def scenario(client, standin):
        assert await client.hold(1, 30) is model.OrderResult.UNKNOWN
        assert await client.hold(1, 31) is model.OrderResult.CONFLICT

    run_with_engine(scenario, None, 409)


def test_unreachable_engine_is_unavailable():
    """Guards against another exception for an engine that is down."""

    async def query():
        await engine.EngineClient('127.0.0.1:1').report()

    with pytest.raises(model.EngineUnavailable):
        asyncio.run(query())
