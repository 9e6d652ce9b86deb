"""Splits a stream into events and tracks the position for resuming it."""

from __future__ import annotations

import itertools
import re

_EVENT_END = b'\n\n'
_ID = re.compile(rb'^id:(.*)', re.MULTILINE)
_FIELD = re.compile(rb'^[^:\n]', re.MULTILINE)

MAX_EVENT_BYTES = 256 * 1024
"""Bytes of one event; far more than an engine makes in a pass."""


MAX_EVENTS_AT_ONCE = 4096
MAX_EVENTS_PER_S = 1000.0
"""Events of one attempt, empty ones included: this many, and more with the
time since the head of the answer. An engine makes one in a pass, which takes
several milliseconds, so that it stays below also after a pause of its host."""


class UnusableStream(Exception):
    """The bytes of a stream are none that an engine sends."""


class EventTooLong(UnusableStream):
    """An event has no end within :data:`MAX_EVENT_BYTES`."""


class TooManyEvents(UnusableStream):
    """There are more events than an engine can make in the time."""


def has_field(events: bytes) -> bool:
    """Return whether there is more in *events* than comments and empty lines.

    Callers take only events with a field for a part of the answer.
    """
    return _FIELD.search(events) is not None


class EventPosition:
    """Position in the event stream of a call, across its attempts.

    :ivar last_id: id of the last event sent to the caller, or empty.
    :ivar events: number of events sent to the caller.
    """

    def __init__(self, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = bytearray()
        self._received = 0

    def begin_attempt(self) -> None:
        """Discard a partial event; the next attempt sends it completely."""
        self._partial = bytearray()
        self._received = 0

    def feed(self, data: bytes, elapsed_s: float = 0.0) -> bytes:
        """Return the complete events in the buffered bytes and *data*.

        Events that were sent before are dropped: a target that resumes a
        stream may repeat the last one.

        :param elapsed_s: time since the head of the attempt's answer.
        :raises UnusableStream: the last event has no end, or there are too
            many.
        """
        # The end of an event may be split between two reads.
        searched = max(0, len(self._partial) - len(_EVENT_END) + 1)
        self._partial += data
        end = self._partial.rfind(_EVENT_END, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise EventTooLong(
                    f'an event has no end within {MAX_EVENT_BYTES} bytes'
                )
            return b''
        end += len(_EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._received += complete.count(_EVENT_END)
        allowed = MAX_EVENTS_AT_ONCE + MAX_EVENTS_PER_S * elapsed_s
        if self._received > allowed:
            raise TooManyEvents(
                f'{self._received} events within {elapsed_s:.1f} s'
            )
        if self._has_no_duplicate(complete):
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
        event_ids = _ID.findall(events)
        if event_ids:
            self.last_id = event_ids[-1].strip()
        self.events += events.count(_EVENT_END)
        return events

    def _has_no_duplicate(self, events: bytes) -> bool:
        """Return whether all events are certainly new, as nearly always."""
        if self.events == 0 and not self.last_id:
            return True
        event_ids = _ID.findall(events)
        numbers = [_number(item) for item in (self.last_id, *event_ids)]
        return not event_ids or (
            None not in numbers
            and all(a < b for a, b in itertools.pairwise(numbers))
        )

    def _is_duplicate(self, event: bytes) -> bool:
        event_ids = _ID.findall(event)
        number = _number(event_ids[-1]) if event_ids else None
        last = _number(self.last_id)
        return None not in (number, last) and number <= last


def _number(event_id: bytes) -> tuple[int, bytes] | None:
    """Return a key that orders the ids that are numbers, None for others.

    An id can have any number of digits, too many for an integer.
    """
    digits = event_id.strip()
    if not digits.isdigit():
        return None
    digits = digits.lstrip(b'0')
    return len(digits), digits
