"""Writes operators' jobs and cancellations to the table.

Any entry accepts a job: it writes ``jobs/<id>`` and a row in the inbox of
the job's shard, in one transaction. The planner of that shard reads the inbox.
"""

import uuid
from functools import partial
from typing import Any, Callable, Mapping, Sequence

from result import Err, Ok, Result

from hyssopring.configuration import (
    ConfigurationState,
    JobSubmission,
)
from hyssopring.errors import ErrorKind, Failure
from hyssopring.membership import Fleet
from hyssopring.placement import shard_of
from hyssopring.placement.worker_ranking import infeasibility_reason
from hyssopring.placement.records import chunk_prefix
from hyssopring.store import (
    Check,
    Committed,
    Conflict,
    Document,
    Put,
    Row,
    Store,
    Transaction,
)
from hyssopring.tasks import TaskKind

__all__ = ('JobTable',)

JobCallback = Callable[[Result[Mapping[str, Any], Failure]], None]


class JobTable:
    """Submits, cancels and describes jobs in the platform's table.

    Each method calls ``done`` once, with a JSON document or a failure.
    """

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationState,
        shards: int,
        fleet: Fleet | None = None,
    ) -> None:
        """Check jobs against the configuration and the connected agents.

        Args:
            store: The table service.
            configuration: The templates and their parameters.
            shards: Number of shards over which jobs are spread.
            fleet: The connected agents; a job whose tasks are too large for
                all of them is refused.
        """
        self._fleet = fleet
        self._store = store
        self._configuration = configuration
        self._shard_count = shards

    def submit(self, submission: JobSubmission, done: JobCallback) -> None:
        """Accept a job, unless its id exists already."""
        service_name = f'{submission.team}/{submission.template}'
        policy = self._configuration.policy(service_name)
        if not self._configuration.is_known:
            detail = 'no configuration yet'
            done(Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail)))
            return
        if policy is None or policy.kind != TaskKind.BATCH.value:
            detail = f'{service_name} is not a batch template with parameters'
            done(Err(Failure(ErrorKind.INVALID, detail)))
            return
        agents = self._fleet.agents if self._fleet else ()
        # Without connected agents feasibility is unknown; the job waits.
        reason = agents and infeasibility_reason(policy, policy.size, agents)
        if reason:
            done(Err(Failure(ErrorKind.IMPOSSIBLE, str(reason))))
            return
        job_id = submission.job_id
        document = {
            'what': 'submit',
            'job': job_id,
            'service': service_name,
            'kind': policy.kind,
            'tasks': submission.tasks,
        }
        self._commit(
            job_id,
            (Check(f'jobs/{job_id}', 0),),
            (
                Put(f'jobs/{job_id}', document),
                Put(f'{self._inbox(job_id)}/0-submit', document),
            ),
            done,
        )

    def cancel(self, job_id: str, done: JobCallback) -> None:
        """Cancel a job's unfinished tasks; completed ones stay completed."""
        self._write_cancellation(
            job_id, {'what': 'cancel', 'job': job_id}, done
        )

    def cancel_task(self, task_id: str, done: JobCallback) -> None:
        """Cancel one task, ``<job>:<number>``, unless it has ended."""
        job_id, _, number = task_id.rpartition(':')
        if not job_id or not number.isdigit():
            detail = f'{task_id} is not a task: use JOB:NUMBER'
            done(Err(Failure(ErrorKind.INVALID, detail)))
            return
        document = {'what': 'cancel', 'job': job_id, 'task': task_id}
        self._write_cancellation(job_id, document, done)

    def describe(self, job_id: str, done: JobCallback) -> None:
        """Count a job's tasks by state, from the table."""
        prefix = f'{chunk_prefix(shard_of(job_id, self._shard_count))}{job_id}/'
        count_tasks = partial(_count_tasks, job_id)
        self._check_job_exists(
            job_id,
            done,
            partial(
                self._store.read,
                prefix,
                lambda answer: done(answer.map(count_tasks)),
            ),
        )

    def _write_cancellation(
        self,
        job_id: str,
        document: Document,
        done: JobCallback,
    ) -> None:
        """Write an inbox row that sorts after the job's submission.

        Each inbox row has a unique key, so that deleting a row that was read
        twice never deletes a later row unread.
        """
        key = f'{self._inbox(job_id)}/1-cancel-{uuid.uuid4().hex}'
        write = partial(self._commit, job_id, (), (Put(key, document),), done)
        self._check_job_exists(job_id, done, write)

    def _check_job_exists(
        self,
        job_id: str,
        done: JobCallback,
        proceed: Callable[[], None],
    ) -> None:
        self._store.read(
            f'jobs/{job_id}',
            partial(_on_job_row, job_id, done, proceed),
        )

    def _inbox(self, job_id: str) -> str:
        return f'inbox/{shard_of(job_id, self._shard_count):04}/{job_id}'

    def _commit(
        self,
        job_id: str,
        checks: tuple[Check, ...],
        puts: tuple[Put, ...],
        done: JobCallback,
    ) -> None:
        self._store.commit(
            Transaction(checks, puts),
            lambda answer: done(_acceptance(job_id, answer)),
        )


def _on_job_row(
    job_id: str,
    done: JobCallback,
    proceed: Callable[[], None],
    answer: Result[Sequence[Row], Failure],
) -> None:
    if answer.is_err():
        done(Err(answer.unwrap_err()))
    elif any(row.key == f'jobs/{job_id}' for row in answer.unwrap()):
        proceed()
    else:
        done(Err(Failure(ErrorKind.NOT_FOUND, f'no such job: {job_id}')))


def _acceptance(
    job_id: str,
    answer: Result[Committed | Conflict, Failure],
) -> Result[Mapping[str, Any], Failure]:
    if answer.is_err():
        return Err(answer.unwrap_err())
    if isinstance(answer.unwrap(), Conflict):
        return Err(Failure(ErrorKind.CONFLICT, f'job {job_id} exists'))
    return Ok({'job': job_id, 'accepted': True})


def _count_tasks(job_id: str, rows: Sequence[Row]) -> Mapping[str, Any]:
    count_by_state: dict[str, int] = {}
    for row in rows:
        for fields in row.document['tasks']:
            count_by_state[fields[0]] = count_by_state.get(fields[0], 0) + 1
    return {'job': job_id, 'tasks': count_by_state}
