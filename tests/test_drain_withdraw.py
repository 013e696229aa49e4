"""Tests of draining a VM and withdrawing configuration items."""

import json

from support import SIZE, booking_deployment, kind_of

from hyssopring.configuration import JobSubmission

BATCH = {'kind': 'batch', 'size': SIZE, 'run_ms': 20_000.0}


def loaded_deployment():
    deployment = booking_deployment()
    for key, document in (
        ('template/feed', BATCH),
        ('parameters/trust/feed', {}),
        ('template/index', {'kind': 'keeper', 'size': SIZE}),
        ('parameters/trust/index', {'keepers': 3}),
    ):
        deployment.configure(key, json.dumps(document))
        deployment.run(300)
    job = JobSubmission(
        job_id='morning', team='trust', template='feed', tasks=6
    )
    accepted = []
    deployment.entry().jobs.submit(job, accepted.append)
    deployment.run(6000)
    assert accepted[0].is_ok()
    assert len(tasks_on(deployment, 1)) >= 2
    return deployment


def tasks_on(deployment, number):
    worker = deployment.agent(number).worker.worker
    return sorted(worker.task_by_id)


def keepers_on(deployment, number):
    tasks = tasks_on(deployment, number)
    return [task for task in tasks if task.startswith('keeper')]


def drain(deployment, document, entry=0):
    answers = deployment.configure('drain/agent-1', document, entry)
    deployment.run(3000)
    assert answers[0].is_ok()


def test_drain_moves_batch_tasks_and_interrupts_no_request():
    """A VM is drained while calls and tasks run on it.

    The calls are answered, batch tasks move with their checkpoints and end
    once, the keeper stays, and no new work arrives.
    """
    deployment = loaded_deployment()
    keepers_before = keepers_on(deployment, 1)
    calls = [deployment.call(entry=n % 2) for n in range(12)]
    drain(deployment, '{"why": "disk"}')
    deployment.run(2000)
    assert {kind_of(deployment, call) for call in calls} == {'none'}
    assert tasks_on(deployment, 1) == keepers_before
    runs_before = sum(backend_runs(deployment, 1).values())
    calls = [deployment.call(entry=n % 2) for n in range(12)]
    deployment.run(60_000)
    assert {kind_of(deployment, call) for call in calls} == {'none'}
    assert sum(backend_runs(deployment, 1).values()) == runs_before
    ends = [
        task
        for agent in deployment.agent_by_name.values()
        for _, event, task in agent.worker.worker.history
        if event == 'complete'
    ]
    assert sorted(ends) == [f'morning:{number}' for number in range(6)]


def test_drain_with_keepers_empties_the_vm():
    deployment = loaded_deployment()
    drain(deployment, '{"keepers": true}')
    deployment.run(5000)
    assert tasks_on(deployment, 1) == []
    keepers = keepers_on(deployment, 0) + keepers_on(deployment, 2)
    assert len(keepers) == 3


def test_drain_survives_restarts_of_all_entries_and_the_agent():
    """All entries and the agent are replaced after a drain was accepted.

    If the drain were kept only in memory, work would return to the VM.
    """
    deployment = loaded_deployment()
    drain(deployment, '{"keepers": true}')
    for number in (0, 1):
        deployment.kill_entry(number)
        deployment.restart_entry(number)
    deployment.kill_agent(1)
    deployment.restart_agent(1)
    deployment.run(20_000)
    assert tasks_on(deployment, 1) == []
    for entry in deployment.entry_by_name.values():
        assert entry.core.fleet.agent('agent-1').is_stopping
    withdraw = deployment.configure(
        'drain/agent-1',
        '',
        expected=deployment.entry().core.configuration.item_version(
            'drain/agent-1'
        ),
    )
    deployment.run(3000)
    assert withdraw[0].is_ok()
    for entry in deployment.entry_by_name.values():
        assert not entry.core.fleet.agent('agent-1').is_stopping


def backend_runs(deployment, number):
    (backend,) = deployment.agent(number).backend_by_name.values()
    return backend.runs_by_request


def withdraw(deployment, key):
    state = deployment.entry().core.configuration
    answers = deployment.configure(key, '', expected=state.item_version(key))
    deployment.run(3000)
    assert answers[0].is_ok()


def on_all_agents(deployment, tasks):
    return [task for number in range(3) for task in tasks(deployment, number)]


def test_withdrawn_service_is_unknown_and_its_calls_in_flight_finish():
    deployment = loaded_deployment()
    call = deployment.call()
    withdraw(deployment, 'parameters/trust/booking')
    assert kind_of(deployment, call) == 'none'
    call = deployment.call()
    deployment.run(100)
    assert kind_of(deployment, call) == 'unknown-service'


def test_withdrawn_keepers_stop_and_come_back_when_submitted_again():
    deployment = loaded_deployment()
    assert len(on_all_agents(deployment, keepers_on)) == 3
    withdraw(deployment, 'parameters/trust/index')
    deployment.run(5000)
    assert on_all_agents(deployment, keepers_on) == []
    deployment.configure('parameters/trust/index', '{"keepers": 2}')
    deployment.run(5000)
    assert len(on_all_agents(deployment, keepers_on)) == 2


def test_withdrawn_batch_template_lets_running_tasks_end():
    deployment = loaded_deployment()
    withdraw(deployment, 'template/feed')
    deployment.run(30_000)
    ends = [
        task
        for agent in deployment.agent_by_name.values()
        for _, event, task in agent.worker.worker.history
        if event == 'complete'
    ]
    assert sorted(ends) == [f'morning:{number}' for number in range(6)]
