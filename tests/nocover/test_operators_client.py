"""wagtailhollow-ctl against running daemons, one process per command."""

from __future__ import annotations

import json

import pytest

from standins import deployment
from tests.prove import table_helpers
from wagtailhollow.cli import ctl as ctl_module

SHAPE = deployment.Shape(
    data_centres=('dc-a', 'dc-b'), entries=1, engines=1, plain=0
)


def test_concurrent_edits_with_table_files_are_not_lost(
    run_deployment,
):
    """Guards against an apply that overwrites rows of another operator."""

    async def scenario(cluster):
        path = cluster.folder / 'table.json'

        async def ctl(expected, *args):
            code, document = await table_helpers.ctl(cluster, *args)
            assert code == expected, (args, document)
            return document

        document = await ctl(0, 'show')
        document['rows']['organisation/council']['weight'] = 3
        del document['rows']['organisation/insurer']
        path.write_text(json.dumps(document))
        await ctl(0, 'set', 'data_centre/dc-b', 'weight=2')
        found = await ctl(0, 'diff', str(path))
        assert [item['row'] for item in found['differences']] == [
            'organisation/council',
            'organisation/insurer',
        ]
        await ctl(0, 'apply', str(path), '--wait')
        rows = (await ctl(0, 'show'))['rows']
        assert rows['organisation/council']['weight'] == 3
        assert rows['data_centre/dc-b']['weight'] == 2
        assert 'organisation/insurer' not in rows
        # The digests in the file now predate its own edit, so editing the
        # same row again is a conflict.
        document['rows']['organisation/council']['weight'] = 4
        path.write_text(json.dumps(document))
        error = (await ctl(3, 'apply', str(path)))['error']
        assert 'organisation/council' in error['conflicts'][0]
        document['rows']['data_centre/dc-b'] = {'state': 'gone'}
        path.write_text(json.dumps(document))
        error = (await ctl(2, 'validate', str(path)))['error']
        assert "state: got 'gone'; allowed: one of" in error['rows'][0]

    run_deployment(scenario, SHAPE)


def test_status_and_withdrawals_work_with_and_without_platform(
    run_deployment,
):
    """Guards against wrong statuses and withdrawals that need the platform."""

    async def scenario(cluster):
        async def ctl(expected, *args):
            code, document = await table_helpers.ctl(cluster, *args)
            assert code == expected, (args, document)
            return document

        target = 'target-agent-engine-dc-a-0'
        await ctl(2, 'withdraw', 'data_centre', 'dc-z')
        await ctl(0, 'withdraw', 'data_centre', 'dc-b', '--wait')
        targets = (await ctl(0, 'status', 'targets'))['targets']
        assert targets['target-agent-engine-dc-b-0']['state'] == 'withdrawn'
        assert targets[target]['state'] == 'in_service'
        nodes = (await ctl(0, 'status', 'nodes'))['nodes']
        assert nodes['entry-dc-a-0']['ready']
        limits = (await ctl(0, 'status', 'limits'))['limits']
        assert 'council' in limits
        assert (await ctl(0, 'status', 'groups')) == {'groups': {}}
        await cluster.kill('agent-engine-dc-b-0')
        error = (await ctl(6, 'wait', '2', '--timeout', '0.5'))['error']
        assert [line.split(':')[0] for line in error['nodes']] == [
            'agent-engine-dc-b-0'
        ]
        await cluster.faults('platform', down=True)
        await ctl(5, 'set', 'data_centre/dc-a', 'weight=2')
        entry = cluster.named('entry-')[0].peer_address
        await ctl(0, 'withdraw', 'target', target, '--direct', entry)
        targets = (await ctl(0, 'status', 'targets'))['targets']
        assert targets[target]['state'] == 'withdrawn'
        await cluster.faults('platform', down=False)
        await ctl(0, 'return', 'target', target)
        versions = (await ctl(0, 'status', 'versions'))['versions']
        assert versions['agent-engine-dc-a-0']['table'] == 3
        targets = (await ctl(0, 'status', 'targets'))['targets']
        assert targets[target]['state'] == 'in_service'

    run_deployment(scenario, SHAPE)


@pytest.mark.parametrize('option', ['--help', '--version'])
def test_help_and_version_exit_with_0(option, capsys):
    """Guards against a help text that cannot be formatted."""
    with pytest.raises(SystemExit) as exc:
        ctl_module.main([option])
    assert exc.value.code == 0
    assert 'wagtailhollow-ctl' in capsys.readouterr().out


def test_check_config_names_file_and_key(tmp_path, capsys):
    """Guards against tracebacks and success on invalid settings."""
    path = tmp_path / 'ctl.json'
    path.write_text('{"operator": ""}')
    assert ctl_module.main(['--settings', str(path), '--check-config']) == 2
    assert f'{path}: operator: got' in capsys.readouterr().err
