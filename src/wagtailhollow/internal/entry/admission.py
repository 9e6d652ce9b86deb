"""Admission of calls: limits of the organisation, then the fair queue."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

from . import call as call_module


class OpenAdmission:
    """Admits every call."""

    @contextlib.asynccontextmanager
    async def admit(self, call: call_module.Call) -> AsyncIterator[None]:
        """Hold the limits of *call* while the context lasts."""
        yield
