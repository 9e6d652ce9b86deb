"""Second copies of an answer that arrive while another request is waiting.

The failure: a server sends an answer twice, the second time late, on a
connection that is in use again. Its caller gets an answer to another request.
"""

from __future__ import annotations

import pytest

from tests.cover.test_http1_connection import run_with_server
from wagtailhollow.internal.agent.backends import http_call
from wagtailhollow.internal.http1 import connection

FIRST_ID = b'aa01'
SECOND_ID = b'bb02'


def answer(body, request_id=b''):
    id_line = b'X-Request-Id: %s\r\n' % request_id if request_id else b''
    return b'HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s' % (
        id_line,
        len(body),
        body,
    )


class TwiceAnsweringServer:
    """Sends the first answer again when the next request has arrived.

    :ivar own_answers: whether the answer to the next request follows.
    """

    def __init__(self, echoes_ids, own_answers=True):
        self._echoes_ids = echoes_ids
        self._own_answers = own_answers

    async def serve(self, reader, writer):
        first = b''
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            if first:
                writer.write(first)
                if not self._own_answers:
                    continue
            own = self._answer_to(head)
            first = first or own
            writer.write(own)

    def _answer_to(self, head):
        request_id = SECOND_ID if SECOND_ID in head else FIRST_ID
        return answer(
            b'of ' + request_id, request_id if self._echoes_ids else b''
        )


def run_with(server, work):
    return run_with_server(server.serve, work)


def request(request_id):
    rows = ((connection.REQUEST_ID_HEADER, request_id),)
    return connection.Request(
        connection.request_head('GET', b'/', rows), b'', request_id
    )


async def exchange(conn, request_id):
    await conn.send(request(request_id))
    return await conn.read_all(1_000)


def test_second_copy_with_an_id_is_skipped():
    """Guards against an answer to an earlier request on the connection."""

    async def work(address):
        conn = await connection.HttpConnection.open(address, 1.0)
        assert await exchange(conn, FIRST_ID) == b'of ' + FIRST_ID
        assert await exchange(conn, SECOND_ID) == b'of ' + SECOND_ID
        assert not conn.is_usable
        conn.close()

    run_with(TwiceAnsweringServer(echoes_ids=True), work)


@pytest.mark.parametrize('own_answers', [True, False])
def test_answer_without_an_id_is_not_taken_on_a_used_connection(own_answers):
    """Guards against a second copy that nothing identifies."""

    async def work(address):
        conn = await connection.HttpConnection.open(address, 1.0)
        assert await exchange(conn, FIRST_ID) == b'of ' + FIRST_ID
        with pytest.raises(connection.ResponseLost) as caught:
            await exchange(conn, SECOND_ID)
        assert caught.value.was_sent
        conn.close()

    run_with(TwiceAnsweringServer(False, own_answers), work)


def test_agent_uses_no_connection_twice():
    """Guards against the same at an agent, whose targets echo no ids."""
    server = TwiceAnsweringServer(echoes_ids=False)

    async def work(address):
        target = http_call.TargetHttp(f'http://{address}')
        bodies = []
        for request_id in (FIRST_ID, SECOND_ID):
            headers = {'X-Request-Id': request_id.decode()}
            found = await target.open('GET', '/', headers, None)
            bodies.append(b''.join([item async for item in found.chunks]))
        await target.close()
        return bodies

    assert run_with(server, work) == [b'of ' + FIRST_ID, b'of ' + SECOND_ID]
