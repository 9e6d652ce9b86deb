"""Registry of routing policies and the candidates they choose from."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

POLICIES: dict[str, Callable[[], RoutingPolicy]] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target to which a call may be sent.

    :ivar target: name of the target.
    :ivar address: peer address of its agent.
    :ivar data_centre: data centre of the target.
    :ivar outstanding: number of this entry's calls that run at the target.
    :ivar reported_running: running calls in the last report.
    :ivar reported_queued: queued calls in the last report.
    :ivar sent_since_report: estimate for all entries of the calls started at
        the target since the report, less those that ended; may be negative.
    :ivar cap: concurrency cap in the last report.
    :ivar weight: weight from the table, multiplied by that of the data centre.
    """

    target: str
    address: str
    data_centre: str
    outstanding: int
    reported_running: int
    reported_queued: int
    sent_since_report: int
    cap: int
    weight: float = 1.0

    @property
    def load(self) -> float:
        """Return the estimated running and queued calls per unit of the cap.

        It may exceed 1. Calls sent since the last report are included;
        otherwise an entry would send all its calls to one target until the
        next report.
        """
        running = max(
            self.outstanding, self.reported_running + self.sent_since_report
        )
        return (running + self.reported_queued) / max(self.cap, 1)

    @property
    def weighted_cap(self) -> float:
        """Return the cap multiplied by the weight."""
        return self.weight * max(self.cap, 1)


class RoutingPolicy(Protocol):
    """Chooses one of several candidates; instances may keep state."""

    def choose(
        self, candidates: Sequence[Candidate], prefix: str
    ) -> Candidate:
        """Return the candidate for a call.

        :param candidates: never empty.
        :param prefix: start of the call's prompt, '' if it has none.
        """


def routing_policy(name: str):
    """Register a class as the routing policy *name*."""

    def register(cls: type) -> type:
        POLICIES[name] = cls
        return cls

    return register
