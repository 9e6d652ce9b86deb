"""Compare-and-swap edits with races, lost answers and outages."""

from __future__ import annotations

import asyncio

import pytest

from wagtailhollow.internal.store import api
from wagtailhollow.internal.table import edits, model

FAILURE = edits.EditFailure


class Store:
    """Object store in memory; hooks run before and after each write."""

    def __init__(self, rows=None):
        self.version = 1
        self.value = {'rows': rows or {}, 'recent_changes': []}
        self.puts = 0
        self.before_put = []
        self.after_put = []
        self.is_down = False

    async def get(self, key, known_version=None):
        if self.is_down:
            raise api.PlatformUnavailable('down')
        return api.StoredObject(key, self.version, self.value)

    async def put(self, key, value, expected):
        self.puts += 1
        if self.before_put:
            self.before_put.pop(0)()
        if expected != self.version:
            raise api.Conflict(key)
        self.version += 1
        self.value = value
        if self.after_put:
            self.after_put.pop(0)()
        return api.StoredObject(key, self.version, value)

    def edit(self, rows, change_id='other'):
        """Apply an edit of another operator."""
        self.version += 1
        changes = [*self.value['recent_changes'], change_id]
        self.value = {
            'rows': {**self.value['rows'], **rows},
            'recent_changes': changes,
        }


def lose_answer():
    raise api.PlatformUnavailable('answer lost')


def apply(store, changes, timeout_s=2.0, seen=None):
    edit = edits.make_edit(
        store.value['rows'] if seen is None else seen, changes
    )
    return asyncio.run(edits.apply(store, edit, timeout_s))


def test_edit_is_reapplied_to_a_version_with_other_rows_changed():
    """Guards against overwriting concurrent edits of other rows."""
    store = Store({'target/a': {'weight': 1}})
    store.before_put.append(lambda: store.edit({'target/b': {'weight': 5}}))
    assert apply(store, {'target/a': {'weight': 2}}).is_ok()
    rows = store.value['rows']
    assert rows['target/a']['weight'] == 2
    assert rows['target/b'] == {'weight': 5}


def test_concurrent_edit_of_the_same_row_is_reported_as_a_conflict():
    """Guards against overwriting another operator's edit of the same row."""
    store = Store({'target/a': {'weight': 1}})
    store.before_put.append(lambda: store.edit({'target/a': {'weight': 9}}))
    error = apply(store, {'target/a': {'weight': 2}}).error
    assert error.failure is FAILURE.CONFLICT
    assert error.conflicts == (
        edits.RowConflict('target/a', {'weight': 9}, {'weight': 2}),
    )
    assert store.value['rows']['target/a'] == {'weight': 9}


def test_lost_answer_is_resolved_despite_a_later_edit():
    """Guards against reporting an edit as failed that took effect."""
    store = Store()

    def later_edit_and_loss():
        store.edit({'target/a': {'weight': 7}})
        lose_answer()

    store.after_put.append(later_edit_and_loss)
    result = apply(store, {'target/a': {'weight': 2}})
    assert result.is_ok() and store.puts == 1


def test_lost_write_is_resent_and_takes_effect_once():
    """Guards against giving up and against resending without a read."""
    store = Store()
    store.before_put.append(lose_answer)
    result = apply(store, {'target/a': {'weight': 2}})
    assert result.is_ok() and store.puts == 2
    assert store.value['recent_changes'].count(result.ok.change_id) == 1


def test_outage_after_the_write_leaves_the_edit_unsettled():
    """Guards against reporting an edit as failed that may take effect."""
    store = Store()

    def outage():
        store.is_down = True
        lose_answer()

    store.before_put.append(outage)
    error = apply(store, {'target/a': {'weight': 2}}, 0.3).error
    assert error.failure is FAILURE.UNSETTLED and store.puts == 1


def test_outage_before_the_write_is_reported_as_unavailable():
    """Guards against reporting an edit as unsettled that was never sent."""
    store = Store()
    store.is_down = True
    error = apply(store, {'target/a': {'weight': 2}}, 0.3).error
    assert error.failure is FAILURE.UNAVAILABLE and store.puts == 0


def test_table_above_the_size_limit_is_refused():
    """Guards against a table too large for the platform or for edits."""
    hashes = [f'{number:064x}' for number in range(14_500)]
    store = Store()
    error = apply(store, {'organisation/a': {'key_hashes': hashes}}).error
    assert error.failure is FAILURE.TOO_LARGE and store.puts == 0
    assert str(edits.SIZE_LIMIT_BYTES) in error.message


def test_edit_that_repeats_the_values_of_a_row_still_changes_the_row():
    """Guards against a direct withdrawal that no edit can end."""
    store = Store()
    for _ in range(2):
        assert apply(store, {'target/a': {'state': 'in_service'}}).is_ok()
        change_id = store.value['rows']['target/a'][model.CHANGE_ID_COLUMN]
        assert change_id == store.value['recent_changes'][-1]


@pytest.mark.parametrize('seed', range(5))
def test_concurrent_editors_lose_no_accepted_edit(seed):
    """Guards against accepted edits that a concurrent edit overwrites."""
    store = Store()
    store.after_put += [lose_answer] * seed

    async def editor(name):
        for number in range(1, 5):
            rows = store.value['rows']
            changes = {f'organisation/{name}': {'weight': number}}
            edit = edits.make_edit(rows, changes)
            assert (await edits.apply(store, edit, 10)).is_ok()

    async def race():
        await asyncio.gather(*map(editor, 'abc'))

    asyncio.run(race())
    weights = [store.value['rows'][f'organisation/{x}'] for x in 'abc']
    assert weights == [{'weight': 4}] * 3
