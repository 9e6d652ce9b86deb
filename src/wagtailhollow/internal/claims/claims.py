"""Claims: the right to dispatch a call that must run at most once.

Each idempotency key has one platform object. The entry that creates it may
dispatch the call once, to the incarnation of the agent that the object names.
The object also stores the recorded answer for later callers with the same key.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import secrets
import time
from collections.abc import Mapping
from typing import Any

from ..store import api, confirmed_put
from ..wire.gen import ttypes

MAX_STORED_ANSWER_BYTES = 500_000
"""Limit on the body and headers of a stored answer: with its body encoded as
base64, it has to fit into a platform object."""

RETENTION_S = 24 * 3600.0
"""How long the answer to a key is kept. The key may be used for a new call
after this and :data:`CLOCK_SKEW_S`, or at once if its call was not run."""

CLOCK_SKEW_S = 3600.0
"""Added to the retention to allow for clock differences between entries."""


@dataclasses.dataclass(frozen=True)
class RecordedAnswer:
    """The answer to a finished call, which is replayed to later callers."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def size(self) -> int:
        """Return the size of the body and the headers in bytes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers.items()
        )


@dataclasses.dataclass(frozen=True)
class Claim:
    """The state of one idempotency key.

    The fields other than *object_key* and *version* are stored as JSON under
    their names.

    :ivar object_key: key of the platform object.
    :ivar version: version of the object that was read or written last.
    :ivar fingerprint: hash of the request, which detects a key that is reused
        for another request.
    :ivar nonce: unique id of this right to dispatch.
    :ivar target, incarnation, address: the agent to which the call may be
        dispatched.
    :ivar issued_agent_clock_ms: the agent's clock when the claim was made.
    :ivar state: ``claimed``, ``not_run``, ``done`` or ``unknown``.
    :ivar answer: the recorded answer if the state is ``done``; None if it
        was too large to keep.
    :ivar created_at: time of the claim in seconds since the Unix epoch.
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
        """Return the age of the claim by the local wall clock."""
        return time.time() - self.created_at

    def is_expired(self) -> bool:
        """Return whether the key may be used for a new call.

        This is safe in every state: an agent refuses a dispatch that is older
        than 30 s, and a call ends at its deadline, after an hour at most.
        """
        return self.age_s() > RETENTION_S + CLOCK_SKEW_S

    def ticket(self) -> ttypes.ClaimTicket:
        """Return the ticket that is sent with the dispatch."""
        return ttypes.ClaimTicket(
            self.object_key, self.nonce, self.issued_agent_clock_ms
        )


class ClaimStore:
    """Reads and writes claims in the platform's object store."""

    def __init__(self, store: api.ObjectStore) -> None:
        self._store = store

    async def find(self, organisation: str, key: str) -> Claim | None:
        """Return the claim of a key, None if there is none.

        :raises api.PlatformUnavailable: the platform did not answer.
        """
        found = await self._store.get(object_key(organisation, key))
        return None if found is None else _from_object(found)

    async def acquire(self, claim: Claim, previous: Claim | None) -> Claim:
        """Create *claim*, or replace *previous*.

        The caller replaces only a claim that has expired or whose call has not
        run.

        :raises api.Conflict: another entry wrote the claim first.
        :raises api.PlatformUnavailable: it is unknown whether the claim was
            written, so the call must not be dispatched.
        """
        expected = api.ABSENT if previous is None else previous.version
        return await self._write(claim, expected)

    async def record_outcome(
        self, claim: Claim, state: str, answer: RecordedAnswer | None = None
    ) -> Claim:
        """Store the outcome of *claim*; raises like :meth:`acquire`."""
        if answer and answer.size() > MAX_STORED_ANSWER_BYTES:
            answer = None
        updated = dataclasses.replace(claim, state=state, answer=answer)
        return await self._write(updated, claim.version)

    async def _write(self, claim: Claim, expected: int) -> Claim:
        def is_applied(value: Mapping[str, Any]) -> bool:
            return (
                value['nonce'] == claim.nonce and value['state'] == claim.state
            )

        written = await confirmed_put.confirmed_put(
            self._store,
            claim.object_key,
            _to_value(claim),
            expected,
            is_applied,
        )
        return dataclasses.replace(claim, version=written.version)


def object_key(organisation: str, key: str) -> str:
    """Return the key of the platform object for a caller's key.

    It contains the organisation, so that equal keys of two organisations
    name different objects.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'claims/{organisation}/{digest}'


def key_of_unkeyed_call(call_id: str) -> str:
    """Return the key for a call whose caller sent none.

    It starts with NUL, which a header cannot contain, and so differs from the
    key of any caller.
    """
    return f'\0{call_id}'


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash that is equal for identical requests only."""
    digest = hashlib.sha256()
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def new_nonce() -> str:
    """Return a nonce for one right to dispatch."""
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
    """Return a claim that has not been written to the platform yet."""
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
    # A newer release may have written fields that this one does not know.
    names = {field.name for field in dataclasses.fields(Claim)}
    known = {name: item for name, item in value.items() if name in names}
    return Claim(object_key=found.key, version=found.version, **known)
