"""A call on a route of the deployed configuration."""

from __future__ import annotations

import dataclasses
import time

from ...directory import model
from ...http1 import connection
from .. import call as call_module


@dataclasses.dataclass(frozen=True)
class RoutedCall(call_module.Call):
    """A call with its route and the headers that go on to the target.

    :ivar sent_headers: headers of the caller that the target gets unchanged.
    :ivar target_path: path and query as the caller sent them.
    :ivar has_key: whether the call was let in because of a key.
    :ivar is_later_attempt: the caller lost time in an earlier attempt.
    :ivar priority: rank of the organisation or else of the route, 0 is first.
    """

    route: model.Route = None
    sent_headers: connection.Headers = ()
    target_path: bytes = b'/'
    has_key: bool = False
    priority: int = 0
    is_later_attempt: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.route.kind is model.CallKind.STREAM

    @property
    def is_late(self) -> bool:
        """Return whether the answer can no longer begin within its aim."""
        return self.is_later_attempt or (
            time.monotonic() - self.arrived_s > self.route.objective_s
        )
