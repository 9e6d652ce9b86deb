"""Splits a stream into whole events and remembers where it can go on."""

from __future__ import annotations

_END = b'\n\n'
_ID = b'id:'


class EventPosition:
    """Position of one stream over all its attempts.

    :ivar last_id: id of the last event that was passed on, or empty.
    :ivar events: number of events passed on.
    """

    def __init__(self, last_id: bytes = b'') -> None:
        self.last_id = last_id
        self.events = 0
        self._partial = b''

    def discard_partial(self) -> None:
        """Forget a partial event; the next attempt sends it whole."""
        self._partial = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that *data* completes.

        Events that were passed on before are left out: a target that resumes
        a stream may repeat the last one.
        """
        data = self._partial + data
        end = data.rfind(_END)
        if end < 0:
            self._partial = data
            return b''
        whole, self._partial = data[: end + 2], data[end + 2 :]
        if self.events == 0 and not self.last_id:
            return self._pass_on(whole)
        return b''.join(
            self._pass_on(event + _END)
            for event in whole.split(_END)[:-1]
            if not self._is_old(event)
        )

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._partial

    def _pass_on(self, events: bytes) -> bytes:
        ids = _ids(events)
        if ids:
            self.last_id = ids[-1]
        self.events += events.count(_END)
        return events

    def _is_old(self, event: bytes) -> bool:
        ids = _ids(event)
        if not ids or not ids[-1].isdigit() or not self.last_id.isdigit():
            return False
        return int(ids[-1]) <= int(self.last_id)


def _ids(events: bytes) -> list[bytes]:
    return [
        line[len(_ID) :].strip()
        for line in events.split(b'\n')
        if line.startswith(_ID)
    ]
