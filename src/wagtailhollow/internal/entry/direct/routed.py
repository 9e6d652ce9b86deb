"""A call on a route of the deployed configuration."""

from __future__ import annotations

import dataclasses

from ...directory import model
from ...http1 import connection
from .. import call as call_module


@dataclasses.dataclass(frozen=True)
class RoutedCall(call_module.Call):
    """A call with its route and the headers that go on to the target.

    :ivar sent_headers: headers of the caller that the target gets unchanged.
    :ivar target_path: path and query as the caller sent them.
    :ivar prompt_tokens: length of the prompt, 0 if there is none.
    :ivar answer_tokens: estimate of the tokens that will be generated.
    :ivar last_event_id: where the caller resumes a stream, or empty.
    :ivar has_key: whether the call was let in because of a key.
    """

    route: model.Route = None
    sent_headers: connection.Headers = ()
    target_path: bytes = b'/'
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: bytes = b''
    has_key: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.route.kind is model.CallKind.STREAM
