"""The error table, its page for callers, and the weaker answer."""

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


def test_the_page_lists_every_kind_as_the_table_has_it():
    """Guards against a page that promises callers something else."""
    assert _rows_of_page() == {
        kind.name: (
            str(answer.status),
            answer.execution.value.replace('_', ' '),
            answer.retry.value.replace('_', ' '),
        )
        for kind, answer in errors.ANSWERS.items()
    }


def test_every_kind_has_an_answer_with_an_error_status():
    """Guards against a kind that is answered as a success or not at all."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)
    assert all(400 <= row.status < 600 for row in errors.ANSWERS.values())


@settings(derandomize=True, deadline=None)
@given(KINDS)
def test_the_weaker_answer_never_says_not_run(kind):
    """Guards against "not run" for a call that an attempt may have run."""
    answer = errors.ANSWERS[kind]
    weaker = answer.uncertain()
    assert weaker.execution is not errors.Execution.NOT_RUN
    assert weaker.status == answer.status
    assert weaker.uncertain() == weaker


@settings(derandomize=True, deadline=None)
@given(st.none() | st.text(max_size=30) | KINDS.map(lambda k: k.value))
def test_a_kind_from_a_peer_is_read_or_taken_as_may_have_run(name):
    """Guards against an unknown kind of a newer peer read as "not run"."""
    kind = errors.kind_from_wire(name)
    if name != kind.value:
        execution = errors.ANSWERS[kind].execution
        assert execution is errors.Execution.MAY_HAVE_RUN
