"""Builds the request that an attempt sends to its target."""

from __future__ import annotations

from ...directory import model
from ...http1 import connection
from ...platform import headers
from ..shortage import order
from . import events, routed_call

_NOT_FORWARDED = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
        headers.API_KEY,
        headers.ORGANISATION,
        headers.DEADLINE,
        headers.EXPECTED_TARGET,
        headers.PRIORITY,
        headers.LAST_EVENT_ID,
    }
)
"""Hop-by-hop headers and headers that the entry sets itself."""


def forwarded_headers(rows: connection.Headers) -> connection.Headers:
    """Return the request headers that are forwarded to the target."""
    connection_options = {
        part.strip().lower()
        for name, value in rows
        if name == b'connection'
        for part in value.split(b',')
    }
    return tuple(
        row
        for row in rows
        if row[0] not in _NOT_FORWARDED and row[0] not in connection_options
    )


def target_request(
    call: routed_call.RoutedCall,
    record: model.TargetRecord,
    position: events.EventPosition,
) -> connection.Request:
    """Return the request of a call for a target.

    The caller of an interrupted stream is waiting for its next event, so that
    a stream that is resumed goes before all calls in the target's queue.

    :param position: events of the stream that the caller has.
    """
    rows = list(call.sent_headers)
    if call.body or call.method in ('POST', 'PUT', 'PATCH'):
        rows.append((b'content-length', str(len(call.body)).encode()))
    remaining_ms = max(1, int(call.remaining_s() * 1000))
    queue_level = (
        order.RESUMED_QUEUE_LEVEL
        if position.events
        else call.standing.queue_level
    )
    rows.append((headers.DEADLINE, str(remaining_ms).encode()))
    rows.append((headers.EXPECTED_TARGET, record.name.encode()))
    rows.append((headers.PRIORITY, b'%d' % queue_level))
    if call.organisation:
        rows.append((headers.ORGANISATION, call.organisation.encode()))
    if position.last_id:
        rows.append((headers.LAST_EVENT_ID, position.last_id))
    return connection.Request(
        connection.request_head(call.method, call.target_path, rows),
        call.body,
        call.call_id.encode('latin-1'),
    )
