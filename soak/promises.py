"""Invariants of the whole deployment, checked at each event.

Unlike any process, the checks observe each run on each backend server, each
start on each worker, each row of the table and each caller's response.
"""

from collections import Counter, deque

from hyssopring.configuration import ConfigurationState
from hyssopring.errors import RunState
from hyssopring.placement.records import Chunk, TaskState

__all__ = ('Promises', 'Violation')

_FINAL = (TaskState.COMPLETED, TaskState.FAILED, TaskState.CANCELLED)
_LEAVING_MS = 3000.0
_ANSWER_SLACK_MS = 100.0
_TRACE_LINES = 60


class Violation(AssertionError):
    """A promise was broken, which ends the run."""

    def __init__(self, promise, subject):
        super().__init__(f'{promise}: {subject}')
        self.promise = promise


class Submission:
    """A request of a caller, with its runs and its response."""

    def __init__(self, body, service, key, entry, deadline, is_resubmission):
        self.body = body
        self.service = service
        self.key = key
        self.entry = entry
        self.deadline = deadline
        self.answer = None
        self.runs = 0
        self.kind = (
            'idempotent'
            if service == 'viva/lookup'
            else 'resubmitted'
            if is_resubmission
            else 'keyed'
            if key
            else 'non-idempotent'
        )


class Promises:
    """Checks promises and counts the checks.

    Attributes:
        go_on: Promises whose violations are counted and don't end the run.
        broken: Violations by promise.
        checks: Checks by promise.
        trace: The last events, as lines.
    """

    def __init__(self, loop, go_on=()):
        self.loop = loop
        self.go_on = go_on
        self.broken = Counter()
        self.checks = Counter()
        self.trace = deque(maxlen=_TRACE_LINES)
        self.submission_by_body = {}
        self.submission_by_request = {}
        self.runs_by_key = Counter()
        self.task_by_id = {}
        self.version_by_process = {}
        self.accepted_by_version = {}
        self.outcomes = Counter()

    def note(self, line):
        """Add a line to the trace."""
        self.trace.append(f'{self.loop.now:10.1f} {line}')

    def check(self, is_kept, promise, subject):
        """Count a check.

        Raises:
            Violation: If it fails and its promise isn't in ``go_on``.
        """
        self.checks[promise] += 1
        if is_kept:
            return
        self.broken[promise] += 1
        self.note(f'VIOLATION {promise}: {subject}')
        if promise not in self.go_on:
            raise Violation(promise, subject)

    # Requests.

    def on_submit(self, request_id, submission):
        """Record a request of a caller."""
        self.submission_by_body[submission.body] = submission
        self.submission_by_request[request_id] = submission

    def on_run(self, backend, request):
        """Check the start of a request on a backend server."""
        submission = self.submission_by_body[request.body]
        submission.runs += 1
        self.note(f'run {request.body!r} as {request.request_id} on {backend}')
        if submission.kind != 'idempotent':
            self.check(
                submission.runs == 1,
                'a non-idempotent request runs at most once',
                request.body,
            )
        if submission.key:
            self.runs_by_key[submission.key] += 1
            self.check(
                self.runs_by_key[submission.key] == 1,
                'a non-idempotent key runs at most once',
                submission.key,
            )
        self._check_not_run(submission)
        left_at = backend.left_at
        self.check(
            left_at is None or self.loop.now <= left_at + _LEAVING_MS,
            'a leaving backend gets nothing new after 3 s',
            f'{backend} {request.body!r}',
        )
        return submission

    def on_answer(self, request_id, answer):
        """Check the response to a caller."""
        submission = self.submission_by_request.get(request_id)
        self.check(
            submission is not None and submission.answer is None,
            'one answer per caller',
            request_id,
        )
        submission.answer = answer
        kind = answer.failure.kind.value if answer.failure else 'answered'
        self.outcomes[submission.kind, kind] += 1
        self.note(f'answer {submission.body!r} {kind}')
        self._check_not_run(submission)
        if answer.failure is None:
            self._check_body(submission, answer)

    def _check_not_run(self, submission):
        answer = submission.answer
        if answer is None or answer.failure is None:
            return
        run_state = answer.failure.answer.run_state
        self.check(
            run_state is not RunState.NOT_RUN or not submission.runs,
            'what is said not to have run did not run',
            f'{submission.body!r} {answer.failure}',
        )

    def _check_body(self, submission, answer):
        ran = answer.body.removeprefix(b'echo:')
        source = self.submission_by_body.get(ran)
        is_own = source is submission
        is_same_key = (
            source is not None
            and submission.key != ''
            and source.key == submission.key
        )
        self.check(
            answer.body.startswith(b'echo:') and (is_own or is_same_key),
            'each caller gets its own whole answer',
            f'{submission.body!r} got {answer.body!r}',
        )
        self.check(
            source is not None and source.runs > 0,
            'an answered request ran',
            submission.body,
        )

    # Tasks.

    def on_start(self, workers, worker, task):
        """Check the start of a task on a worker."""
        task_id = task['task_id']
        self.note(
            f'start {task_id} attempt {task["attempt"]} on {worker.name} '
            f'from {task["checkpoint"]!r}'
        )
        for other in workers:
            running = other.running()
            self.check(
                other is worker or task_id not in running,
                'no task runs in two places',
                f'{task_id} on {other.name} and {worker.name}',
            )
        self._check_capacity(worker)
        recorded = self.task_by_id.get(task_id)
        self.check(
            recorded is not None and recorded.state is not TaskState.COMPLETED,
            'no task runs after its recorded completion',
            task_id,
        )
        self.check(
            float(task['checkpoint'] or 0) >= float(recorded.checkpoint or 0),
            'work resumes from its recorded checkpoint',
            f'{task_id} {task["checkpoint"]} < {recorded.checkpoint}',
        )

    def _check_capacity(self, worker):
        sizes = [
            task['command']['command'].size
            for task in worker.running().values()
        ]
        sizes.extend(worker.backend_sizes())
        capacity = worker.capacity
        self.check(
            sum(size.cores for size in sizes) <= capacity.cores
            and sum(size.memory_gb for size in sizes) <= capacity.memory_gb
            and sum(size.accelerators for size in sizes)
            <= capacity.accelerators,
            'no VM is given more than it holds',
            worker.name,
        )

    def on_chunk(self, key, document):
        """Check a written row of tasks."""
        if document is None:
            return
        for task in _tasks_of(key, document):
            before = self.task_by_id.get(task.task_id)
            self.task_by_id[task.task_id] = task
            if before is None:
                continue
            self.check(
                before.state not in _FINAL or task.state is before.state,
                'a final state stays',
                f'{task.task_id} {before.state} -> {task.state}',
            )
            self.check(
                task.attempt >= before.attempt,
                'attempts only grow',
                task.task_id,
            )
            self.check(
                float(task.checkpoint or 0) >= float(before.checkpoint or 0),
                'recorded checkpoints only grow',
                f'{task.task_id} {before.checkpoint} -> {task.checkpoint}',
            )

    # Configuration.

    def on_accepted(self, entry, key, version, document):
        """Check the acceptance of an operator's change.

        An entry may accept several changes in one version; no other entry
        and no other change of the same item may get that version.
        """
        self.note(f'accepted {key} at {version}')
        accepted = self.accepted_by_version.setdefault(version, {})
        self.check(
            key not in accepted
            and all(other is entry for other, _ in accepted.values()),
            'each version is accepted once',
            f'{version}: {key}',
        )
        accepted[key] = (entry, document)

    def check_version(self, node):
        """Check that no incarnation of a process goes to an older version."""
        state = node.core.configuration
        before = self.version_by_process.get(node, 0)
        if state.version != before:
            self.check(
                state.version > before,
                'a configuration version never steps back',
                f'{node.name} {before} -> {state.version}',
            )
            self.version_by_process[node] = state.version

    def check_in_force(self, nodes, upto):
        """Check that all changes up to a version are in force everywhere."""
        newest_by_key = {}
        for version, accepted in sorted(self.accepted_by_version.items()):
            for key, (_, document) in accepted.items():
                if version <= upto:
                    newest_by_key[key] = (version, document)
        for node in nodes:
            state = node.core.configuration
            self.check(
                state.version >= upto,
                'an accepted change is in force within 3 s',
                f'{node.name} is at {state.version}, not {upto}',
            )
            for key, (version, document) in newest_by_key.items():
                found = _item(state, key)
                is_newer = found is not None and found.version > version
                self.check(
                    is_newer
                    or (
                        found is not None
                        and found.version == version
                        and found.document == document
                    )
                    or (found is None and not document),
                    'no accepted change is lost',
                    f'{node.name} {key} {version} found {found}',
                )


def _item(state: ConfigurationState, key):
    for item in state.items:
        if item.key == key:
            return item
    return None


def _tasks_of(key, document):
    from hyssopring.store.rows import Row

    return Chunk.from_row(0, Row(key, 1, '', document)).tasks
