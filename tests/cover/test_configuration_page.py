"""docs/configuration.md documents every key as the code defines it."""

from __future__ import annotations

import pathlib

from wagtailhollow.internal.operators import outcome
from wagtailhollow.internal.settings import describe, schema
from wagtailhollow.internal.table import model

PAGE = pathlib.Path(__file__).resolve().parents[2] / 'docs/configuration.md'
SECTIONS = {
    'wagtailhollow-entry': schema.EntrySettings,
    'wagtailhollow-agent': schema.AgentSettings,
    'wagtailhollow-ctl': schema.OperatorSettings,
    'wagtailhollow-burn': schema.BurnSettings,
}


def page_row(key):
    default = f'`{key.default}`' if key.default else 'required'
    return f'| `{key.name}` | {key.type} | {default} | {key.allowed} |'


def rows_on_page(title):
    section = PAGE.read_text().split(f'\n## `{title}`', 1)[1]
    section = section.split('\n## ', 1)[0]
    return [line for line in section.splitlines() if line.startswith('| `')]


def test_page_matches_every_settings_key():
    """Guards against wrong keys, defaults or ranges on the page."""
    for title, cls in SECTIONS.items():
        expected = list(map(page_row, describe.settings_keys(cls)))
        assert rows_on_page(title) == expected, title


def test_page_matches_every_table_column():
    """Guards against wrong columns, defaults or ranges on the page."""
    for kind in model.ROW_TYPES:
        expected = list(map(page_row, describe.columns(kind)))
        assert rows_on_page(kind) == expected, kind


def test_page_lists_every_exit_code():
    """Guards against scripts that rely on outdated exit codes."""
    page = PAGE.read_text()
    for code in outcome.ExitCode:
        assert f'| {code.value} | {code.name} |' in page
