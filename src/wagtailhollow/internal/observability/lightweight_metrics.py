"""Metrics of a process that is scraped rarely and must use little memory.

prometheus_client takes 4 MB of memory, which is charged for on every host, so
it is imported at the first scrape only. Decisions are counted without it.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
from collections.abc import Iterator, Mapping
from typing import Any

BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""A change of the expert map takes 0.1 s, or 0.6 s including the copying of
weights before it."""

SCRAPE_TIMEOUT_S = 2.0


class LightweightMetrics:
    """Counts decisions and records their durations.

    Numeric fields of a decision whose names end in ``_s`` are durations.
    """

    def __init__(self) -> None:
        self._decision_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._bucket_counts: dict[tuple[str, str], list[int]] = {}
        self._duration_sums: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._server: asyncio.Server | None = None

    def observe(self, event: str, fields: Mapping[str, Any]) -> None:
        """Count a decision and record its durations."""
        self._decision_counts[event, str(fields.get('result', ''))] += 1
        for name, value in fields.items():
            if name.endswith('_s') and isinstance(value, int | float):
                self._add_duration(event, name.removesuffix('_s'), value)

    def _add_duration(self, event: str, name: str, value: float) -> None:
        key = (event, name)
        buckets = self._bucket_counts.setdefault(
            key, [0] * (len(BUCKETS_S) + 1)
        )
        buckets[bisect.bisect_left(BUCKETS_S, value)] += 1
        self._duration_sums[key] += value

    async def serve(self, ip: str, port: int) -> None:
        """Start an HTTP server that answers every request with the metrics.

        :raises OSError: the address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._handle_scrape, ip, port
        )

    def close(self) -> None:
        """Stop the HTTP server."""
        if self._server is not None:
            self._server.close()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; called by the registry."""
        from prometheus_client import core

        counts = core.CounterMetricFamily(
            'wagtailhollow_decisions',
            'Decisions by event and result.',
            labels=('event', 'result'),
        )
        for labels, count in self._decision_counts.items():
            counts.add_metric(labels, count)
        yield counts
        durations = core.HistogramMetricFamily(
            'wagtailhollow_decision_seconds',
            'Durations named in decisions, by event and name.',
            labels=('event', 'name'),
        )
        bounds = (*map(str, BUCKETS_S), '+Inf')
        for labels, buckets in self._bucket_counts.items():
            total = 0
            rows = []
            for bound, count in zip(bounds, buckets, strict=True):
                total += count
                rows.append((bound, total))
            durations.add_metric(labels, rows, self._duration_sums[labels])
        yield durations

    async def _handle_scrape(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(SCRAPE_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
                body = self.render()
                writer.write(
                    b'HTTP/1.1 200 OK\r\n'
                    b'content-type: text/plain; version=0.0.4\r\n'
                    b'connection: close\r\n'
                    b'content-length: %d\r\n\r\n%s' % (len(body), body)
                )
                await writer.drain()
        except (
            TimeoutError,
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            # The scraper will retry.
            return
        finally:
            writer.close()
