"""Helpers that several tests share."""

import json

from standins.virtual import VirtualBackend, VirtualDeployment

SIZE = {'cores': 1.0, 'memory_gb': 2.0}


def booking_deployment(idempotent=False, **options):
    """Return a deployment with a backend of trust/booking per agent."""
    deployment = VirtualDeployment(**options)
    for number, agent in enumerate(deployment.agent_by_name.values()):
        agent.add_backend(
            VirtualBackend(
                deployment.loop, f'backend-{number}', 'trust/booking'
            )
        )
    deployment.run(3000)
    template = {'kind': 'service', 'size': SIZE, 'idempotent': idempotent}
    for key, document in (
        ('template/booking', template),
        ('parameters/trust/booking', {'urgency': 8}),
    ):
        deployment.configure(key, json.dumps(document))
        deployment.run(300)
    deployment.run(3000)
    return deployment


def runs_of(deployment, *request_ids):
    """Return the total number of runs of these requests."""
    return sum(
        backend.runs_by_request[request_id]
        for agent in deployment.agent_by_name.values()
        for backend in agent.backend_by_name.values()
        for request_id in request_ids
    )


def ran_at(deployment, request_id):
    """Return the agents where a request ran."""
    return [
        agent
        for agent in deployment.agent_by_name.values()
        for backend in agent.backend_by_name.values()
        if backend.runs_by_request[request_id]
    ]


def kind_of(deployment, request_id):
    """Return the error kind of a response, None without a response."""
    response = deployment.answer(request_id)
    if response is None:
        return None
    return response.failure.kind.value if response.failure else 'none'
