"""Tasks that crash their worker, on the project's own interface."""

from tests.test_tasks import counts, started_deployment, submit

STEP_MS = 20
WATCHED_MS = 180_000
MAX_STARTS = 5


def run_crashing(deployment, millis):
    """Run; each worker that runs a task crashes. Return the crash count."""
    crashes = 0
    for _step in range(millis // STEP_MS):
        deployment.run(STEP_MS)
        for node in deployment.workers:
            if node.worker.running():
                node.replace()
                crashes += 1
    return crashes


def test_job_fails_if_its_task_crashes_workers():
    """Guards against endless starts of a task that crashes workers."""
    deployment = started_deployment()
    submit(deployment, 1)
    assert run_crashing(deployment, WATCHED_MS) <= MAX_STARTS
    assert counts(deployment) == {'failed': 1}
