"""Tests of reconciling a planner's tasks with an agent's complete report."""

import json

from support import SIZE, booking_deployment

from hyssopring.configuration import JobSubmission
from hyssopring.placement.records import TaskState
from hyssopring.protocol.messages import TaskReport, TaskStatus


def test_lost_start_is_detected_despite_an_ended_attempt():
    """The start of a second attempt is lost with its connection.

    On the new connection the agent still reports the stopped first attempt.
    If that report is applied to the second attempt, which no later report
    mentions, the job never ends.
    """
    deployment = booking_deployment(entries=1, agents=1)
    entry = deployment.entry()
    for key, document in (
        ('template/feed', {'kind': 'batch', 'size': SIZE, 'run_ms': 1500.0}),
        ('parameters/trust/feed', {}),
    ):
        deployment.configure(key, json.dumps(document))
        deployment.run(300)
    entry.jobs.submit(
        JobSubmission(job_id='morning', team='trust', template='feed', tasks=1),
        lambda answer: None,
    )
    deployment.run(1200)
    (planned,) = entry.core.planner.tasks()
    task, held = planned.task, planned.plan.held
    assert task.state is TaskState.ASSIGNED
    stopped = TaskStatus(
        task.task_id, held.shard, held.epoch, task.attempt, 'stopped', '100'
    )
    task.attempt += 1
    record = entry.core.fleet.agent(task.agent_id)
    record.generation += 1
    entry.core.on_message(
        TaskReport((stopped,), True, held.shard, held.epoch, task.worker_boot),
        record,
    )
    assert task.state is TaskState.WAITING
