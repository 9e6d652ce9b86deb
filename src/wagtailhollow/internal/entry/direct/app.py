"""The caller-facing application of an entry that calls targets directly."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from .... import errors
from ...directory import model, state
from ...http1 import connection
from ...observability import decisions
from ...platform import headers, prompts
from ...table import model as table_model
from .. import calls, requests
from ..shortage import demand as demand_module
from ..shortage import quota
from . import (
    caller_timeouts,
    freshness,
    planned_stop,
    routed_call,
    targets,
)
from . import requests as target_requests
from . import sink as sink_module

_LOG = logging.getLogger(__name__)

ROUTING_POLICY = 'power_of_two'
START_RETRY_S = 0.5
"""Retry-After of an entry without a configuration. Reading it takes about half
a second once the store answers."""


class RoutedApp:
    """ASGI application that serves calls on the routes of the manifest."""

    def __init__(
        self,
        directory: state.Directory,
        fresh: freshness.Freshness,
        handler: calls.CallHandler,
        stop: planned_stop.PlannedStop,
        view: targets.DirectTargets,
        demand: demand_module.Demand,
    ) -> None:
        self._targets = view
        self._demand = demand
        self._directory = directory
        self._freshness = fresh
        self._handler = handler
        self._stop = stop
        self._caller_timeouts = caller_timeouts.CallerTimeouts()
        self._routes_version: int | None = None
        self.in_progress = 0

    async def __call__(
        self,
        scope: requests.Scope,
        receive: requests.Receive,
        send: sink_module.Send,
    ) -> None:
        """Serve one request."""
        rows = scope['headers']
        request_id = connection.first_header(rows, headers.REQUEST_ID)
        sink = sink_module.DirectSink(
            send,
            request_id,
            connection.first_header(rows, headers.LAST_EVENT_ID),
            lambda: self._stop.is_begun,
        )
        start_s = time.monotonic()
        self.in_progress += 1
        call = None
        try:
            call = await self._call(scope, receive, request_id.decode())
            await self._serve(call, receive, sink)
            result = 'ok'
        except errors.Refusal as exc:
            result = exc.kind.value
            self._log_failure(request_id, start_s, call, sink, exc)
            await sink.refuse(exc, call and call.execution)
        except ConnectionError:
            result = 'caller_left'
        except Exception:
            _LOG.exception(
                'call %s failed with an unexpected exception', request_id
            )
            result = errors.ErrorKind.INTERNAL.value
            await sink.refuse(
                errors.Refusal(
                    errors.ErrorKind.INTERNAL,
                    'the entry failed with an internal error',
                ),
                call and call.execution,
            )
        finally:
            self.in_progress -= 1
        if call is not None:
            sink.record_metrics(call, result)
            decisions.log(
                'call',
                request_id=call.call_id,
                route=call.route.name,
                organisation=call.organisation,
                priority=call.priority,
                is_late=call.is_late,
                result=result,
                status=sink.status,
                events=sink.position.events,
                allowed_s=round(call.deadline_s - call.arrived_s, 3),
                took_s=round(time.monotonic() - call.arrived_s, 3),
            )

    def _log_failure(
        self,
        request_id: bytes,
        start_s: float,
        call: routed_call.RoutedCall | None,
        sink: sink_module.DirectSink,
        exc: errors.Refusal,
    ) -> None:
        manifest = self._directory.manifest
        stopping_s = self._stop.elapsed_s()
        decisions.log(
            'cut' if sink.is_started else 'refused',
            request_id=request_id.decode('latin-1'),
            kind=exc.kind.value,
            reason=exc.message,
            retry_after_s=exc.retry_after_s,
            may_have_run=bool(call and call.execution.may_have_run),
            manifest=manifest.version if manifest else None,
            manifest_age_s=round(min(self._freshness.age_s(), 1e6), 2),
            events=sink.position.events,
            body_s=call and round(call.body_read_s - start_s, 3),
            took_s=round(time.monotonic() - start_s, 3),
            stopping_s=stopping_s and round(stopping_s, 3),
        )

    async def _call(
        self, scope: requests.Scope, receive: requests.Receive, call_id: str
    ) -> routed_call.RoutedCall:
        manifest = self._directory.manifest
        if manifest is None:
            raise errors.Refusal(
                errors.ErrorKind.NOT_READY,
                'the entry has not read its configuration yet',
                retry_after_s=START_RETRY_S,
            )
        if self._routes_version != manifest.version:
            self._routes_version = manifest.version
            self._caller_timeouts.keep_only(
                {route.name for route in manifest.routes}
            )
        rows = scope['headers']
        route = self._route(scope)
        organisation = self._organisation(manifest, route, rows)
        arrived_s = time.monotonic()
        deadline = connection.first_header(rows, headers.DEADLINE)
        allowed_s = route.timeout_s
        is_caller_retry = False
        if deadline.isdigit():
            caller_timeout_s = int(deadline) / 1000
            allowed_s = min(allowed_s, caller_timeout_s)
            is_caller_retry = self._caller_timeouts.is_caller_retry(
                route.name, caller_timeout_s
            )
        async with self._stop.until_latest_start(arrived_s + allowed_s):
            body = await _read_body(
                scope, receive, manifest.limits.max_body_bytes, allowed_s
            )
        service_name = _choose_service(route)
        is_contested = self._demand.is_contested(service_name)
        cost, passes = self._work(service_name, rows)
        call = routed_call.RoutedCall(
            call_id=call_id,
            organisation=organisation.name if organisation else '',
            service_name=service_name,
            service=table_model.Service(routing=ROUTING_POLICY),
            method=scope['method'],
            path=scope['path'],
            headers={},
            body=body,
            idempotency_key=None,
            must_not_repeat=not route.may_repeat,
            tokens=0,
            prefix='',
            arrived_s=arrived_s,
            deadline_s=arrived_s + allowed_s,
            body_read_s=time.monotonic(),
            max_attempts=route.max_attempts,
            max_wait_s=caller_timeouts.max_wait_s(route),
            route=route,
            sent_headers=target_requests.forwarded_headers(rows),
            target_path=_target_path(scope),
            is_authenticated=organisation is not None,
            priority=_priority(route, organisation),
            is_caller_retry=is_caller_retry,
            prompt_parts=prompts.shared_parts(
                connection.first_header(rows, headers.PROMPT_PREFIX)
            ),
            regions=_allowed_regions(route, organisation),
            is_contested=is_contested,
            first_event_s=(
                self._targets.first_event_s(service_name, route)
                if is_contested
                else 0.0
            ),
            cost=cost,
            passes=passes,
        )
        if not call.is_late:
            self._demand.record(service_name, call.level, call.is_stream)
        return call

    def _work(
        self, service_name: str, rows: connection.Headers
    ) -> tuple[float, float]:
        """Return cost and passes of a call, see :class:`RoutedCall`."""
        service = self._directory.services().get(service_name)
        if service is None or service.engine is None:
            return 1.0, 0.0
        tokens = prompts.answer_tokens(
            connection.first_header(rows, headers.TOKEN_USAGE)
        )
        cost = quota.cost(tokens, service.engine.usual_answer_tokens)
        return cost, cost * service.engine.usual_passes

    def _route(self, scope: requests.Scope) -> model.Route:
        host = connection.first_header(scope['headers'], b'host').decode(
            'latin-1'
        )
        path = scope['raw_path'].decode('latin-1')
        route = self._directory.route(host, path)
        if route is None and ':' in host:
            route = self._directory.route(host.rpartition(':')[0], path)
        if route is None:
            self._freshness.require_fresh_for_denial(
                'no route is known for the path'
            )
            raise errors.Refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f'no route of {requests.bounded_repr(host)} serves '
                f'{requests.bounded_repr(path)}',
            )
        return route

    def _organisation(
        self,
        manifest: model.Manifest,
        route: model.Route,
        rows: connection.Headers,
    ) -> model.Organisation | None:
        if manifest.organisations is None or route.is_public:
            return None
        self._freshness.require_fresh_for_keys()
        key = connection.first_header(rows, headers.API_KEY).decode('latin-1')
        organisation = manifest.organisations.get(key)
        if organisation is None:
            self._freshness.require_fresh_for_denial('the key is unknown')
            raise errors.Refusal(
                errors.ErrorKind.UNAUTHENTICATED,
                'the key of the request is unknown',
            )
        return organisation

    async def _serve(
        self,
        call: routed_call.RoutedCall,
        receive: requests.Receive,
        sink: sink_module.DirectSink,
    ) -> None:
        work = asyncio.create_task(self._handler.handle(call, sink))
        try:
            async with self._stop.until_calls_end():
                is_done = await requests.is_done_before_disconnect(
                    work, receive
                )
        finally:
            if not work.done():
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
        if not is_done:
            raise ConnectionAbortedError('the caller left')
        await work


async def _read_body(
    scope: requests.Scope,
    receive: requests.Receive,
    limit: int,
    allowed_s: float,
) -> bytes:
    """Return the body; raises SLOW_SENDER if it is late for any answer.

    :param allowed_s: time until the deadline of the call.
    """
    try:
        async with asyncio.timeout(allowed_s):
            return await requests.read_body(scope, receive, limit)
    except TimeoutError as exc:
        raise errors.Refusal(
            errors.ErrorKind.SLOW_SENDER,
            f'the body did not arrive within the {allowed_s:.1f} s that the '
            'call had',
        ) from exc


def _target_path(scope: requests.Scope) -> bytes:
    query = scope['query_string']
    return scope['raw_path'] + (b'?' + query if query else b'')


def _priority(
    route: model.Route, organisation: model.Organisation | None
) -> int:
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _allowed_regions(
    route: model.Route, organisation: model.Organisation | None
) -> frozenset[str] | None:
    """Return the regions that may serve a call, None if all may.

    If both the route and the organisation name regions, both bind.
    """
    named = [
        frozenset(item.regions)
        for item in (route, organisation)
        if item is not None and item.regions
    ]
    return frozenset.intersection(*named) if named else None


def _choose_service(route: model.Route) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    return random.choices(
        [share.service for share in route.shares],
        [max(share.weight, 0.0) for share in route.shares],
    )[0]
