"""Checks how recently the manifest was confirmed to be the newest version."""

from __future__ import annotations

from collections.abc import Callable

from .... import errors

KEY_MARGIN_S = 0.8
"""Part of the revocation bound reserved for requests already in transit."""

RETRY_AFTER_S = 0.05
"""The caller's retry reaches another entry, which may be able to reach the
store; this leaves it most of the latency objective of 0.15 to 0.5 s."""


class Freshness:
    """Decides what an entry may conclude from its copy of the manifest."""

    def __init__(
        self,
        age_s: Callable[[], float],
        revoke_s: float,
        is_strict: bool,
        apply_s: float,
    ) -> None:
        """Create the check.

        :param age_s: returns the time since the manifest was last confirmed,
            by a clock that also runs while the host is suspended.
        :param revoke_s: time after which a withdrawn key must be refused.
        :param is_strict: whether keys are refused while the manifest cannot be
            confirmed.
        :param apply_s: time in which a manifest has to be in force; without a
            confirmation within it, no route or key is denied.
        """
        self.age_s = age_s
        self._revoke_s = revoke_s
        self._is_strict = is_strict
        self._apply_s = apply_s

    def adjust(self, revoke_s: float, is_strict: bool, apply_s: float) -> None:
        """Apply changed bounds."""
        self._revoke_s = revoke_s
        self._is_strict = is_strict
        self._apply_s = apply_s

    @property
    def may_accept_keys(self) -> bool:
        """Return whether no key can be past the revocation bound."""
        return (
            not self._is_strict
            or self.age_s() <= self._revoke_s - KEY_MARGIN_S
        )

    def require_fresh_for_keys(self) -> None:
        """Raise NOT_READY if a key may be past the revocation bound."""
        if not self.may_accept_keys:
            self._refuse('keys cannot be checked')

    def require_fresh_for_denial(self, reason: str) -> None:
        """Raise NOT_READY if a newer manifest may have the route or key."""
        if self.age_s() > self._apply_s:
            self._refuse(reason)

    def _refuse(self, reason: str) -> None:
        raise errors.Refusal(
            errors.ErrorKind.NOT_READY,
            f'{reason}; the configuration was last confirmed '
            f'{self.age_s():.1f} s ago',
            retry_after_s=RETRY_AFTER_S,
        )
