"""Engines in trouble whose answers have a status that no answer has."""

from __future__ import annotations

import asyncio
import time

import pytest

from standins import direct_deployment
from tests.cover.test_faulty_answers import SIGNATURE, run_scenario
from wagtailhollow.internal.agent.backends import http_call, registry

MIN_CALLS = 6
MAX_CALLS = 60
"""Targets are chosen at random, so that the odd one may be left out."""

INVALID = ['000', '099', '101', '199', '600', '999', '1000', '2x0', '-20', '']


def answer_with(status):
    async def answer(engine, request_id, writer, earlier):
        engine.runs.append(request_id)
        writer.write(
            b'HTTP/1.1 '
            + status.encode()
            + b' odd\r\n'
            + SIGNATURE
            + b'x-request-id: '
            + request_id
            + b'\r\ncontent-length: 3\r\n\r\nodd'
        )

    return answer


@pytest.mark.parametrize('status', INVALID)
@pytest.mark.parametrize('route', ['safe', 'once'])
def test_invalid_status_is_a_failure_of_the_engine(status, route):
    """Guards against such a status as an answer, or as no answer at all."""
    is_safe = route == 'safe'

    async def scenario(site, engine):
        sound = 0
        for number in range(MAX_CALLS):
            if engine.runs and number >= MIN_CALLS:
                break
            start_s = time.monotonic()
            async with site.call(route, f'r{number}') as resp:
                body = await resp.read()
                sound += resp.status == 200
                assert resp.status == 200 or (
                    not is_safe and resp.status == 502
                ), body
            assert time.monotonic() - start_s < 2
        assert engine.runs and sound

    run_scenario(
        answer_with(status),
        direct_deployment.PLAIN_SERVICE,
        scenario,
        others=1,
    )


@pytest.mark.parametrize('status', INVALID)
def test_agent_takes_an_invalid_status_for_a_failure(status):
    """Guards against the same through agents."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 %s odd\r\ncontent-length: 3\r\n\r\nodd'
            % status.encode()
        )
        await writer.drain()
        writer.close()

    async def go():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        call = http_call.TargetHttp(f'http://127.0.0.1:{port}')
        try:
            with pytest.raises(registry.BackendError) as caught:
                await asyncio.wait_for(call.open('GET', '/', {}, None), 5)
            assert caught.value.started
        finally:
            await call.close()
            server.close()

    asyncio.run(go())
