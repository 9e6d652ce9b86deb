"""Admission of calls: limits of the organisation, then the fair queue."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable

from ... import errors
from ..limits import fair_share, method
from ..observability import metrics
from ..routing import load_view
from ..settings import schema
from ..table import queries
from ..wire.gen import ttypes
from . import call as call_module

RATE_WINDOW = 32
"""Completions over which the rate for Retry-After is measured."""

MAX_RETRY_AFTER_S = 30.0

TableSource = Callable[[], queries.TableView | None]


class ServiceCapacity:
    """How many calls of a service this entry may have outstanding.

    It follows the caps in the targets' reports. A report counts calls of this
    entry too; the number that this entry had when the report came is kept, so
    that the end of one of them frees its place before the next report.
    """

    def __init__(
        self,
        view: load_view.LoadView,
        table_view: TableSource,
        entry_count: Callable[[], int],
    ) -> None:
        self._view = view
        self._table_view = table_view
        self._entry_count = entry_count
        self._others: dict[str, int] = {}
        self._open: dict[tuple[str, str, str], bool] = {}
        self._open_version = -1

    def note_report(self, load: ttypes.TargetLoad) -> None:
        """Note a report that arrived now."""
        own = self._view.outstanding(load.target)
        self._others[load.target] = max(0, load.running - own)

    def limit(self, service_name: str) -> int | None:
        """Return the limit, or None if no target is known.

        An entry below its equal share of all places may take any free place;
        above it, it leaves the other entries their part of the free places.
        """
        caps = free = own = 0
        is_known = False
        for report in self._view.fresh_reports():
            load = report.load
            if (
                load.service_name != service_name
                or load.state != ttypes.TargetState.IN_SERVICE
                or report.draining
                or not self._is_open(
                    service_name, report.agent.data_centre, load.target
                )
            ):
                continue
            is_known = True
            here = self._view.outstanding(load.target)
            caps += load.cap
            own += here
            others = self._others.get(load.target, 0)
            free += max(0, load.cap - others - here)
        if not is_known:
            return None
        entries = max(1, self._entry_count())
        below_share = min(free, max(0, caps // entries - own))
        limit = own + below_share + (free - below_share) // entries
        # With fewer free places than entries, as when all targets are cold,
        # every share rounds to 0 and no target would ever get its first call.
        # The agents refuse what is too much.
        return max(limit, min(free, 1))

    def _is_open(
        self, service_name: str, data_centre: str, target: str
    ) -> bool:
        """Return whether the table lets new calls go to the target."""
        # Kept for each version: reading rows for every target of every call
        # would cost more than the rest of the admission.
        table = self._table_view()
        if table.version != self._open_version:
            self._open_version = table.version
            self._open.clear()
        key = (service_name, data_centre, target)
        if key not in self._open:
            self._open[key] = _is_open(table, *key)
        return self._open[key]


def _is_open(
    table: queries.TableView, service_name: str, data_centre: str, target: str
) -> bool:
    service = table.service(service_name)
    if service is None:
        return False
    weight = service.data_centre_weights.get(
        data_centre, table.data_centre(data_centre).weight
    )
    return weight * table.target(target).weight > 0 and not table.is_withdrawn(
        data_centre, target
    )


@dataclasses.dataclass(eq=False)
class _Waiter:
    fut: asyncio.Future[None]
    is_admitted: bool = False


class _ServiceQueue:
    """The calls of one service at this entry: waiting and admitted."""

    def __init__(self, name: str, weight: Callable[[str], float]) -> None:
        self.name = name
        self.queue: fair_share.FairQueue[_Waiter] = fair_share.FairQueue(
            weight
        )
        self._ends: collections.deque[float] = collections.deque(
            maxlen=RATE_WINDOW
        )

    def serve(self, limit: int | None) -> None:
        """Admit waiting calls while there are places."""
        while len(self.queue) and (limit is None or self.queue.in_use < limit):
            organisation, waiter = self.queue.pop_next()
            if not waiter.fut.done():
                self.queue.acquire_slot(organisation)
                waiter.is_admitted = True
                waiter.fut.set_result(None)
        metrics.waiting_calls.labels(self.name).set(len(self.queue))

    def ended(self) -> None:
        """Note the end of a call."""
        self._ends.append(time.monotonic())

    def retry_after_s(self) -> float:
        """Return when the calls that wait now will have been served."""
        if len(self._ends) < 2:
            return 1.0
        elapsed_s = max(0.001, time.monotonic() - self._ends[0])
        wait_s = (len(self.queue) + 1) * elapsed_s / len(self._ends)
        return min(max(1.0, wait_s), MAX_RETRY_AFTER_S)


class Admitted:
    """An admitted call; notes the tokens that were really used."""

    def __init__(self, worst_case: int) -> None:
        self.tokens = worst_case

    def used(self, tokens: int) -> None:
        """Note the tokens of a whole answer, at most the worst case."""
        self.tokens = min(self.tokens, tokens)


class Admission:
    """Holds limits and a place for each call while it runs."""

    def __init__(
        self,
        cfg: schema.RequestLimits,
        limits: method.LimitMethod,
        capacity: ServiceCapacity,
        table_view: TableSource,
    ) -> None:
        self._cfg = cfg
        self._limits = limits
        self._capacity = capacity
        self._table_view = table_view
        self._services: dict[str, _ServiceQueue] = {}

    @contextlib.asynccontextmanager
    async def admit(self, call: call_module.Call) -> AsyncIterator[Admitted]:
        """Hold the limits of *call* and a place while the context lasts.

        A call that is proven not to have run costs no tokens. One that ended
        without a whole answer costs its worst case: the target may have
        produced more than was relayed.

        :raises Refusal: LIMIT_EXCEEDED, BUDGET_EXHAUSTED,
            PLATFORM_UNAVAILABLE, BAD_REQUEST or OVERLOADED.
        """
        self._check_size(call)
        held = await self._limits.reserve(call.organisation, call.tokens)
        admitted = Admitted(call.tokens)
        used = 0
        try:
            service = self._service(call.service_name)
            await self._enter(service, call)
            try:
                used = call.tokens
                yield admitted
                used = admitted.tokens
            finally:
                service.queue.release_slot(call.organisation)
                service.ended()
                self._serve(service)
        except errors.Refusal as exc:
            # The kind speaks of the last attempt; an earlier one may have run.
            is_certain = not call.execution.may_have_run
            if is_certain and exc.answer.execution is errors.Execution.NOT_RUN:
                used = 0
            raise
        finally:
            held.settle(used)

    def apply_load_report(self, load: ttypes.TargetLoad) -> None:
        """Admit waiting calls after a report of a target."""
        self._capacity.note_report(load)
        service = self._services.get(load.service_name)
        if service is not None:
            self._serve(service)

    def _check_size(self, call: call_module.Call) -> None:
        row = self._table_view().organisation(call.organisation)
        if row is not None and call.tokens > row.max_tokens_per_call:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                f'prompt and max_tokens come to {call.tokens} tokens, '
                f'{row.max_tokens_per_call} are allowed in one call',
            )

    def _service(self, name: str) -> _ServiceQueue:
        if name not in self._services:
            self._services[name] = _ServiceQueue(name, self._weight)
        return self._services[name]

    def _weight(self, organisation: str) -> float:
        row = self._table_view().organisation(organisation)
        # A weight of 0 still needs an order among the others.
        return max(row.weight, 1e-6) if row is not None else 1.0

    def _serve(self, service: _ServiceQueue) -> None:
        if len(service.queue):
            service.serve(self._capacity.limit(service.name))

    async def _enter(
        self, service: _ServiceQueue, call: call_module.Call
    ) -> None:
        limit = self._capacity.limit(call.service_name)
        queue = service.queue
        is_free = limit is None or queue.in_use < limit
        if is_free and not len(queue):
            queue.acquire_slot(call.organisation)
            return
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        self._push(service, call, waiter)
        service.serve(limit)
        try:
            async with asyncio.timeout(
                min(self._cfg.max_wait_s, max(0.0, call.remaining_s()))
            ):
                await waiter.fut
        except TimeoutError:
            self._leave_queue(service, call, waiter)
            raise self._overloaded(service, 'waited too long') from None
        except asyncio.CancelledError:
            self._leave_queue(service, call, waiter)
            raise

    def _leave_queue(
        self,
        service: _ServiceQueue,
        call: call_module.Call,
        waiter: _Waiter,
    ) -> None:
        if waiter.is_admitted:
            # Admitted in the moment in which the call gave up.
            service.queue.release_slot(call.organisation)
            self._serve(service)
        else:
            service.queue.discard(call.organisation, waiter)

    def _push(
        self,
        service: _ServiceQueue,
        call: call_module.Call,
        waiter: _Waiter,
    ) -> None:
        queue = service.queue
        bound = min(call.service.queue_limit, self._cfg.max_waiting_calls)
        if bound < 1:
            raise self._overloaded(service, 'no calls may wait')
        if len(queue) >= bound:
            longest = queue.longest_queue()
            if queue.waiting_share(call.organisation, 1) >= (
                queue.waiting_share(longest)
            ):
                raise self._overloaded(service, f'{len(queue)} calls wait')
            evicted = queue.pop_newest(longest)
            if not evicted.fut.done():
                evicted.fut.set_exception(
                    self._overloaded(service, f'{bound} calls wait')
                )
        queue.push(call.organisation, waiter)

    def _overloaded(
        self, service: _ServiceQueue, reason: str
    ) -> errors.Refusal:
        return errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f'all targets of {service.name} are full: {reason}',
            retry_after_s=service.retry_after_s(),
        )
