"""The table of error kinds, its documentation page, uncertain answers."""

from __future__ import annotations

import pathlib

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailhollow import errors

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'errors.md'
KINDS = st.sampled_from(list(errors.ErrorKind))


def _rows_of_page():
    cells = [
        [cell.strip(' `') for cell in line.split('|')[1:-1]]
        for line in PAGE.read_text().splitlines()
        if line.startswith('| `')
    ]
    return {row[0]: tuple(row[1:4]) for row in cells}


def test_page_matches_the_table_of_kinds():
    """Guards against a page that contradicts the answers of the code."""
    assert _rows_of_page() == {
        kind.name: (
            str(answer.status),
            answer.execution.value.replace('_', ' '),
            answer.retry.value.replace('_', ' '),
        )
        for kind, answer in errors.ANSWERS.items()
    }


def test_every_kind_has_an_error_status():
    """Guards against a kind without an answer or with a success status."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)
    assert all(400 <= row.status < 600 for row in errors.ANSWERS.values())


@settings(derandomize=True, deadline=None)
@given(KINDS)
def test_uncertain_answer_never_says_not_run(kind):
    """Guards against "not run" if an earlier step may have run the call."""
    answer = errors.ANSWERS[kind]
    uncertain = answer.uncertain()
    assert uncertain.execution is not errors.Execution.NOT_RUN
    assert uncertain.status == answer.status
    assert uncertain.uncertain() == uncertain


@settings(derandomize=True, deadline=None)
@given(st.none() | st.text(max_size=30) | KINDS.map(lambda k: k.value))
def test_unknown_kind_from_a_peer_may_have_run(name):
    """Guards against "not run" for an unknown kind from a newer peer."""
    kind = errors.kind_from_wire(name)
    if name != kind.value:
        execution = errors.ANSWERS[kind].execution
        assert execution is errors.Execution.MAY_HAVE_RUN
