"""Maintains a copy of one kind of documents whose age is known."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from ..observability import decisions
from . import changes

_LOG = logging.getLogger(__name__)

T = TypeVar('T')

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
"""Limit of the exponential backoff after failed calls.

The return of the store has to be noticed well within the 2 s in which changes
must take effect.
"""

OUTAGE_S = 1.0
"""Length of an outage after which registrations may have expired."""

LAPSE_WINDOW_S = 2.0
"""Time after an outage in which a removal may be an expired registration.

Targets that are still running have registered again within it.
"""


def suspend_aware_now() -> float:
    """Return monotonic seconds, including time spent in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class Update(Generic[T]):
    """Documents that have changed.

    :ivar is_listing: *documents* holds all documents, not only changed ones.
    :ivar after_outage: the update follows an outage of the store.
    :ivar era: see :class:`changes.Listing`.
    :ivar is_older_copy: the first listing since the store came back from an
        older copy: what was changed last may be missing from it, until those
        who changed it have written it again.
    """

    documents: Mapping[str, T | None]
    revision: int
    is_listing: bool
    after_outage: bool
    era: int = 0
    is_older_copy: bool = False


class Follower(Generic[T]):
    """Reads and watches one kind of documents while the process runs.

    :ivar confirmed_s: latest time, by :func:`suspend_aware_now`, at which the
        copy is known to have been current.
    :ivar is_broken: whether following failed for a reason other than the
        source, and has not succeeded since.
    """

    def __init__(
        self,
        kind: str,
        source: changes.ChangeSource[T],
        apply: Callable[[Update[T]], None],
        wait_s: float,
        batch_s: float = 0.0,
        on_loss: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a follower.

        :param wait_s: how long the store holds a watch without changes.
        :param batch_s: pause after a change, so that one call returns several
            changes.
        :param on_loss: called when the source does not answer, after answers
            before.
        """
        self._kind = kind
        self._source = source
        self._apply = apply
        self._wait_s = wait_s
        self._batch_s = batch_s
        self._on_loss = on_loss
        self._watch_time: asyncio.Timeout | None = None
        self._revision: int | None = None
        self._era: int | None = None
        self._failing_since_s: float | None = None
        self._outage_ended_s = -LAPSE_WINDOW_S
        self.confirmed_s: float | None = None
        self.is_broken = False

    def age_s(self) -> float:
        """Return the time since the copy was last known to be current."""
        if self.confirmed_s is None:
            return float('inf')
        return suspend_aware_now() - self.confirmed_s

    def adjust(self, wait_s: float, batch_s: float = 0.0) -> None:
        """Change the times from the next watch on."""
        self._wait_s = wait_s
        self._batch_s = batch_s

    def suspect_loss(self) -> None:
        """Ask the source again without delay.

        A watch on a connection that lost its peer would be noticed only when
        its own time is over.
        """
        watch = self._watch_time
        if watch is not None and not watch.expired():
            watch.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Read and watch the documents until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._read_or_watch()
                pause_s = RETRY_MIN_S
                self.is_broken = False
                continue
            except changes.HistoryGone:
                decisions.log('history_gone', kind=self._kind)
                self._revision = None
                continue
            except changes.SourceUnavailable as exc:
                self._record_failure(exc)
            except Exception:
                _LOG.exception('following %s failed', self._kind)
                self.is_broken = True
                self._revision = None
            await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _read_or_watch(self) -> None:
        requested_s = suspend_aware_now()
        if self._revision is None:
            listing = await self._source.read()
            self._record_success()
            is_older_copy = self._era not in (None, listing.era)
            self._era = listing.era
            if is_older_copy:
                decisions.log(
                    'store_restored',
                    kind=self._kind,
                    era=listing.era,
                    revision=listing.revision,
                )
            self._apply_documents(
                listing.documents, listing.revision, True, is_older_copy
            )
            self.confirmed_s = requested_s
            return
        # After a failure the watch must not wait, so that the return of the
        # store is noticed at once.
        wait_s = self._wait_s if self._failing_since_s is None else 0.0
        found = await self._watch(wait_s)
        self._record_success()
        if found.documents:
            self._apply_documents(found.documents, found.revision, False)
            self.confirmed_s = max(self.confirmed_s or 0.0, requested_s)
            await asyncio.sleep(self._batch_s)
        else:
            # The store returns a watch without changes only after wait_s.
            self.confirmed_s = min(requested_s + wait_s, suspend_aware_now())
            self._revision = max(self._revision, found.revision)

    async def _watch(self, wait_s: float) -> changes.Changes[T]:
        """Return the changes; a suspected loss ends the watch as a failure."""
        try:
            async with asyncio.timeout(None) as self._watch_time:
                return await self._source.watch(self._revision, wait_s)
        except TimeoutError as exc:
            raise changes.SourceUnavailable(
                'another watch of the source had no answer'
            ) from exc
        finally:
            self._watch_time = None

    def _apply_documents(
        self,
        documents: Mapping[str, T | None],
        revision: int,
        is_listing: bool,
        is_older_copy: bool = False,
    ) -> None:
        since_outage_s = suspend_aware_now() - self._outage_ended_s
        after_outage = since_outage_s < LAPSE_WINDOW_S
        self._apply(
            Update(
                documents,
                revision,
                is_listing,
                after_outage,
                self._era or 0,
                is_older_copy,
            )
        )
        self._revision = revision

    def _record_failure(self, exc: Exception) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = suspend_aware_now()
            decisions.log('store_lost', kind=self._kind, reason=str(exc))
            self._on_loss()

    def _record_success(self) -> None:
        if self._failing_since_s is not None:
            outage_s = suspend_aware_now() - self._failing_since_s
            if outage_s > OUTAGE_S:
                self._outage_ended_s = suspend_aware_now()
            decisions.log(
                'store_regained', kind=self._kind, away_s=round(outage_s, 3)
            )
            self._failing_since_s = None
