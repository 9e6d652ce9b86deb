"""Decodes the operators' manifest ``config/main`` and zone evacuations."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..directory import model

KIND = 'config'
WITHDRAWALS_KIND = 'evacuations'
_MANIFEST_NAME = 'main'

MAX_OBJECT_BYTES = 2 * 1024 * 1024
"""Twice what the store takes for an object."""

_MS_PER_S = 1000.0
_CALL_KINDS = {
    'safe': model.CallKind.IDEMPOTENT,
    'unsafe': model.CallKind.ONCE,
    'streaming': model.CallKind.STREAM,
}


def decode(
    name: str, revision: int, spec: Mapping[str, Any]
) -> model.Manifest | None:
    """Return the manifest, or None if the object has another name."""
    if name != _MANIFEST_NAME:
        return None
    return model.Manifest(
        version=spec['version'],
        revision=revision,
        routes=tuple(map(_decode_route, spec['routes'])),
        services={
            row['name']: _decode_service(row) for row in spec['services']
        },
        limits=_decode_limits(spec.get('limits') or {}),
        organisations=(
            _decode_organisations(spec['tenants'])
            if 'tenants' in spec
            else None
        ),
    )


def decode_withdrawal(name: str, revision: int, spec: Any) -> bool:
    """Return True: the existence of the object withdraws the zone."""
    return True


def _decode_route(row: Mapping[str, Any]) -> model.Route:
    shares = row.get('traffic_split') or [
        {'service': row['service'], 'weight': 1}
    ]
    return model.Route(
        name=row['name'],
        host=row['host'],
        prefix=row['path_prefix'],
        kind=_CALL_KINDS[row['kind']],
        shares=tuple(
            model.ServiceShare(share['service'], float(share['weight']))
            for share in shares
        ),
        timeout_s=row['timeout_ms'] / _MS_PER_S,
        objective_s=row.get('target_latency_ms', row['timeout_ms'])
        / _MS_PER_S,
        gap_s=(row.get('target_gap_ms') or 0) / _MS_PER_S,
        priority=row.get('priority', 0),
        max_attempts=max(1, row.get('max_attempts') or 1),
        is_public=bool(row.get('public')),
        is_resumable=bool(row.get('resumable')),
        regions=tuple(row.get('allowed_regions') or ()),
    )


def _decode_service(row: Mapping[str, Any]) -> model.Service:
    engine = row.get('engine')
    return model.Service(
        name=row['name'],
        health_path=row.get('health_path', '/'),
        max_connections=row.get('max_conns') or 0,
        cold_s=row.get('cold_start_s') or 0.0,
        cold_requests_per_s=row.get('cold_per_s') or 0.0,
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(row: Mapping[str, Any]) -> model.EngineModel:
    usual = row.get('usual') or {}
    return model.EngineModel(
        slots=row['slots'],
        step_s=row['step_ms'] / _MS_PER_S,
        per_sequence_s=row['per_seq_ms'] / _MS_PER_S,
        # Given in milliseconds per 1,000 tokens of context.
        per_context_token_s=row['context_per_k'] / _MS_PER_S / 1000,
        prefill_tokens_per_s=row['read_per_s'],
        kv_capacity_tokens=row['kv_capacity'],
        stride=row.get('stride') or 1,
        usual_prompt_tokens=usual.get('prompt') or 0.0,
        usual_answer_tokens=usual.get('answer') or 0.0,
        experts=_decode_experts(row) if row.get('sets') else None,
    )


def _decode_experts(row: Mapping[str, Any]) -> model.ExpertLayout:
    # ``sets`` is the number of layer sets; ``experts`` and ``places`` are the
    # number of experts and of a rank's places in each set.
    return model.ExpertLayout(
        layers=row['sets'],
        experts=row['experts'],
        places=row['places'],
        spare=row['spare'],
        load_s=row['expert_mb'] * 8 / row['link_mbps'],
        share=row['expert_share'],
    )


def _decode_limits(row: Mapping[str, Any]) -> model.CallerLimits:
    return model.CallerLimits(
        max_header_bytes=row['max_header_bytes'],
        max_body_bytes=row['max_body_bytes'],
        header_timeout_s=row['header_timeout_ms'] / _MS_PER_S,
        idle_timeout_s=row['idle_timeout_ms'] / _MS_PER_S,
    )


def _decode_organisations(
    rows: list[Mapping[str, Any]],
) -> dict[str, model.Organisation]:
    by_key = {}
    for row in rows:
        organisation = model.Organisation(
            row['name'],
            row.get('priority'),
            tuple(row.get('allowed_regions') or ()),
        )
        by_key |= dict.fromkeys(row['api_keys'], organisation)
    return by_key
