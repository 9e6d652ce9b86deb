"""Calls whose route or organisation may be served in some regions only."""

from __future__ import annotations

import asyncio
import types

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from tests.cover.test_direct_targets import ROUTE
from tests.target_records import SERVICE, record
from wagtailhollow.internal.directory import follow, model, state
from wagtailhollow.internal.entry.direct import targets

REGIONS = {'dc-1': 'home', 'dc-2': 'other'}


def view_of(*data_centres):
    directory = state.Directory()
    manifest = model.Manifest(
        1, 1, (), {SERVICE: model.Service(SERVICE)}, model.CallerLimits(), None
    )
    directory.apply_manifest(follow.Update({'m': manifest}, 1, True, False))
    records = {
        f'i-{number}': record(number, data_centre=name)
        for number, name in enumerate(data_centres)
    }
    directory.apply_targets(follow.Update(records, 1, True, False))
    return targets.DirectTargets(directory, regions=REGIONS)


def call(*regions):
    return types.SimpleNamespace(
        service_name=SERVICE,
        is_late=False,
        route=ROUTE,
        regions=frozenset(regions) if regions else None,
    )


def chosen(view, call):
    return [item.target for item in view.candidates(call)]


def test_call_goes_to_its_regions_only():
    """Guards against data that leave the regions where they may be."""
    view = view_of('dc-1', 'dc-2', 'dc-1')
    assert chosen(view, call()) == ['i-0', 'i-1', 'i-2']
    assert chosen(view, call('home')) == ['i-0', 'i-2']
    assert chosen(view, call('home', 'other')) == ['i-0', 'i-1', 'i-2']
    assert not view.has_available_target(call('elsewhere'))


def test_data_centre_of_an_unknown_region_gets_no_bound_call():
    """Guards against a data centre that the settings do not name yet."""
    view = view_of('dc-9')
    assert chosen(view, call()) == ['i-0']
    assert chosen(view, call('home')) == []


@pytest.mark.parametrize(
    ('route', 'organisation', 'status'),
    [
        (['region-1'], [], 200),
        (['region-2'], [], 503),
        ([], ['region-2'], 503),
        (['region-1'], ['region-2'], 503),
        (['region-1', 'region-2'], ['region-1'], 200),
    ],
)
def test_route_and_organisation_both_bind(route, organisation, status):
    """Guards against a region that only one of the two allows."""

    async def scenario(site):
        document = direct_deployment.manifest(version=2)
        for row in document['routes']:
            row['allowed_regions'] = route
        document['tenants'][0]['allowed_regions'] = organisation
        site.store.put('config', 'main', document)
        async with asyncio.timeout(5):
            while site.entry._directory.manifest.version < 2:
                await asyncio.sleep(0.02)
        async with site.call('once', X_Deadline_Ms='600') as resp:
            assert resp.status == status
        expected = 1 if status == 200 else 0
        count = site.request_count(direct_deployment.PLAIN_SERVICE)
        assert count == expected

    run_scenario(scenario)
