"""Types of the deployed configuration and of the targets that are alive.

An adapter decodes the platform's documents into these types; nothing here
depends on how the platform spells them.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


class CallKind(enum.Enum):
    """What a route says of the calls on it."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a route and its share of the route's calls."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Calls to one host name and path prefix.

    :ivar timeout_s: longest time for which a caller is kept waiting.
    :ivar objective_s: time to the answer, or to the first event of a stream.
    :ivar gap_s: longest pause between two events of a stream, 0 if none.
    :ivar max_attempts: targets to which one call may be sent.
    :ivar is_public: calls need no key.
    :ivar is_resumable: a stream may go on at another target.
    :ivar regions: regions that may serve it; empty means all.
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
        """Return whether a call may be executed twice."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """How the experts of a service's model are held by a group's ranks.

    :ivar layers: sets of layers that share one assignment of experts.
    :ivar experts: experts in each of them.
    :ivar places: experts that a rank holds in each.
    :ivar spare: new experts that one order may bring to a rank in each.
    :ivar load_s: time to copy the weights of one expert to a rank.
    :ivar share: part of a token's work that experts do.
    """

    layers: int
    experts: int
    places: int
    spare: int
    load_s: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Speeds of a service's model engines, for predictions.

    :ivar step_s: time of a token step without any writer.
    :ivar per_sequence_s: added for each request that is writing.
    :ivar per_context_token_s: added for each token of context of a writer.
    :ivar prefill_tokens_per_s: rate at which prompts are read.
    :ivar kv_capacity_tokens: tokens that an engine's memory holds.
    :ivar stride: token steps of one pass.
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
        """Return the time of a pass with experts spread evenly."""
        return self.stride * (self.step_s + self.per_sequence_s * sequences)

    def sequences_within(self, pass_s: float) -> int:
        """Return how many sequences a pass of *pass_s* bears."""
        left_s = pass_s / self.stride - self.step_s
        return max(0, int(left_s / self.per_sequence_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and what its targets can bear.

    :ivar max_connections: connections that a target takes from all callers.
    :ivar cold_requests_per_s: requests that a cold target bears, 0 if no
        bound.
    """

    name: str
    health_path: str = '/'
    max_connections: int = 0
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    engine: EngineModel | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer; its calls' priority goes before that of their route."""

    name: str
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and for how long it may be idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """One version of the deployed configuration.

    :ivar revision: revision of the stored object; orders the versions.
    :ivar organisations: by key of the organisation; None if calls carry none.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation] | None


class TargetState(enum.Enum):
    """Whether a target takes new calls."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """One incarnation of a target, as it registered itself.

    :ivar name: id that a request may name to reach only this incarnation.
    :ivar started_ms: Unix time of its start; differs between incarnations with
        the same name.
    :ivar cold_s: for how long it stays cold, seen from the registration.
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
        """Return what tells two incarnations apart."""
        return self.name, self.started_ms
