"""Metrics of the platform's processes, and the page that lists them."""

import pathlib
import re
import tomllib

from hyssopring.jobs.job_metrics import JobMetrics
from hyssopring.logs import Event
from hyssopring.metrics import Metrics
from hyssopring.platform.metrics import METRICS_PATH
from hyssopring.platform.settings import METRICS_PORT

GAUGES = {
    'shards_owned',
    'jobs_live',
    'lasting_tasks_waiting',
    'groups_limited',
    'learned_pairs',
    'learned_run_times',
    'copies_running',
    'workers_slow',
    'agents_connected',
    'requests_open',
    'configuration_version',
    'zones_evacuated',
    'attempts_running',
    'worker_silent_ms',
    'entries_connected',
    'agent_settled',
    'process_cpu_seconds',
    'process_resident_bytes',
    'store_calls_total',
    'store_call_ms',
    'messages_sent_total',
    'messages_received_total',
    'link_sent_bytes_total',
    'link_received_bytes_total',
    'request_bytes',
    'request_bodies_refused_total',
    'client_connections',
    'client_connections_closed_total',
}


def metrics_of_all_events():
    metrics = Metrics()
    job_metrics = JobMetrics(metrics)
    for event in Event:
        job_metrics.record_event(
            event,
            {'state': 'completed', 'age_ms': 9, 'due_ms': 5, 'how': 'done'},
        )
    job_metrics.record_event(Event.TASK_PLACED, {'report_age_ms': 7})
    job_metrics.record_event(Event.ADVICE_GIVEN, {'took_ms': 7})
    return metrics


def test_page_lists_exactly_the_exported_metrics():
    page = pathlib.Path('docs/METRICS.md').read_text()
    listed = {
        name
        for row in page.splitlines()
        if row.startswith('| `')
        for name in re.findall('`([a-z_]+)`', row.split('|')[1])
    }
    rendered = {
        re.match('hyssopring_([a-z_]+)', line)[1].removesuffix('_count')
        for line in metrics_of_all_events().render().splitlines()
    }
    assert listed == rendered | GAUGES


def test_events_are_counted_with_their_labels():
    metrics = metrics_of_all_events()
    assert metrics.counter('jobs_finished_total{state="completed"}') == 1
    assert metrics.counter('jobs_late_total') == 1
    assert metrics.counter('starts_ordered_total') == 2
    assert metrics.percentile('report_age', 50) >= 7


def test_deploy_file_has_the_port_and_path_of_the_metrics():
    text = pathlib.Path('deploy/system.toml').read_text()
    roles = tomllib.loads(text)['roles']
    for role in roles.values():
        assert role['metrics'] == f'{METRICS_PORT}/{METRICS_PATH}'
