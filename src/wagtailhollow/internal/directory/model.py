"""Types of the deployed configuration and of the registered targets.

Package ``platform`` decodes the platform's documents into these types, which
do not depend on the platform's field names.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


class CallKind(enum.Enum):
    """How the calls of a route may be executed."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a route and its weight among the route's services."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Calls to one host name and path prefix.

    :ivar timeout_s: longest time that a caller waits for the answer.
    :ivar objective_s: latency objective of the answer, or of the first event
        of a stream.
    :ivar gap_s: longest allowed pause between two events of a stream; 0 if
        there is no limit.
    :ivar priority: 0 is served first (in the table's service rows, higher
        goes first).
    :ivar max_attempts: number of targets to which one call may be sent.
    :ivar is_public: calls need no API key.
    :ivar is_resumable: a stream may be resumed at another target.
    :ivar regions: regions that may serve the calls; empty means all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Return whether a call may be executed more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """How the ranks of a group hold the experts of a service's model.

    :ivar layers: number of sets of layers; the layers of a set share one
        expert map.
    :ivar experts: experts per set of layers.
    :ivar places: experts that a rank holds per set of layers.
    :ivar spare: experts that one order may add to a rank per set of layers.
    :ivar load_s: time to copy the weights of one expert to a rank.
    :ivar share: fraction of the work of a token that is done by experts.
    """

    layers: int
    experts: int
    places: int
    spare: int
    load_s: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Performance model of a service's engines, for predictions.

    :ivar step_s: time of a decode step without any sequence.
    :ivar per_sequence_s: time added by each sequence that is being decoded.
    :ivar per_context_token_s: time added by each context token of a sequence.
    :ivar prefill_tokens_per_s: rate at which prompts are processed.
    :ivar kv_capacity_tokens: capacity of an engine's KV cache.
    :ivar stride: decode steps per pass.
    """

    slots: int
    step_s: float
    per_sequence_s: float
    per_context_token_s: float
    prefill_tokens_per_s: float
    kv_capacity_tokens: int
    stride: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    experts: ExpertLayout | None = None

    def pass_s(self, sequences: int) -> float:
        """Return the time of a pass if the load of the experts is even.

        The time added by the context tokens is not included.
        """
        return self.stride * (self.step_s + self.per_sequence_s * sequences)

    @property
    def usual_passes(self) -> float:
        """Return the passes of a usual answer, and one for its prompt."""
        return 1 + self.usual_answer_tokens / self.stride

    def sequences_within(self, pass_s: float) -> int:
        """Return how many sequences can be decoded in passes of *pass_s*."""
        left_s = pass_s / self.stride - self.step_s
        return max(0, int(left_s / self.per_sequence_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the capacity of its targets.

    :ivar max_connections: connections that a target accepts in total.
    :ivar cold_s: how long a target is cold after its start. The remaining
        time of a target is in its registration.
    :ivar cold_requests_per_s: request rate that a cold target can serve; 0 if
        it is not limited.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 0
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    engine: EngineModel | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer; its priority, if set, overrides that of the route.

    As for routes, priority 0 is served first.
    """

    name: str
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on idle time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """One version of the deployed configuration.

    :ivar revision: revision of the stored object, by which versions are
        ordered.
    :ivar organisations: organisations by API key; None if calls carry no key.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation] | None

    def shortest_gap_s(self, service: str) -> float:
        """Return the shortest gap that a route to a service allows.

        :return: 0 if no route to the service limits the gap.
        """
        return min(
            (
                route.gap_s
                for route in self.routes
                if route.gap_s
                and any(share.service == service for share in route.shares)
            ),
            default=0.0,
        )


class TargetState(enum.Enum):
    """Whether a target accepts new calls."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Registration of one incarnation of a target.

    :ivar name: id of the target; it may stay the same after a restart, see
        ``started_ms``.
    :ivar started_ms: Unix time of the start; it distinguishes incarnations
        with the same name.
    :ivar cold_s: how long the target is still cold, counted from when this
        host receives the record.
    """

    name: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    cold_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the key that distinguishes incarnations."""
        return self.name, self.started_ms
