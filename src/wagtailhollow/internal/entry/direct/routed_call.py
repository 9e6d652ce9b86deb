"""A call with its route and the request to send to the target."""

from __future__ import annotations

import dataclasses
import time

from ...directory import model
from ...http1 import connection
from .. import call as call_module
from ..shortage import order


@dataclasses.dataclass(frozen=True)
class RoutedCall(call_module.Call):
    """A call with its route and the headers to forward to the target.

    :ivar sent_headers: headers of the caller that are forwarded unchanged.
    :ivar body_read_s: monotonic time at which the body was complete.
    :ivar target_path: path and query as the caller sent them.
    :ivar is_authenticated: whether the call was authenticated by an API key.
    :ivar is_caller_retry: whether the call is a caller's retry, judged from
        its shorter deadline.
    :ivar priority: priority of the organisation, or else of the route; 0 is
        the highest.
    :ivar prompt_parts: ids of the parts of the prompt that other calls may
        share, in order.
    :ivar regions: regions that may serve the call; None means all.
    :ivar is_contested: whether calls of its service compete by priority, see
        :meth:`shortage.demand.Demand.is_contested`.
    :ivar first_event_s: time from sending the call to its first event.
    :ivar cost: work of the call, in usual calls of its service.
    :ivar passes: passes of an engine that the answer takes, 0 if unknown.
    """

    route: model.Route = None
    body_read_s: float = 0.0
    sent_headers: connection.Headers = ()
    target_path: bytes = b'/'
    is_authenticated: bool = False
    priority: int = 0
    is_caller_retry: bool = False
    prompt_parts: tuple[str, ...] = ()
    regions: frozenset[str] | None = None
    is_contested: bool = False
    first_event_s: float = 0.0
    cost: float = 1.0
    passes: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Return whether the response is an event stream."""
        return self.route.kind is model.CallKind.STREAM

    @property
    def is_late(self) -> bool:
        """Return whether the response cannot meet its latency objective."""
        return self.is_caller_retry or (
            self._age_s + self.first_event_s > self.route.objective_s
        )

    @property
    def level(self) -> int:
        """Return how urgent the call is; 0 is the most urgent."""
        return order.level_of(self.priority, self.route.priority)

    @property
    def standing(self) -> order.Standing:
        """Return the class of the call among those that compete with it."""
        return order.Standing(self.level, self.is_late)

    @property
    def rank(self) -> order.Rank:
        """Return the position of the call while it waits for a target."""
        return order.Rank(self.standing, not self.is_caller_retry, self._age_s)

    @property
    def _age_s(self) -> float:
        return time.monotonic() - self.arrived_s
