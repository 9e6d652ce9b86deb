"""Checks that the committed generated code matches the IDL."""

from __future__ import annotations

import hashlib
import pathlib

from wagtailhollow.internal import wire

FOLDER = pathlib.Path(wire.__file__).parent


def test_generated_code_matches_the_idl():
    """Guards against a change of the IDL without `make thrift`."""
    idl = (FOLDER / 'wagtailhollow.thrift').read_bytes()
    recorded = (FOLDER / 'gen' / 'IDL_SHA256').read_text().strip()
    assert recorded == hashlib.sha256(idl).hexdigest(), (
        'the IDL has changed: run `make thrift` and commit gen/'
    )
