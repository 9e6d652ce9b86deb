"""Validation of table rows."""

from __future__ import annotations

import dataclasses
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailhollow.internal.table import model, queries, validation

BOUNDED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(['in_service', 'model', 'GET', 'a' * 64]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
kinds = st.sampled_from(sorted(model.ROW_TYPES))


@st.composite
def rows(draw):
    kind = draw(kinds)
    columns = st.sampled_from(sorted(validation.RULES[kind]))
    name = draw(st.text(max_size=6) | st.just('x'))
    keys = columns | st.text(max_size=6)
    return f'{kind}/{name}', draw(
        st.dictionaries(keys, values, max_size=4) | values
    )


@BOUNDED
@hypothesis.given(rows())
def test_any_row_is_accepted_or_refused_with_a_complete_error(row):
    """Guards against exceptions and errors without a row or column."""
    key, columns = row
    problems = validation.check_row(key, columns)
    for problem in problems:
        assert problem.row == key and problem.got and problem.allowed
        assert str(problem).startswith(key)
    if not problems:
        cls = model.ROW_TYPES[key.partition('/')[0]]
        queries.parse_row(cls, columns)
        assert not validation.check_row(key, json.loads(json.dumps(columns)))


@pytest.mark.parametrize('kind', sorted(model.ROW_TYPES))
def test_every_column_has_a_rule_that_its_default_passes(kind):
    """Guards against columns that no edit can set."""
    row = model.ROW_TYPES[kind]()
    names = {field.name for field in dataclasses.fields(row)}
    assert names == set(validation.RULES[kind])
    for name in names:
        assert validation.RULES[kind][name].check(getattr(row, name)), name


@pytest.mark.parametrize(
    ('key', 'columns', 'message'),
    [
        (
            'data_centre/dc-a',
            {'state': 'out'},
            "data_centre/dc-a: state: got 'out'; allowed: one of "
            'in_service, withdrawn',
        ),
        (
            'target/t1',
            {'max_concurent': 3},
            'target/t1: max_concurent: got an unknown column; allowed: '
            'max_concurrent, state, weight',
        ),
        (
            'organisation/o',
            {'tokens_per_day': True},
            'organisation/o: tokens_per_day: got True; allowed: a whole '
            'number from 0 to 9007199254740991',
        ),
    ],
)
def test_message_contains_row_column_value_and_allowed_values(
    key, columns, message
):
    """Guards against messages that do not help to correct the row."""
    assert [str(x) for x in validation.check_row(key, columns)] == [message]


def test_integer_too_long_to_format_is_refused():
    """Guards against an exception while formatting the error message."""
    (problem,) = validation.check_row('target/t', {'weight': 10**5000})
    assert problem.got == 'a huge number'


def test_key_hash_in_two_organisations_is_refused():
    """Guards against an API key that identifies two organisations."""
    digest = 'a' * 64
    found = validation.check_uniqueness(
        {
            'organisation/a': {'key_hashes': [digest]},
            'organisation/b': {'key_hashes': [digest]},
        }
    )
    assert [(item.row, item.column) for item in found] == [
        ('organisation/b', 'key_hashes')
    ]
