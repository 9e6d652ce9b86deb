"""The report on the burn rates of the service-level objectives."""

from __future__ import annotations

import contextlib
import http.server
import json
import threading
import xml.etree.ElementTree

import pytest

from wagtailhollow.cli import burn
from wagtailhollow.internal.burn import objectives, output, samples, windows
from wagtailhollow.internal.observability import metrics

THRESHOLDS_S = {objectives.FIRST_TOKEN: 1.5, objectives.BETWEEN_TOKENS: 0.033}
ALLOWED = dict.fromkeys(objectives.NAMES, 0.05)
LABELS = samples.SeriesLabels('reports', 'council', 'dc-a')


def page(ok, within_bound, overloaded=0, cut=0, limited=0, bound='1.5'):
    labels = 'service="reports",organisation="council",data_centre="dc-a"'
    counts = {
        'ok': ok,
        'overloaded': overloaded,
        'answer_incomplete': cut,
        'limit_exceeded': limited,
    }
    lines = [
        f'wagtailhollow_calls_total{{{labels},result="{name}"}} {count}'
        for name, count in counts.items()
    ]
    first = 'wagtailhollow_first_token_seconds'
    return '\n'.join(
        [
            '# TYPE wagtailhollow_calls counter',
            *lines,
            f'# TYPE {first} histogram',
            f'{first}_bucket{{{labels},le="{bound}"}} {within_bound}',
            f'{first}_bucket{{{labels},le="+Inf"}} {ok}',
            f'{first}_count{{{labels}}} {ok}',
            f'{first}_sum{{{labels}}} 1',
            '',
        ]
    )


def sample(at_s, *args, source='http://a', **kwargs):
    return samples.parse(page(*args, **kwargs), source, at_s, THRESHOLDS_S)


def all_rows(history, now_s=1_000.0):
    rows = windows.report(history, now_s, 300, 3600, ALLOWED)
    return {row.objective: row for row in rows if row.scope == 'all'}


def test_burn_rate_is_bad_share_over_allowed_share():
    """Guards against rates not scaled by the error budget."""
    rows = all_rows([sample(900, 100, 100), sample(1_000, 200, 190)])
    assert rows['first_token'].short.rate == pytest.approx(2.0)
    assert rows['availability'].short.rate == 0
    assert rows['between_tokens'].short.rate is None


def test_refusals_are_classified_by_what_the_caller_knows():
    """Guards against refusals by a caller's own limit counted as failures."""
    rows = all_rows(
        [
            sample(900, 0, 0),
            sample(1_000, 90, 90, overloaded=6, cut=4, limited=1_000),
        ]
    )
    assert rows['availability'].short.total == 100
    assert rows['availability'].short.rate == pytest.approx(2.0)
    assert rows['truthful_refusals'].short.rate == pytest.approx(0.8)


def test_fault_outside_short_window_counts_only_in_long_window():
    """Guards against alerts on past faults and none on present ones."""
    history = [
        sample(0, 0, 0),
        sample(500, 100, 0),
        sample(700, 100, 0),
        sample(1_000, 200, 100),
    ]
    row = all_rows(history)['first_token']
    assert row.short.rate == 0
    assert row.long.rate == pytest.approx(10.0)
    assert not row.is_burning
    assert all_rows(history[:2], 500.0)['first_token'].is_burning


def test_counters_of_a_restarted_entry_start_at_zero():
    """Guards against negative increases and lost calls after a restart."""
    rows = all_rows(
        [
            sample(800, 100, 100),
            sample(900, 10, 5),
            sample(950, 30, 25),
            sample(900, 50, 50, source='http://b'),
            sample(1_000, 60, 60, source='http://b'),
        ]
    )
    assert rows['first_token'].short.total == 30 + 10
    assert rows['first_token'].short.good == 25 + 10


def test_daemon_metrics_contain_what_the_report_needs():
    """Guards against renamed metrics or labels and changed buckets."""
    assert 1.5 in metrics.FIRST_TOKEN_BUCKETS_S
    assert 0.033 in metrics.BETWEEN_TOKENS_BUCKETS_S
    import prometheus_client

    labels = ('burn-test', 'org', 'dc')
    metrics.calls.labels(*labels, 'ok').inc(3)
    metrics.first_token.labels(*labels).observe(1.4)
    metrics.between_tokens.labels(*labels).observe(0.5)
    text = prometheus_client.generate_latest().decode()
    counts = samples.parse(text, 'http://a', 0, THRESHOLDS_S).counts
    assert counts[samples.SeriesLabels(*labels)] == [1, 1, 0, 1, 3, 3, 3, 3]


def test_threshold_that_is_no_bucket_bound_is_refused():
    """Guards against a threshold by which no call ever counts as good."""
    with pytest.raises(samples.SourceError, match='upper bound of a bucket'):
        sample(0, 10, 10, bound='2.5')


def test_html_is_self_contained_and_escapes_names():
    """Guards against links to other hosts and against HTML injection."""
    scope = samples.SeriesLabels('<script>', 'council', 'dc-a')
    history = [
        samples.Sample(at_s, 'a', {scope: [at_s, 2 * at_s] * 4})
        for at_s in (100.0, 200.0, 300.0)
    ]
    rows = windows.report(history, 300.0, 300, 3600, ALLOWED)
    series = windows.burn_rate_series(history, 300, ALLOWED, 0.0, 10)
    text = output.as_html(rows, series, 300.0)
    assert '<script>' not in text and 'http' not in text
    svg = text[text.index('<svg') : text.index('</svg>') + 6]
    root = xml.etree.ElementTree.fromstring(svg)
    assert len(root.findall('polyline')) == len(objectives.NAMES)


@contextlib.contextmanager
def serve(pages):
    """Serve one of the pages per request, in order."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self.send_response(200)
            self.end_headers()
            self.wfile.write(pages.pop(0).encode())

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f'http://127.0.0.1:{server.server_port}/metrics'
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def settings_file(tmp_path, url, **more):
    document = {
        'sources': [url],
        'history_file': str(tmp_path / 'history.jsonl'),
        **more,
    }
    path = tmp_path / 'burn.json'
    path.write_text(json.dumps(document))
    return str(path)


def test_run_reports_the_calls_since_the_previous_run(tmp_path, capsys):
    """Guards against an exit code that contradicts the output."""
    with serve([page(0, 0), page(100, 50), 'not { metrics']) as url:
        path = settings_file(tmp_path, url)
        html = str(tmp_path / 'report.html')
        assert burn.main(['--settings', path]) == 0
        args = ['--settings', path, '--format', 'json', '--html', html]
        capsys.readouterr()
        assert burn.main(args) == burn.EXIT_BURNING
        document = json.loads(capsys.readouterr().out)
        assert burn.main(args) == 1
    row = next(
        row
        for row in document['rows']
        if (row['scope'], row['objective']) == ('service', 'first_token')
    )
    assert row['name'] == 'reports'
    assert row['short']['rate'] == pytest.approx(10.0)
    assert 'Service-level burn' in (tmp_path / 'report.html').read_text()
    assert 'Traceback' not in capsys.readouterr().err


@pytest.mark.parametrize(
    ('change', 'code', 'expected'),
    [
        ({}, 1, 'refused'),
        ({'sources': []}, 2, 'sources'),
        ({'unknown': 1}, 2, 'unknown'),
        ({'history_file': '/proc/none/history'}, 1, '/proc/none'),
    ],
)
def test_failure_prints_one_message_and_sets_exit_code(
    tmp_path, capsys, change, code, expected
):
    """Guards against tracebacks and against success without data."""
    pages = [page(0, 0)] if 'history_file' in change else []
    with serve(pages) as url:
        path = settings_file(
            tmp_path, url if pages else 'http://127.0.0.1:1/', **change
        )
        assert burn.main(['--settings', path]) == code
    message = capsys.readouterr().err
    assert expected in message.lower()
    assert message.startswith('error: ') and message.count('\n') == 1


def test_check_config_contacts_no_entry(tmp_path, capsys):
    """Guards against a settings check that needs running entries."""
    path = settings_file(tmp_path, 'http://127.0.0.1:1/')
    assert burn.main(['--settings', path, '--check-config']) == 0


def test_damaged_history_lines_are_dropped_and_reported(tmp_path, capsys):
    """Guards against a damaged line that makes all later runs fail."""
    with serve([page(0, 0), page(5, 5)]) as url:
        path = settings_file(tmp_path, url)
        history = tmp_path / 'history.jsonl'
        history.write_text('{"at_s": 1\n[]\n')
        assert burn.main(['--settings', path]) == 0
        assert '2 unreadable lines' in capsys.readouterr().err
        assert burn.main(['--settings', path]) == 0
        assert len(history.read_text().splitlines()) == 2
