"""Shared fixtures, and the deselection of known failures."""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import Awaitable, Callable

import pytest

from standins import deployment

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROOFS_FILE = ROOT / 'build' / 'proofs.jsonl'
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'


@pytest.fixture
def run_deployment():
    """Return a function that runs a scenario against a new deployment."""

    def run(
        scenario: Callable[[deployment.Deployment], Awaitable[None]],
        shape: deployment.Shape,
    ) -> None:
        async def run_scenario() -> None:
            async with deployment.Deployment(shape) as cluster:
                await scenario(cluster)

        asyncio.run(run_scenario())

    return run


@pytest.fixture
def record_proof(request):
    """Return a function that records the measurements of one proof.

    Call ``record(guarantee, failures, seed, worst)`` with the id from the
    design page (``P1`` to ``P10``), the failures injected, the seed (0 if
    there is none) and the worst measurement as text with its unit. The verdict
    is the result of the test. ``make prove`` prints the records as a table.
    """
    records = []

    def record(
        guarantee: str, failures: str, seed: int = 0, worst: str = ''
    ) -> None:
        records.append(
            {
                'guarantee': guarantee,
                'test': request.node.nodeid,
                'failures': failures,
                'seed': seed,
                'worst': worst,
            }
        )

    yield record
    report = getattr(request.node, 'call_report', None)
    verdict = 'pass' if report is not None and report.passed else 'FAIL'
    PROOFS_FILE.parent.mkdir(exist_ok=True)
    with PROOFS_FILE.open('a') as file:
        for row in records:
            file.write(json.dumps({**row, 'verdict': verdict}) + '\n')


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    if call.when == 'call':
        item.call_report = outcome.get_result()


def known_failures() -> set[str]:
    """Return the node ids in KNOWN-RED.txt (lines ``test: <node id>``)."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(config, items):
    known = known_failures()
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=deselected)
        config.known_failures = [item.nodeid for item in deselected]


def pytest_terminal_summary(terminalreporter, config):
    for node_id in getattr(config, 'known_failures', []):
        terminalreporter.write_line(f'deselected (KNOWN-RED.txt): {node_id}')
