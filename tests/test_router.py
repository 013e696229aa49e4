"""Request routing while connections, agents and entries fail."""

import pytest
from support import booking_deployment, kind_of, ran_at, runs_of

from hyssopring.entry.calls import Call, PendingCall
from hyssopring.entry.inquiries import Inquiry
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    OutcomeQuery,
)


def book(deployment, ms=20, body=b'ana', budget=2000.0, entry=0):
    return deployment.call(entry, 'trust/booking', f'/?ms={ms}', body, budget)


def start_call(deployment, **options):
    """Start a call; return its id, its agent and the link used."""
    request_id = book(deployment, **options)
    deployment.run(5)
    (agent,) = ran_at(deployment, request_id)
    return request_id, agent, deployment.entry(0).link_by_agent[agent.name]


def agent_number(agent):
    return int(agent.name.rpartition('-')[2])


@pytest.mark.parametrize('ms', [0, 500, 990])
def test_idempotent_call_on_a_silent_connection_is_answered_in_time(ms):
    """Guards against the loss of calls on a connection that went silent.

    The heartbeat timeout notices the silence only after 2.5 s, past the
    deadline of the calls.
    """
    deployment = booking_deployment(idempotent=True)
    for agent in list(deployment.agent_by_name.values())[1:]:
        deployment.entry(0).link_by_agent[agent.name].is_silent = True
    deployment.run(ms)
    request_ids = [book(deployment, budget=1000.0) for _ in range(6)]
    deployment.run(600)
    kinds = [kind_of(deployment, request_id) for request_id in request_ids]
    assert kinds == ['none'] * 6


def test_suspect_connection_gets_no_new_calls():
    deployment = booking_deployment()
    request_id, agent, link = start_call(deployment, ms=1500)
    link.is_silent = True
    deployment.run(600)
    later_ids = [book(deployment) for _ in range(30)]
    deployment.run(100)
    assert {kind_of(deployment, later_id) for later_id in later_ids} == {'none'}
    deployment.run(3000)
    assert (
        any(book(deployment) and ran for ran in [deployment.run(20)] * 0)
        is False
    )
    new_ids = [book(deployment) for _ in range(30)]
    deployment.run(100)
    assert agent in [ran_at(deployment, new_id)[0] for new_id in new_ids]


def test_booking_whose_connection_is_cut_gets_its_own_answer():
    """Guards against a repeated or lost call when its connection breaks.

    The connection is closed while the call runs; the call must neither be
    sent again nor given up.
    """
    deployment = booking_deployment()
    request_id, agent, link = start_call(deployment, ms=300)
    link.close()
    deployment.run(1000)
    assert deployment.answer(request_id).body == b'echo:ana'
    assert runs_of(deployment, request_id) == 1


def test_booking_that_never_arrived_is_sent_elsewhere():
    """A call that was lost on the wire is sent to another agent.

    The connection is closed with the call in flight. Queried, the agent
    reports that it never received the call, so the call did not run.
    """
    deployment = booking_deployment()
    links = list(deployment.entry(0).link_by_agent.values())
    for link in links:
        link.is_silent_to_agent = True
    request_id = book(deployment)
    deployment.run(5)
    for link in links:
        (view,) = link.record.backend_by_id.values()
        link.is_silent_to_agent = False
        if view.in_flight:
            link.close()
    deployment.run(1000)
    assert deployment.answer(request_id).body == b'echo:ana'
    assert runs_of(deployment, request_id) == 1


def test_restarted_agent_makes_the_outcome_unknown_at_once():
    """Guards against trusting a restarted agent, or waiting for it.

    The agent crashes with a running call, and its next incarnation has no
    record of the call. "Not run" would make the caller book again; waiting
    would delay the answer until the deadline.
    """
    deployment = booking_deployment()
    request_id, agent, _ = start_call(deployment, ms=1900, budget=9000.0)
    deployment.kill_agent(agent_number(agent))
    deployment.restart_agent(agent_number(agent))
    deployment.run(800)
    answer = deployment.answer(request_id)
    assert answer.failure.kind.value == 'outcome-unknown'
    assert (answer.outcome_agent_id, answer.outcome_request_id) == (
        agent.name,
        request_id,
    )
    assert runs_of(deployment, request_id) == 1


def test_agent_that_stays_away_is_not_waited_for_until_the_deadline():
    deployment = booking_deployment()
    request_id, agent, _ = start_call(deployment, ms=100, budget=60_000.0)
    deployment.kill_agent(agent_number(agent))
    deployment.run(4000)
    assert kind_of(deployment, request_id) is None
    deployment.run(1200)
    assert kind_of(deployment, request_id) == 'outcome-unknown'


def test_late_answer_is_dropped_and_may_be_asked_for():
    deployment = booking_deployment()
    request_id, agent, _ = start_call(deployment, ms=900, budget=300.0)
    deployment.run(500)
    assert kind_of(deployment, request_id) == 'outcome-unknown'
    answers = []
    inquiry = Inquiry(request_id, agent.name, is_final=True)
    deployment.entry(1).core.router.inquire(inquiry, answers.append)
    deployment.run(1000)
    deployment.entry(1).core.router.inquire(inquiry, answers.append)
    deployment.run(10)
    assert [answer.status for answer in answers] == [202, 200]
    assert answers[1].body == b'echo:ana'
    assert deployment.entry(0).core.metrics.counter('late_answers_total') == 1


def test_not_run_is_passed_on_by_the_right_agent_only():
    """Guards against "not run" from an agent while another one ran the call.

    The caller would book again.
    """
    deployment = booking_deployment()
    refusing = deployment.agent(0)
    refusing.core.calls.on_query('entry-0', OutcomeQuery('r'))
    answers = []
    for is_final in (False, True):
        inquiry = Inquiry('r', refusing.name, is_final)
        deployment.entry(1).core.router.inquire(inquiry, answers.append)
        deployment.run(10)
    states = [answer.failure.answer.run_state.value for answer in answers]
    assert states == ['unknown', 'not-run']


def test_refusal_after_a_failed_attempt_is_not_passed_on_as_not_run():
    """Guards against "not run" for a call whose first attempt may have run.

    The first attempt's backend server crashes, and the next agent refuses the
    retry.
    """
    deployment = booking_deployment(idempotent=True)
    request_id, agent, _ = start_call(deployment, ms=500)
    for other in deployment.agent_by_name.values():
        if other is not agent:
            other.core.calls.stop()
    (backend,) = agent.backend_by_name.values()
    backend.kill()
    deployment.run(50)
    answer = deployment.answer(request_id)
    assert answer.failure.answer.run_state.value != 'not-run'


def test_answer_of_another_connection_reaches_nobody():
    """Guards against responses from another agent or an older connection.

    Both carry the id of a pending request.
    """
    deployment = booking_deployment()
    request_id, agent, link = start_call(deployment, ms=300)
    core = deployment.entry(0).core
    foreign = CallResponse(request_id, 'answered', 200, body=b'foreign')
    for record in core.fleet.agents:
        if record.agent_id != agent.name:
            core.on_message(foreign, record)
    old = link.record
    link.close()
    deployment.run(310)
    core.router.on_response(old, foreign)
    deployment.run(500)
    assert deployment.answer(request_id).body == b'echo:ana'


def test_callers_that_fail_together_are_told_to_return_apart():
    deployment = booking_deployment()
    for number in range(3):
        deployment.kill_agent(number)
    deployment.run(10)
    request_ids = [book(deployment) for _ in range(50)]
    delays_ms = [
        deployment.answer(request_id).failure.retry_after_ms
        for request_id in request_ids
    ]
    assert len(set(delays_ms)) > 30
    assert min(delays_ms) >= 500 and max(delays_ms) <= 1500


def test_entry_that_was_paused_suspects_nobody():
    """Guards against false suspicion after a pause of the entry.

    The entry is paused just after a ping. When it resumes, the pong seems
    late, and each idempotent call would be sent twice.
    """
    deployment = booking_deployment(idempotent=True)
    entry = deployment.entry(0)
    request_id, _, _ = start_call(deployment, ms=1900, budget=9000.0)
    while not entry.core.router.liveness._pinged_at:
        deployment.run(1)
    entry.is_paused = True
    deployment.run(1200)
    # The reactor runs timers before it reads the sockets.
    entry.core.expire_calls()
    entry.is_paused = False
    deployment.run(1000)
    assert kind_of(deployment, request_id) == 'none'
    assert entry.core.metrics.counter('connections_suspect_total') == 0
    hedges = entry.core.metrics.counter('hedges_total')
    assert runs_of(deployment, request_id) == 1 + hedges


def test_call_in_a_leaving_backends_queue_is_sent_elsewhere():
    deployment = booking_deployment(agents=2)
    first = deployment.agent(0)
    (backend,) = first.backend_by_name.values()
    request_ids = [book(deployment, ms=900, budget=4000.0) for _ in range(20)]
    deployment.run(5)
    backend.is_leaving = True
    deployment.run(600)
    running = backend.runs_by_request.copy()
    deployment.run(3500)
    kinds = {kind_of(deployment, request_id) for request_id in request_ids}
    assert kinds == {'none'}
    assert backend.runs_by_request == running
    assert runs_of(deployment, *request_ids) == len(request_ids)


def test_retries_that_go_nowhere_use_up_no_send_budget(monkeypatch):
    """Guards against spending the retry budget on calls that are not retried.

    Calls too close to their deadline are not retried. If the budget were
    spent before this check, a later call with enough time could not retry.
    """
    deployment = booking_deployment(idempotent=True)
    sender = deployment.entry(0).core.router.sender
    choices = []
    choose = sender.selector.choose

    def counted(candidates, now):
        choices.append(choose(candidates, now))
        return choices[-1]

    monkeypatch.setattr(sender.selector, 'choose', counted)

    def retry(left_ms, sent_count=1):
        deadline = deployment.clock_of(deployment.entry(0).name).now() + left_ms
        call = Call('r', 'trust/booking', 'GET', '/', (), b'', deadline)
        request = CallRequest(
            'r', 'trust/booking', 'GET', '/', (), b'', left_ms, 8, True
        )
        pending = PendingCall(call, request, True, 0)
        pending.sent_count = sent_count
        return sender.retry(pending)

    assert not any(retry(5.0) for _ in range(30))
    assert not any(retry(2000.0, sent_count=3) for _ in range(30))
    assert retry(2000.0)
    assert len(choices) == 1
