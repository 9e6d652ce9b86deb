"""Splits a stream into events and tracks the position for resuming it."""

from __future__ import annotations

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


MAX_EVENT_BYTES = 256 * 1024
"""Bytes of one event; far more than an engine makes in a pass."""


class EventTooLong(Exception):
    """An event has no end within :data:`MAX_EVENT_BYTES`."""


class EventPosition:
    """Position in the event stream of a call, across its attempts.

    :ivar last_id: id of the last event sent to the caller, or empty.
    :ivar events: number of events sent to the caller.
    """

    def __init__(self, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = bytearray()

    def discard_partial(self) -> None:
        """Discard a partial event; the next attempt sends it completely."""
        self._partial = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Return the complete events in the buffered bytes and *data*.

        Events that were sent before are dropped: a target that resumes a
        stream may repeat the last one.

        :raises EventTooLong: the last event has no end.
        """
        # The end of an event may be split between two reads.
        searched = max(0, len(self._partial) - len(_EVENT_END) + 1)
        self._partial += data
        end = self._partial.rfind(_EVENT_END, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise EventTooLong(f'no end within {MAX_EVENT_BYTES} bytes')
            return b''
        end += len(_EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if self.events == 0 and not self.last_id:
            return self._record_sent(complete)
        return b''.join(
            self._record_sent(event + _EVENT_END)
            for event in complete.split(_EVENT_END)[:-1]
            if not self._is_duplicate(event)
        )

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete event are kept."""
        return len(self._partial)

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._partial)

    def _record_sent(self, events: bytes) -> bytes:
        event_ids = _event_ids(events)
        if event_ids:
            self.last_id = event_ids[-1]
        self.events += events.count(_EVENT_END)
        return events

    def _is_duplicate(self, event: bytes) -> bool:
        event_ids = _event_ids(event)
        if (
            not event_ids
            or not event_ids[-1].isdigit()
            or not self.last_id.isdigit()
        ):
            return False
        return int(event_ids[-1]) <= int(self.last_id)


def _event_ids(events: bytes) -> list[bytes]:
    return [
        line[len(_ID_FIELD) :].strip()
        for line in events.split(b'\n')
        if line.startswith(_ID_FIELD)
    ]
