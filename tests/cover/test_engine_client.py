"""Questions and orders to an engine, and what is known without an answer."""

from __future__ import annotations

import asyncio

import pytest
from starlette import requests, responses, routing

from standins import direct_deployment
from wagtailhollow.internal.experts.live import model
from wagtailhollow.internal.platform import engine

TIMEOUT_S = 0.6
"""Orders are given up after half of it, before the stand-in answers late.

Connecting on a busy machine can take longer than the client's usual 0.06 s.
"""


class Engine:
    """Answers orders with given statuses, or not at all."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.orders = []
        self.server = direct_deployment.Server(
            [routing.Route('/order', self.order, methods=['POST'])],
            direct_deployment.unused_ip(),
            8080,
        )

    async def order(self, req: requests.Request) -> responses.Response:
        self.orders.append(await req.json())
        status = self.statuses.pop(0)
        if status is None:
            await asyncio.sleep(0.5)
        return responses.Response(status_code=status or 200)


def play(scenario, *statuses):
    async def go():
        standin = Engine(*statuses)
        await standin.server.start()
        client = engine.EngineClient(standin.server.address, TIMEOUT_S)
        try:
            return await scenario(client, standin)
        finally:
            client.close()
            await standin.server.stop()

    return asyncio.run(go())


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
def test_outcome_of_an_order_is_told(status, result):
    """Guards against an order without an answer that counts as done."""

    async def scenario(client, standin):
        assert await client.arm(1, 7, 30) is result
        assert standin.orders == [
            {'op': 'arm', 'epoch': 1, 'version': 7, 'step': 30}
        ]

    play(scenario, status)


def test_order_after_a_lost_answer_gets_its_own_answer():
    """Guards against the late answer to one order taken for the next."""

    async def scenario(client, standin):
        assert await client.hold(1, 30) is model.OrderResult.UNKNOWN
        assert await client.hold(1, 31) is model.OrderResult.CONFLICT

    play(scenario, None, 409)


def test_engine_that_is_down_is_silent():
    """Guards against an agent that fails with its engine."""

    async def ask():
        await engine.EngineClient('127.0.0.1:1').report()

    with pytest.raises(model.EngineUnavailable):
        asyncio.run(ask())
