"""Takes jobs from operators and puts them into the table.

Any entry accepts a job: it writes ``jobs/<id>`` and a row in the inbox of
the job's shard, in one transaction. The shard's planner takes it from there.
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

__all__ = ('JobDesk',)

JobCallback = Callable[[Result[Mapping[str, Any], Failure]], None]


class JobDesk:
    """Submits, cancels and describes jobs."""

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationState,
        shards: int,
        fleet: Fleet | None = None,
    ) -> None:
        """Spread jobs over ``shards``; refuse what ``fleet`` can't hold."""
        self._fleet = fleet
        self._store = store
        self._configuration = configuration
        self._shards = shards

    def submit(self, submission: JobSubmission, done: JobCallback) -> None:
        """Accept a job; the same id twice is one job."""
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
        # With no agent connected nobody can tell; the job waits.
        misfit = agents and infeasibility_reason(policy, policy.size, agents)
        if misfit:
            done(Err(Failure(ErrorKind.IMPOSSIBLE, str(misfit))))
            return
        job = submission.job_id
        document = {
            'what': 'submit',
            'job': job,
            'service': service_name,
            'kind': policy.kind,
            'tasks': submission.tasks,
        }
        self._post(
            job,
            (Check(f'jobs/{job}', 0),),
            (
                Put(f'jobs/{job}', document),
                Put(f'{self._inbox(job)}/0-submit', document),
            ),
            done,
        )

    def cancel(self, job: str, done: JobCallback) -> None:
        """Cancel what has not ended; completed tasks stay completed."""
        self._post_for(job, {'what': 'cancel', 'job': job}, done)

    def cancel_task(self, task_id: str, done: JobCallback) -> None:
        """Cancel one task, ``<job>:<number>``, if it has not ended."""
        job, _, number = task_id.rpartition(':')
        if not job or not number.isdigit():
            detail = f'{task_id} is not a task: use JOB:NUMBER'
            done(Err(Failure(ErrorKind.INVALID, detail)))
            return
        document = {'what': 'cancel', 'job': job, 'task': task_id}
        self._post_for(job, document, done)

    def describe(self, job: str, done: JobCallback) -> None:
        """Count a job's tasks by state, from the table."""
        prefix = f'{chunk_prefix(shard_of(job, self._shards))}{job}/'
        described = partial(_described, job)
        self._if_known(
            job,
            done,
            partial(
                self._store.read,
                prefix,
                lambda answer: done(answer.map(described)),
            ),
        )

    def _post_for(
        self,
        job: str,
        document: Document,
        done: JobCallback,
    ) -> None:
        """Write an inbox row that sorts after the job's own.

        Each inbox row has its own key: deleting one that was read twice can
        never delete a later one unread.
        """
        key = f'{self._inbox(job)}/1-cancel-{uuid.uuid4().hex}'
        post = partial(self._post, job, (), (Put(key, document),), done)
        self._if_known(job, done, post)

    def _if_known(
        self,
        job: str,
        done: JobCallback,
        proceed: Callable[[], None],
    ) -> None:
        self._store.read(
            f'jobs/{job}',
            partial(_proceed_if_known, job, done, proceed),
        )

    def _inbox(self, job: str) -> str:
        return f'inbox/{shard_of(job, self._shards):04}/{job}'

    def _post(
        self,
        job: str,
        checks: tuple[Check, ...],
        puts: tuple[Put, ...],
        done: JobCallback,
    ) -> None:
        self._store.commit(
            Transaction(checks, puts),
            lambda answer: done(_posted(job, answer)),
        )


def _proceed_if_known(
    job: str,
    done: JobCallback,
    proceed: Callable[[], None],
    answer: Result[Sequence[Row], Failure],
) -> None:
    if answer.is_err():
        done(Err(answer.unwrap_err()))
    elif any(row.key == f'jobs/{job}' for row in answer.unwrap()):
        proceed()
    else:
        done(Err(Failure(ErrorKind.NOT_FOUND, f'no such job: {job}')))


def _posted(
    job: str,
    answer: Result[Committed | Conflict, Failure],
) -> Result[Mapping[str, Any], Failure]:
    if answer.is_err():
        return Err(answer.unwrap_err())
    if isinstance(answer.unwrap(), Conflict):
        return Err(Failure(ErrorKind.CONFLICT, f'job {job} exists'))
    return Ok({'job': job, 'accepted': True})


def _described(job: str, rows: Sequence[Row]) -> Mapping[str, Any]:
    count_by_state: dict[str, int] = {}
    for row in rows:
        for fields in row.document['tasks']:
            count_by_state[fields[0]] = count_by_state.get(fields[0], 0) + 1
    return {'job': job, 'tasks': count_by_state}
