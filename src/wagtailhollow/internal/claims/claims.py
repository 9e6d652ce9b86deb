"""Claims: the right to dispatch a call that must run at most once.

One platform object for each key. Its creation is the right to dispatch, once,
to the incarnation of the agent that it names. The object also carries the
recorded answer, so that a later caller with the key gets it.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import secrets
import time
from collections.abc import Mapping
from typing import Any

from ..store import api, settled_put
from ..wire.gen import ttypes

MAX_RECORDED_BODY_BYTES = 500_000
"""A recorded answer has to fit into one platform object, in base64."""

RETENTION_S = 24 * 3600.0
"""How long a key keeps its answer; later the key may be used again."""

CLOCK_SKEW_S = 3600.0
"""Added to the retention, since the clocks of the entries differ."""


@dataclasses.dataclass(frozen=True)
class RecordedAnswer:
    """The answer of a finished call, as it is replayed."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def size(self) -> int:
        """Return the bytes that count towards the recorded size."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers.items()
        )


@dataclasses.dataclass(frozen=True)
class Claim:
    """State of one key.

    :ivar object_key: key of the platform object.
    :ivar version: version at which this state was read or written.
    :ivar fingerprint: hash of the request, to detect a reused key.
    :ivar nonce: differs for each dispatch right.
    :ivar target, incarnation, address: where the call may be dispatched.
    :ivar issued_agent_clock_ms: the agent's clock when the claim was made.
    :ivar state: ``claimed``, ``not_run``, ``done`` or ``unknown``.
    :ivar answer: the recorded answer if the state is ``done``; None if it
        was too large to keep.
    :ivar created_at: time of the claim, seconds since the epoch.
    """

    object_key: str
    version: int
    fingerprint: str
    nonce: str
    target: str
    incarnation: int
    address: str
    issued_agent_clock_ms: int
    state: str = 'claimed'
    answer: RecordedAnswer | None = None
    created_at: float = 0.0

    def age_s(self) -> float:
        """Return the age by this process's wall clock."""
        return time.time() - self.created_at

    def is_expired(self) -> bool:
        """Return whether the key may be used again.

        Safe for every state: a dispatch is refused by its agent after 30 s
        and a call ends at its deadline, at most an hour.
        """
        return self.age_s() > RETENTION_S + CLOCK_SKEW_S

    def ticket(self) -> ttypes.ClaimTicket:
        """Return the ticket that travels with the dispatch."""
        return ttypes.ClaimTicket(
            self.object_key, self.nonce, self.issued_agent_clock_ms
        )


class ClaimStore:
    """Creates, reads and settles claims in the platform."""

    def __init__(self, store: api.ObjectStore) -> None:
        self._store = store

    async def find(self, organisation: str, key: str) -> Claim | None:
        """Return the claim of a key; raises PlatformUnavailable."""
        found = await self._store.get(object_key(organisation, key))
        return None if found is None else _from_object(found)

    async def acquire(self, claim: Claim, previous: Claim | None) -> Claim:
        """Create *claim*, or replace *previous*, which is proven not run.

        :raises api.Conflict: another entry was first.
        :raises api.PlatformUnavailable: unsettled; must not be dispatched.
        """
        expected = api.ABSENT if previous is None else previous.version
        return await self._write(claim, expected)

    async def record_outcome(
        self, claim: Claim, state: str, answer: RecordedAnswer | None = None
    ) -> Claim:
        """Record the outcome of *claim*; raises as :meth:`acquire`."""
        if answer and answer.size() > MAX_RECORDED_BODY_BYTES:
            answer = None
        settled = dataclasses.replace(claim, state=state, answer=answer)
        return await self._write(settled, claim.version)

    async def _write(self, claim: Claim, expected: int) -> Claim:
        def is_applied(value: Mapping[str, Any]) -> bool:
            return (
                value['nonce'] == claim.nonce and value['state'] == claim.state
            )

        written = await settled_put.settled_put(
            self._store,
            claim.object_key,
            _to_value(claim),
            expected,
            is_applied,
        )
        return dataclasses.replace(claim, version=written.version)


def object_key(organisation: str, key: str) -> str:
    """Return the platform object of a caller's key.

    The organisation is part of it, so organisations cannot meet on a key.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'claims/{organisation}/{digest}'


def key_of_unkeyed_call(call_id: str) -> str:
    """Return the key of a call whose caller sent none.

    A header cannot contain NUL, so no caller's key is equal to it.
    """
    return f'\0{call_id}'


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash that tells whether two requests are the same."""
    digest = hashlib.sha256()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def new_nonce() -> str:
    """Return a nonce for one dispatch right."""
    return secrets.token_hex(16)


def new_claim(
    organisation: str,
    key: str,
    request_fingerprint: str,
    target: str,
    incarnation: int,
    address: str,
    agent_clock_ms: int,
) -> Claim:
    """Return a claim that is not written yet."""
    return Claim(
        object_key(organisation, key),
        0,
        request_fingerprint,
        new_nonce(),
        target,
        incarnation,
        address,
        agent_clock_ms,
        created_at=time.time(),
    )


def _to_value(claim: Claim) -> dict[str, Any]:
    value = dataclasses.asdict(claim)
    del value['object_key'], value['version']
    if claim.answer is not None:
        value['answer'] = {
            'status': claim.answer.status,
            'headers': dict(claim.answer.headers),
            'body': base64.b64encode(claim.answer.body).decode(),
        }
    return value


def _from_object(found: api.StoredObject) -> Claim:
    value = dict(found.value)
    if value.get('answer'):
        value['answer'] = RecordedAnswer(
            value['answer']['status'],
            value['answer']['headers'],
            base64.b64decode(value['answer']['body']),
        )
    # A newer release may write fields that this one does not know.
    names = {field.name for field in dataclasses.fields(Claim)}
    known = {name: item for name, item in value.items() if name in names}
    return Claim(object_key=found.key, version=found.version, **known)
