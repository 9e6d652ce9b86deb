"""Metrics of the daemons.

Label values are names from the table or from fixed lists, so their number is
limited. A value that callers can choose freely must not be a label.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import prometheus_client

# The latency objectives, 1.5 s and 33 ms, are bucket bounds, so that the share
# of calls within them is exact.
FIRST_TOKEN_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0,
)  # fmt: skip
BETWEEN_TOKENS_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.25, 1.0,
)  # fmt: skip

CALL_LABELS = ('service', 'organisation', 'data_centre')

calls = prometheus_client.Counter(
    'wagtailhollow_calls',
    'Calls answered by the entry, by result (ok or an error kind).',
    (*CALL_LABELS, 'result'),
)
first_token = prometheus_client.Histogram(
    'wagtailhollow_first_token_seconds',
    'Time from the arrival of a call to its first answer byte.',
    CALL_LABELS,
    buckets=FIRST_TOKEN_BUCKETS_S,
)
between_tokens = prometheus_client.Histogram(
    'wagtailhollow_between_tokens_seconds',
    'Mean time between the tokens of one streamed answer.',
    CALL_LABELS,
    buckets=BETWEEN_TOKENS_BUCKETS_S,
)
attempts = prometheus_client.Counter(
    'wagtailhollow_attempts',
    'Dispatches to agents, by result (accepted or an error kind).',
    ('service', 'result'),
)
resumed_streams = prometheus_client.Counter(
    'wagtailhollow_resumed_streams',
    'Streams resumed after a lost connection.',
    ('service',),
)
document_version = prometheus_client.Gauge(
    'wagtailhollow_document_version',
    'Version in force of each replicated document.',
    ('document',),
)
document_checked = prometheus_client.Gauge(
    'wagtailhollow_document_checked_timestamp_seconds',
    'Unix time at which the document was last known to be current.',
    ('document',),
)
platform_calls = prometheus_client.Counter(
    'wagtailhollow_platform_calls',
    'Calls to the platform, by operation and result.',
    ('operation', 'result'),
)
target_cap = prometheus_client.Gauge(
    'wagtailhollow_target_cap', 'Concurrency cap of the target.'
)
target_running = prometheus_client.Gauge(
    'wagtailhollow_target_running', 'Calls running at the target.'
)
target_cold_resets = prometheus_client.Counter(
    'wagtailhollow_target_cold_resets',
    'Resets of the cap because the target turned cold.',
)
gate_refusals = prometheus_client.Counter(
    'wagtailhollow_gate_refusals',
    'Dispatches refused by the agent, by error kind.',
    ('kind',),
)
budget_used_share = prometheus_client.Gauge(
    'wagtailhollow_budget_used_share',
    'Share of the daily budget reserved, as known to its owner.',
    ('organisation',),
)
budget_warnings = prometheus_client.Counter(
    'wagtailhollow_budget_warnings',
    'Times an organisation passed 80% of its daily budget, by its owner.',
    ('organisation',),
)
block_messages = prometheus_client.Counter(
    'wagtailhollow_block_messages',
    'Messages of this entry to owners of limits: request or return.',
    ('message',),
)
waiting_calls = prometheus_client.Gauge(
    'wagtailhollow_waiting_calls',
    'Calls that wait for a target.',
    ('service',),
)
shortage_refusals = prometheus_client.Counter(
    'wagtailhollow_shortage_refusals',
    'Calls refused because calls that go first take all places.',
    ('service', 'level'),
)
ended_connections = prometheus_client.Counter(
    'wagtailhollow_ended_caller_connections',
    'Connections of callers that the entry has ended, by reason.',
    ('reason',),
)
unusable_input = prometheus_client.Counter(
    'wagtailhollow_unusable_input',
    'Objects of the store and answers of targets that were not used, by the '
    'event of the log.',
    ('event',),
)
claim_outcomes = prometheus_client.Counter(
    'wagtailhollow_claim_outcomes',
    'Claimed calls by outcome: done, not_run, unknown, in_progress.',
    ('service', 'outcome'),
)
peer_bytes = prometheus_client.Counter(
    'wagtailhollow_peer_control_bytes',
    'Bytes of control messages, by direction.',
    ('direction',),
)

UNUSABLE_INPUT_EVENTS = frozenset(
    {'answer_unusable', 'object_unreadable', 'target_of_unknown_service'}
)


def count_unusable_input(event: str, fields: Mapping[str, Any]) -> None:
    """Count a decision not to use what another program sent."""
    if event in UNUSABLE_INPUT_EVENTS:
        unusable_input.labels(event).inc()
