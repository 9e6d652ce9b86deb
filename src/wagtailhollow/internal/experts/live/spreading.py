"""Sends maps to many agents over slow links: paced, and through relays."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Callable, Sequence

LINK_SHARE = 0.6
"""Largest share of a link's bandwidth that maps may take. Statuses and intents
without a map use the rest, so that they are not delayed."""

BURST_S = 0.01
"""Time on the link of the messages that are sent without a pause."""

DIRECT_S = 0.03
"""Maps are sent without relays if sending them takes no longer than this."""


class PacedSender:
    """Sends messages one after the other, no faster than the link bears."""

    def __init__(
        self,
        transmit: Callable[[object, Sequence[str]], None],
        bytes_per_s: float,
    ) -> None:
        """Create a sender.

        :param transmit: sends a message to agents at IP addresses at once.
        :param bytes_per_s: bandwidth of this host's link.
        """
        self._transmit = transmit
        self._bytes_per_s = LINK_SHARE * bytes_per_s
        self._queue: collections.deque[tuple[object, int, str]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._is_filled = asyncio.Event()

    def put(self, message: object, size: int, ip: str) -> None:
        """Queue a message of *size* bytes."""
        self._queue.append((message, size, ip))
        self._queued_bytes += size
        self._is_filled.set()

    def clear(self) -> None:
        """Drop what is queued."""
        self._queue.clear()
        self._queued_bytes = 0

    def backlog_s(self) -> float:
        """Return the time that sending the queued messages takes."""
        return self.transfer_s(self._queued_bytes)

    def transfer_s(self, size: int) -> float:
        """Return the time that sending *size* bytes takes."""
        return size / self._bytes_per_s

    async def run(self) -> None:
        """Send what is queued; for ever."""
        while True:
            await self._is_filled.wait()
            sent_s = 0.0
            while self._queue and sent_s < BURST_S:
                message, size, ip = self._queue.popleft()
                self._queued_bytes -= size
                self._transmit(message, (ip,))
                sent_s += self.transfer_s(size)
            if not self._queue:
                self._is_filled.clear()
            await asyncio.sleep(sent_s)


def relay_groups(
    ips: Sequence[str], message_bytes: int, bytes_per_s: float
) -> list[tuple[str, Sequence[str]]]:
    """Divide receivers into relays and those that each forwards to.

    :param ips: receivers; neighbours in the sequence get the same relay.
    :return: pairs of a relay and the receivers behind it.
    """
    if len(ips) * message_bytes <= DIRECT_S * LINK_SHARE * bytes_per_s:
        return [(ip, ()) for ip in ips]
    size = math.ceil(math.sqrt(len(ips)))
    return [
        (ips[start], ips[start + 1 : start + size])
        for start in range(0, len(ips), size)
    ]
