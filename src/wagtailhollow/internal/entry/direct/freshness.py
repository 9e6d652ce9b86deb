"""How recently the manifest in force was proved to be the newest one."""

from __future__ import annotations

from collections.abc import Callable

from .... import errors

KEY_MARGIN_S = 0.8
"""Part of the revocation bound kept for a request that is on its way."""

MAX_DENIAL_AGE_S = 2.0
"""A manifest has to be in force 2 s after it was accepted; an older proof
cannot tell that a route or key does not exist."""

RETRY_AFTER_S = 0.05
"""The caller's next attempt reaches another entry, which may hear the store;
this leaves it most of the 0.15 to 0.5 s in which an answer is on time."""


class Freshness:
    """Decides what an entry may conclude from its copy of the manifest."""

    def __init__(
        self, age_s: Callable[[], float], revoke_s: float, is_strict: bool
    ) -> None:
        """Create the check.

        :param age_s: returns the age of the last proof, by a clock that also
            counts a suspended machine.
        """
        self.age_s = age_s
        self._revoke_s = revoke_s
        self._is_strict = is_strict

    def adjust(self, revoke_s: float, is_strict: bool) -> None:
        """Use other bounds from now on."""
        self._revoke_s = revoke_s
        self._is_strict = is_strict

    @property
    def may_accept_keys(self) -> bool:
        """Return whether no key can have been withdrawn for too long."""
        return (
            not self._is_strict
            or self.age_s() <= self._revoke_s - KEY_MARGIN_S
        )

    def require_fresh_for_keys(self) -> None:
        """Raise NOT_READY if a key may have been withdrawn for too long."""
        if not self.may_accept_keys:
            self._refuse('keys cannot be checked')

    def require_fresh_for_denial(self, finding: str) -> None:
        """Raise NOT_READY if a newer manifest may say otherwise."""
        if self.age_s() > MAX_DENIAL_AGE_S:
            self._refuse(finding)

    def _refuse(self, finding: str) -> None:
        raise errors.Refusal(
            errors.ErrorKind.NOT_READY,
            f'{finding}, and the store was last heard '
            f'{self.age_s():.1f} s ago',
            retry_after_s=RETRY_AFTER_S,
        )
