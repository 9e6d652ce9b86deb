"""Admission of calls: limits of the organisation, then a fair queue."""

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
"""Number of latest completions from which Retry-After is estimated."""

MAX_RETRY_AFTER_S = 30.0

TableSource = Callable[[], queries.TableView | None]


class ServiceCapacity:
    """Limits the outstanding calls of a service at this entry.

    The limit follows the caps in the targets' reports. A report includes the
    calls of this entry. Those that were outstanding when it arrived are
    subtracted, so that the end of one of them frees its slot before the next
    report.
    """

    def __init__(
        self,
        view: load_view.LoadView,
        table_view: TableSource,
        entry_count: Callable[[], int],
    ) -> None:
        self._load_view = view
        self._table_view = table_view
        self._entry_count = entry_count
        self._running_for_others: dict[str, int] = {}
        self._accepts_calls: dict[tuple[str, str, str], bool] = {}
        self._accepts_calls_version = -1

    def record_report(self, load: ttypes.TargetLoad) -> None:
        """Store how many calls of other entries a new report shows."""
        own = self._load_view.outstanding(load.target)
        self._running_for_others[load.target] = max(0, load.running - own)

    def limit(self, service_name: str) -> int | None:
        """Return the limit; None, meaning unlimited, if no target takes calls.

        Such calls are refused later, when no target can be chosen. An entry
        may use free slots up to its equal share of all slots, and beyond that
        its equal part of the free slots that are left.
        """
        caps = free = own = 0
        has_target = False
        for report in self._load_view.fresh_reports():
            load = report.load
            if (
                load.service_name != service_name
                or load.state != ttypes.TargetState.IN_SERVICE
                or report.draining
                or not self._accepts_new_calls(
                    service_name, report.agent.data_centre, load.target
                )
            ):
                continue
            has_target = True
            own_at_target = self._load_view.outstanding(load.target)
            caps += load.cap
            own += own_at_target
            others = self._running_for_others.get(load.target, 0)
            free += max(0, load.cap - others - own_at_target)
        if not has_target:
            return None
        entries = max(1, self._entry_count())
        below_share = min(free, max(0, caps // entries - own))
        limit = own + below_share + (free - below_share) // entries
        # With fewer free slots than entries, as when all targets are cold,
        # each share rounds to 0 and no target would ever get its first call.
        # So one call is admitted; if several entries do this, the agents
        # refuse the calls beyond their caps.
        return max(limit, min(free, 1))

    def _accepts_new_calls(
        self, service_name: str, data_centre: str, target: str
    ) -> bool:
        """Return whether the table allows new calls to the target."""
        # Cached for the table version: reading the rows of every target for
        # every call would cost more than the rest of the admission.
        table = self._table_view()
        if table.version != self._accepts_calls_version:
            self._accepts_calls_version = table.version
            self._accepts_calls.clear()
        key = (service_name, data_centre, target)
        if key not in self._accepts_calls:
            self._accepts_calls[key] = _accepts_new_calls(table, *key)
        return self._accepts_calls[key]


def _accepts_new_calls(
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
    """The waiting and admitted calls of one service at this entry."""

    def __init__(self, name: str, weight: Callable[[str], float]) -> None:
        self.name = name
        self.queue: fair_share.FairQueue[_Waiter] = fair_share.FairQueue(
            weight
        )
        self._end_times: collections.deque[float] = collections.deque(
            maxlen=RATE_WINDOW
        )

    def admit_waiting(self, limit: int | None) -> None:
        """Admit waiting calls while the limit allows more."""
        while len(self.queue) and (limit is None or self.queue.in_use < limit):
            organisation, waiter = self.queue.pop_next()
            if not waiter.fut.done():
                self.queue.acquire_slot(organisation)
                waiter.is_admitted = True
                waiter.fut.set_result(None)
        metrics.waiting_calls.labels(self.name).set(len(self.queue))

    def record_end(self) -> None:
        """Record the completion time of a call."""
        self._end_times.append(time.monotonic())

    def retry_after_s(self) -> float:
        """Return the estimated time to serve the calls waiting now."""
        if len(self._end_times) < 2:
            return 1.0
        elapsed_s = max(0.001, time.monotonic() - self._end_times[0])
        wait_s = (len(self.queue) + 1) * elapsed_s / len(self._end_times)
        return min(max(1.0, wait_s), MAX_RETRY_AFTER_S)


class AdmittedCall:
    """An admitted call and the tokens to charge for it."""

    def __init__(self, worst_case: int) -> None:
        self.tokens = worst_case

    def set_used_tokens(self, tokens: int) -> None:
        """Set the tokens used by a complete answer, at most the worst case."""
        self.tokens = min(self.tokens, tokens)


class Admission:
    """Holds a limit reservation and a slot for each call while it runs."""

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
    async def admit(
        self, call: call_module.Call
    ) -> AsyncIterator[AdmittedCall]:
        """Hold a limit reservation and a slot for *call* within the context.

        A call that provably did not run costs no tokens. A call without a
        complete answer costs its worst case, since the target may have
        produced more tokens than were relayed.

        :raises Refusal: LIMIT_EXCEEDED, BUDGET_EXHAUSTED,
            PLATFORM_UNAVAILABLE, BAD_REQUEST or OVERLOADED.
        """
        self._check_size(call)
        held = await self._limits.reserve(call.organisation, call.tokens)
        admitted = AdmittedCall(call.tokens)
        used = 0
        try:
            service = self._service(call.service_name)
            await self._acquire_slot(service, call)
            try:
                used = call.tokens
                yield admitted
                used = admitted.tokens
            finally:
                service.queue.release_slot(call.organisation)
                service.record_end()
                self._admit_waiting(service)
        except errors.Refusal as exc:
            # The error kind describes the last attempt only; an earlier one
            # may have run.
            has_not_run = not call.execution.may_have_run
            if (
                has_not_run
                and exc.answer.execution is errors.Execution.NOT_RUN
            ):
                used = 0
            raise
        finally:
            held.settle(used)

    def apply_load_report(self, load: ttypes.TargetLoad) -> None:
        """Update the capacity from a report and admit waiting calls."""
        self._capacity.record_report(load)
        service = self._services.get(load.service_name)
        if service is not None:
            self._admit_waiting(service)

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
        # The queue divides by the weight, which may be 0 in the table.
        return max(row.weight, 1e-6) if row is not None else 1.0

    def _admit_waiting(self, service: _ServiceQueue) -> None:
        if len(service.queue):
            service.admit_waiting(self._capacity.limit(service.name))

    async def _acquire_slot(
        self, service: _ServiceQueue, call: call_module.Call
    ) -> None:
        limit = self._capacity.limit(call.service_name)
        queue = service.queue
        is_free = limit is None or queue.in_use < limit
        if is_free and not len(queue):
            queue.acquire_slot(call.organisation)
            return
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        self._enqueue(service, call, waiter)
        service.admit_waiting(limit)
        try:
            async with asyncio.timeout(
                min(self._cfg.max_wait_s, max(0.0, call.remaining_s()))
            ):
                await waiter.fut
        except TimeoutError:
            self._abandon_wait(service, call, waiter)
            raise self._overloaded(
                service, 'waited too long for a free slot'
            ) from None
        except asyncio.CancelledError:
            self._abandon_wait(service, call, waiter)
            raise

    def _abandon_wait(
        self, service: _ServiceQueue, call: call_module.Call, waiter: _Waiter
    ) -> None:
        if waiter.is_admitted:
            # Admitted at the moment of the time-out or cancellation.
            service.queue.release_slot(call.organisation)
            self._admit_waiting(service)
        else:
            service.queue.discard(call.organisation, waiter)

    def _enqueue(
        self, service: _ServiceQueue, call: call_module.Call, waiter: _Waiter
    ) -> None:
        queue = service.queue
        bound = min(call.service.queue_limit, self._cfg.max_waiting_calls)
        if bound < 1:
            raise self._overloaded(service, 'no calls may wait')
        if len(queue) >= bound:
            longest = queue.longest_queue()
            if queue.waiting_per_weight(call.organisation, 1) >= (
                queue.waiting_per_weight(longest)
            ):
                raise self._overloaded(
                    service, f'{len(queue)} calls are waiting'
                )
            evicted = queue.pop_newest(longest)
            if not evicted.fut.done():
                evicted.fut.set_exception(
                    self._overloaded(service, f'{bound} calls are waiting')
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
