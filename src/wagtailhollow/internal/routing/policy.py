"""Registry of routing policies and the candidate they choose from."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

POLICIES: dict[str, Callable[[], RoutingPolicy]] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take a call.

    :ivar target: name of the target.
    :ivar address: peer address of its agent.
    :ivar data_centre: where it runs.
    :ivar outstanding: calls of this entry that run there now.
    :ivar reported_running: calls running there by the last report.
    :ivar reported_queued: calls queued there by the last report.
    :ivar sent_since_report: estimate of the calls of all entries started
        there since the report, less those that ended.
    :ivar cap: concurrency cap by the last report.
    :ivar weight: weight from the table, that of its data centre included.
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
        """Return the estimated share of the cap in use.

        Calls sent since the report count at once, so that an entry does not
        send everything to a target until its next report.
        """
        running = max(
            self.outstanding, self.reported_running + self.sent_since_report
        )
        return (running + self.reported_queued) / max(self.cap, 1)

    @property
    def capacity(self) -> float:
        """Return the cap times the weight."""
        return self.weight * max(self.cap, 1)


class RoutingPolicy(Protocol):
    """Chooses one of several candidates; an instance may keep state."""

    def choose(
        self, candidates: Sequence[Candidate], prefix: str
    ) -> Candidate:
        """Return the candidate for a call whose prompt starts *prefix*.

        *candidates* is not empty.
        """


def routing_policy(name: str):
    """Register a class as the policy *name*."""

    def register(cls: type) -> type:
        POLICIES[name] = cls
        return cls

    return register
