"""Requests, configuration and jobs end to end, under a virtual clock."""

import json

from standins.virtual import VirtualBackend, VirtualDeployment

SIZE = {'cores': 1.0, 'memory_gb': 2.0}


def booking_deployment(**options):
    deployment = VirtualDeployment(**options)
    for number, agent in enumerate(deployment.agent_by_name.values()):
        agent.add_backend(
            VirtualBackend(
                deployment.loop, f'backend-{number}', 'trust/booking'
            )
        )
    deployment.run(3000)
    for key, document in (
        ('template/booking', {'kind': 'service', 'size': SIZE}),
        ('parameters/trust/booking', {'urgency': 8}),
        ('template/feed', {'kind': 'batch', 'size': SIZE, 'run_ms': 1500.0}),
        ('parameters/trust/feed', {}),
    ):
        answers = deployment.configure(key, json.dumps(document))
        deployment.run(100)
        assert answers[0].is_ok()
    deployment.run(3000)
    return deployment


def test_request_reaches_a_backend_and_its_own_answer_returns():
    deployment = booking_deployment()
    request_ids = [
        deployment.call(entry=number % 2, body=f'rider {number}'.encode())
        for number in range(20)
    ]
    deployment.run(1000)
    for number, request_id in enumerate(request_ids):
        answer = deployment.answer(request_id)
        assert answer.status == 200
        assert answer.body == f'echo:rider {number}'.encode()


def test_accepted_change_is_in_force_everywhere_within_3_s():
    deployment = booking_deployment()
    answers = deployment.configure('team/trust', '{"cores": 8.0}', entry=1)
    deployment.run(3000)
    version = answers[0].unwrap().version
    nodes = [
        *deployment.entry_by_name.values(),
        *deployment.agent_by_name.values(),
    ]
    assert {node.core.configuration.version for node in nodes} == {version}


def test_job_completes_each_task_once():
    deployment = booking_deployment()
    accepted = []
    entry = deployment.entry()
    from hyssopring.configuration import JobSubmission

    entry.jobs.submit(
        JobSubmission(job_id='morning', team='trust', template='feed', tasks=6),
        accepted.append,
    )
    deployment.run(10_000)
    assert accepted[0].is_ok()
    described = []
    entry.jobs.describe('morning', described.append)
    deployment.run(100)
    assert described[0].unwrap()['tasks'] == {'completed': 6}
    completed = [
        task_id
        for agent in deployment.agent_by_name.values()
        for _, what, task_id in agent.worker.worker.history
        if what == 'complete'
    ]
    assert sorted(completed) == [f'morning:{number}' for number in range(6)]
