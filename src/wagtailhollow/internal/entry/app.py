"""The HTTP interface for callers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from absl import logging
from starlette import routing

from ... import errors
from ..observability import logs
from ..retries import deadline
from ..settings import schema
from ..table import model, queries
from . import call as call_module
from . import calls, requests
from .sink import HttpSink, Send

_FORWARDED_HEADERS = ('content-type', 'accept', 'user-agent')


class CallerApp:
    """Routes and endpoints for callers."""

    def __init__(
        self,
        cfg: schema.EntrySettings,
        handler: calls.CallHandler,
        admission,
        table_view: Callable[[], queries.TableView | None],
    ) -> None:
        """Create the application.

        :param admission: ``admit(call)`` returns an async context manager
            that holds the limits and a slot while the call runs.
        """
        self._cfg = cfg
        self._handler = handler
        self._admission = admission
        self._table_view = table_view
        self.draining = False
        self.in_progress = 0

    def routes(self) -> list[routing.Route]:
        """Return the routes for callers."""
        plain = '/v1/services/{service}/{path:path}'
        return [
            routing.Route('/v1/chat/completions', _Endpoint(self.chat)),
            routing.Route(plain, _Endpoint(self.plain)),
            routing.Route('/v1/models', _Endpoint(self.models)),
            routing.Route('/v1/{path:path}', _Endpoint(self.unknown_path)),
        ]

    async def overloaded(
        self, scope: requests.Scope, receive: requests.Receive, send: Send
    ) -> None:
        """Refuse requests on connections over the limit; an ASGI app."""
        await _Endpoint(self._refuse_connection)(scope, receive, send)

    async def _refuse_connection(
        self, scope: requests.Scope, receive: requests.Receive, sink: HttpSink
    ) -> None:
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f'the limit of {self._cfg.request_limits.max_connections} '
            'connections is reached',
            retry_after_s=1.0,
        )

    async def unknown_path(
        self, scope: requests.Scope, receive: requests.Receive, sink: HttpSink
    ) -> None:
        """Refuse every other path under ``/v1``."""
        raise requests.bad_request(
            'no such path; use /v1/chat/completions, /v1/models or '
            '/v1/services/SERVICE/PATH'
        )

    async def chat(
        self, scope: requests.Scope, receive: requests.Receive, sink: HttpSink
    ) -> None:
        """Serve ``POST /v1/chat/completions``."""
        if scope['method'] != 'POST':
            raise requests.bad_request('use POST for chat completions')
        view, organisation = self._identify(scope)
        body = await self._read_body(scope, receive)
        document = requests.json_object(body)
        model_name = document.get('model')
        service_name = (
            view.service_of_model(model_name)
            if isinstance(model_name, str)
            else None
        )
        if service_name is None:
            raise errors.Refusal(
                errors.ErrorKind.UNKNOWN_MODEL,
                'no service has the model '
                f'{requests.bounded_repr(model_name)}; '
                'GET /v1/models lists the models',
            )
        call = self._call(
            scope,
            sink,
            organisation,
            service_name,
            view.service(service_name),
            '/v1/chat/completions',
            body,
            requests.worst_case_tokens(document, body),
            requests.prompt_prefix(document),
        )
        await self._serve(call, receive, sink)

    async def plain(
        self, scope: requests.Scope, receive: requests.Receive, sink: HttpSink
    ) -> None:
        """Serve ``/v1/services/<service>/<path>``."""
        view, organisation = self._identify(scope)
        name = scope['path_params']['service']
        service = view.service(name)
        if service is None or service.kind != 'plain':
            raise errors.Refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f'there is no plain service {requests.bounded_repr(name)}',
            )
        body = await self._read_body(scope, receive)
        path = requests.target_path(scope)
        call = self._call(
            scope, sink, organisation, name, service, path, body, 0, ''
        )
        await self._serve(call, receive, sink)

    async def models(
        self, scope: requests.Scope, receive: requests.Receive, sink: HttpSink
    ) -> None:
        """Serve ``GET /v1/models``."""
        view, _ = self._identify(scope)
        await self._read_body(scope, receive)
        rows = [
            {'id': model_name, 'object': 'model', 'owned_by': service_name}
            for service_name in view.names('service')
            for model_name in view.service(service_name).models
        ]
        document = {'object': 'list', 'data': rows}
        await sink.start(200, {'content-type': 'application/json'})
        await sink.write(json.dumps(document).encode())
        await sink.finish()

    def _identify(
        self, scope: requests.Scope
    ) -> tuple[queries.TableView, str]:
        view = self._table_view()
        if view is None or self.draining:
            raise errors.Refusal(
                errors.ErrorKind.NOT_READY,
                'this entry is starting or stopping; retry the request',
                retry_after_s=1.0,
            )
        scheme, _, key = requests.header(scope, b'authorization').partition(
            ' '
        )
        name = (
            view.organisation_of_key(key.strip())
            if scheme.lower() == 'bearer'
            else None
        )
        if name is None:
            raise errors.Refusal(
                errors.ErrorKind.UNAUTHENTICATED,
                'send "Authorization: Bearer KEY" with a valid key',
            )
        return view, name

    async def _read_body(
        self, scope: requests.Scope, receive: requests.Receive
    ) -> bytes:
        limits = self._cfg.request_limits
        head_bytes = requests.head_bytes(scope)
        if head_bytes > limits.max_header_bytes:
            raise errors.Refusal(
                errors.ErrorKind.HEADER_TOO_LARGE,
                f'the head of the request has {head_bytes} bytes, at most '
                f'{limits.max_header_bytes} are allowed',
            )
        declared = requests.header(scope, b'content-length')
        if declared.isdigit() and int(declared) > limits.max_body_bytes:
            raise requests.body_too_large(limits.max_body_bytes)
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                return await requests.read_body(
                    scope, receive, limits.max_body_bytes
                )
        except ConnectionAbortedError:
            raise requests.bad_request('the connection was closed') from None
        except TimeoutError:
            raise errors.Refusal(
                errors.ErrorKind.SLOW_SENDER,
                f'the body did not arrive within {limits.body_timeout_s} s',
            ) from None

    def _call(
        self,
        scope: requests.Scope,
        sink: HttpSink,
        organisation: str,
        service_name: str,
        service: model.Service,
        path: str,
        body: bytes,
        tokens: int,
        prefix: str,
    ) -> call_module.Call:
        key = requests.idempotency_key(scope)
        is_repeatable = (
            service.kind == 'model'
            or scope['method'] in service.repeatable_methods
        )
        allowed_s = deadline.from_header(
            requests.header(scope, deadline.TIMEOUT_HEADER.encode()),
            self._cfg.request_limits.call_deadline_s,
        )
        return call_module.Call(
            call_id=sink.request_id,
            organisation=organisation,
            service_name=service_name,
            service=service,
            method=scope['method'],
            path=path,
            headers={
                name: value
                for name in _FORWARDED_HEADERS
                if (value := requests.header(scope, name.encode()))
            },
            body=body,
            idempotency_key=key,
            must_not_repeat=key is not None or not is_repeatable,
            tokens=tokens,
            prefix=prefix,
            deadline_s=time.monotonic() + allowed_s,
        )

    async def _serve(
        self, call: call_module.Call, receive: requests.Receive, sink: HttpSink
    ) -> None:
        sink.observe(call)
        self.in_progress += 1
        work = asyncio.create_task(self._admit_and_handle(call, sink))
        try:
            if not await requests.is_done_before_disconnect(work, receive):
                # A call that must run at most once continues, so that its
                # outcome is recorded.
                if not call.must_not_repeat:
                    work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                sink.count('caller_left')
                return
            await work
        finally:
            self.in_progress -= 1

    async def _admit_and_handle(
        self, call: call_module.Call, sink: HttpSink
    ) -> None:
        async with self._admission.admit(call) as admitted:
            await self._handler.handle(call, sink)
            prompt_tokens = len(call.body) // requests.BYTES_PER_TOKEN_ESTIMATE
            if sink.tokens_sent is not None:
                admitted.set_used_tokens(prompt_tokens + sink.tokens_sent)


class _Endpoint:
    """ASGI endpoint that answers refusals with errors."""

    def __init__(self, serve) -> None:
        self._serve = serve

    async def __call__(
        self, scope: requests.Scope, receive: requests.Receive, send: Send
    ) -> None:
        sink = HttpSink(send, scope)
        logs.request_id.set(sink.request_id)
        try:
            await self._serve(scope, receive, sink)
            sink.count('ok')
        except errors.Refusal as exc:
            await sink.refuse(exc)
        except Exception:
            logging.exception('call failed with an internal error')
            await sink.refuse(
                errors.Refusal(
                    errors.ErrorKind.INTERNAL,
                    'the entry failed with an internal error',
                )
            )
