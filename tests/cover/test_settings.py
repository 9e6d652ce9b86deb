"""Settings files: valid examples load, invalid contents give one error."""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib
import tempfile

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailhollow.internal.settings import loader, schema

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = {
    'entry.json': schema.EntrySettings,
    'agent.json': schema.AgentSettings,
    'operator.json': schema.OperatorSettings,
    'burn.json': schema.BurnSettings,
}
PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['127.0.0.1:80', 'host:²', 'http://a', 'info']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def load_text(text, cls):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(text, encoding='utf-8')
        return loader.load(str(path), cls)


def example(name):
    return loader.json5.loads((ROOT / 'etc' / name).read_text())


@functools.cache
def _required_keys(name):
    document = example(name)
    return {
        field.name: document[field.name]
        for field in dataclasses.fields(EXAMPLES[name])
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    }


def required_keys(name):
    """Return the required keys only, as parsing JSON with comments is slow."""
    return dict(_required_keys(name))


@pytest.mark.parametrize('name', sorted(EXAMPLES))
def test_example_settings_are_valid(name):
    """Guards against an invalid example file."""
    result = loader.load(str(ROOT / 'etc' / name), EXAMPLES[name])
    assert result.is_ok(), str(result.error)


@pytest.mark.parametrize('cls', EXAMPLES.values())
def test_defaults_pass_their_own_checks(cls):
    """Guards against a default that would be refused in a settings file."""
    for field in dataclasses.fields(cls):
        if field.default not in (dataclasses.MISSING, None):
            assert field.metadata['check'](field.default), field.name


@pytest.mark.parametrize('name', sorted(EXAMPLES))
@PROPERTY_SETTINGS
@hypothesis.given(data=st.data())
def test_any_value_is_accepted_or_refused_with_its_key(name, data):
    """Guards against tracebacks and errors that do not name the key."""
    cls = EXAMPLES[name]
    document = required_keys(name)
    key = data.draw(
        st.sampled_from([field.name for field in dataclasses.fields(cls)])
    )
    document[key] = data.draw(values)
    result = load_text(json.dumps(document), cls)
    if result.is_error():
        assert result.error.key.startswith(key)
        assert result.error.got and result.error.allowed
        assert 'settings.json' in str(result.error)


@PROPERTY_SETTINGS
@hypothesis.given(document=values)
def test_any_invalid_document_gives_an_error(document):
    """Guards against tracebacks on a document of the wrong type or shape."""
    result = load_text(json.dumps(document), schema.EntrySettings)
    assert result.is_error()


@pytest.mark.parametrize(
    ('changes', 'key'),
    [
        ({'nod': 'x'}, 'nod'),
        ({'request_limits': {'max_body': 1}}, 'request_limits.max_body'),
        ({'listen_http': 'host:99999'}, 'listen_http'),
        ({'drain_timeout_s': True}, 'drain_timeout_s'),
        ({'seed_peers': ['10.0.0.1']}, 'seed_peers'),
        ({'node': 'főváros'}, 'node'),
    ],
)
def test_error_names_the_invalid_key(changes, key):
    """Guards against settings that are silently ignored or misread."""
    document = {**example('entry.json'), **changes}
    result = load_text(json.dumps(document), schema.EntrySettings)
    assert result.is_error() and result.error.key == key


@pytest.mark.parametrize(
    ('changes', 'key'),
    [
        ({'ramp': {'initial_cap': 9, 'max_cap': 3}}, 'ramp.initial_cap'),
        ({'group': 'g', 'rank': None}, 'rank'),
    ],
)
def test_contradicting_values_are_refused(changes, key):
    """Guards against accepting values that are only valid individually."""
    document = {**example('agent.json'), **changes}
    result = load_text(json.dumps(document), schema.AgentSettings)
    assert result.is_error() and result.error.key == key
