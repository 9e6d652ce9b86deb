"""Redaction of secrets in logs."""

from __future__ import annotations

import re

_SECRET = re.compile(
    r'(?i)(bearer\s+|"secret"\s*:\s*"?|api[_-]?key[=:]\s*)[^\s",}]+'
)


def redact(text: str) -> str:
    """Return *text* with API keys and deployment secrets redacted."""
    return _SECRET.sub(r'\1[redacted]', text)
