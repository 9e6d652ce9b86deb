"""Decodes the operators' manifest, ``config/main``, and evacuations."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..directory import model

KIND = 'config'
WITHDRAWALS_KIND = 'evacuations'
_MANIFEST_NAME = 'main'

_MS = 1000.0
_KINDS = {
    'safe': model.CallKind.IDEMPOTENT,
    'unsafe': model.CallKind.ONCE,
    'streaming': model.CallKind.STREAM,
}


def decode(
    name: str, revision: int, spec: Mapping[str, Any]
) -> model.Manifest | None:
    """Return the manifest, None for another object of its kind."""
    if name != _MANIFEST_NAME:
        return None
    return model.Manifest(
        version=spec['version'],
        revision=revision,
        routes=tuple(map(_route, spec['routes'])),
        services={row['name']: _service(row) for row in spec['services']},
        limits=_limits(spec.get('limits') or {}),
        organisations=(
            _organisations(spec['tenants']) if 'tenants' in spec else None
        ),
    )


def decode_withdrawal(name: str, revision: int, spec: Any) -> bool:
    """Return True: the object alone says that the zone is withdrawn."""
    return True


def _route(row: Mapping[str, Any]) -> model.Route:
    shares = row.get('traffic_split') or [
        {'service': row['service'], 'weight': 1}
    ]
    return model.Route(
        name=row['name'],
        host=row['host'],
        prefix=row['path_prefix'],
        kind=_KINDS[row['kind']],
        shares=tuple(
            model.ServiceShare(share['service'], float(share['weight']))
            for share in shares
        ),
        timeout_s=row['timeout_ms'] / _MS,
        objective_s=row.get('target_latency_ms', row['timeout_ms']) / _MS,
        gap_s=(row.get('target_gap_ms') or 0) / _MS,
        priority=row.get('priority', 0),
        max_attempts=max(1, row.get('max_attempts') or 1),
        is_public=bool(row.get('public')),
        is_resumable=bool(row.get('resumable')),
        regions=tuple(row.get('allowed_regions') or ()),
    )


def _service(row: Mapping[str, Any]) -> model.Service:
    engine = row.get('engine')
    return model.Service(
        name=row['name'],
        health_path=row.get('health_path', '/'),
        max_connections=row.get('max_conns') or 0,
        cold_s=row.get('cold_start_s') or 0.0,
        cold_requests_per_s=row.get('cold_per_s') or 0.0,
        engine=_engine(engine) if engine else None,
    )


def _engine(row: Mapping[str, Any]) -> model.EngineModel:
    usual = row.get('usual') or {}
    return model.EngineModel(
        slots=row['slots'],
        step_s=row['step_ms'] / _MS,
        per_sequence_s=row['per_seq_ms'] / _MS,
        # Milliseconds for each 1,000 tokens of context.
        per_context_token_s=row['context_per_k'] / _MS / 1000,
        prefill_tokens_per_s=row['read_per_s'],
        kv_capacity_tokens=row['kv_capacity'],
        stride=row.get('stride') or 1,
        usual_prompt_tokens=usual.get('prompt') or 0.0,
        usual_answer_tokens=usual.get('answer') or 0.0,
        experts=_experts(row) if row.get('sets') else None,
    )


def _experts(row: Mapping[str, Any]) -> model.ExpertLayout:
    # ``sets`` are groups of layers, ``experts`` and ``places`` their sizes.
    return model.ExpertLayout(
        layers=row['sets'],
        experts=row['experts'],
        places=row['places'],
        spare=row['spare'],
        load_s=row['expert_mb'] * 8 / row['link_mbps'],
        share=row['expert_share'],
    )


def _limits(row: Mapping[str, Any]) -> model.CallerLimits:
    return model.CallerLimits(
        max_header_bytes=row['max_header_bytes'],
        max_body_bytes=row['max_body_bytes'],
        header_timeout_s=row['header_timeout_ms'] / _MS,
        idle_timeout_s=row['idle_timeout_ms'] / _MS,
    )


def _organisations(
    rows: list[Mapping[str, Any]],
) -> dict[str, model.Organisation]:
    found = {}
    for row in rows:
        organisation = model.Organisation(
            row['name'],
            row.get('priority'),
            tuple(row.get('allowed_regions') or ()),
        )
        found |= dict.fromkeys(row['api_keys'], organisation)
    return found
