"""Jobs that could only end too late are rejected while work waits."""

import random
from collections import Counter

import pytest

from hyssopring.admission.backlog import Backlog
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import JobState, Schedule
from hyssopring.jobs.row_keys import job_key
from hyssopring.jobs.scheduling_options import (
    AdmissionOptions,
    SchedulingOptions,
)
from hyssopring.jobs.urgency import urgency
from hyssopring.logs import Event
from standins.jobs.deployment import Deployment, settled, starts_of
from admission_support import (
    add_work,
    deploy,
    is_rejected,
    job_of,
    overloaded,
    rejections,
    stored_row,
    submit,
    wall_ms,
)


def test_rejected_job_is_not_stored_and_never_runs(log_lines):
    """Guards against an answer of not-run for a job that runs."""
    deployment = overloaded()
    job = job_of(100)
    outcome = submit(deployment, job)
    assert is_rejected(outcome)
    line = rejections(log_lines)[-1]
    assert line['job'] == job.job_id
    assert line['why'] == 'too-late'
    assert line['predicted_ms'] > line['limit_ms'] == 6000
    assert line['outlook_age_ms'] <= 500
    assert line['retry_after_ms'] == outcome.unwrap_err().retry_after_ms
    deployment.run(30)
    assert stored_row(deployment, job) is None
    assert not starts_of(deployment, job)


def test_rejection_comes_at_once():
    """Guards against callers whose time is used up by a wait."""
    deployment = overloaded()
    outcomes = deployment.submit(job_of(100))
    deployment.run(0.02)
    assert is_rejected(outcomes[0])


def test_without_options_nothing_is_rejected():
    deployment = overloaded(options=None, jobs=20)
    assert submit(deployment, job_of(100)).is_ok()


def test_with_nothing_waiting_any_size_is_accepted():
    """Guards against rejections by an estimate alone."""
    deployment = deploy()
    submit(deployment, job_of(1, tasks=8))
    deployment.run(0.5)
    job = job_of(100, tasks=4, estimate_ms=10_000_000, target_ms=1)
    assert submit(deployment, job).is_ok()


@pytest.mark.parametrize(
    'changes',
    [
        {'is_keeper': True},
        {'schedule': Schedule(first_ms=1, interval_ms=1000, times=1)},
    ],
)
def test_keepers_and_scheduled_jobs_are_accepted(changes):
    deployment = overloaded()
    assert submit(deployment, job_of(100, **changes)).is_ok()


def test_more_urgent_queue_is_not_rejected_for_work_behind_it():
    deployment = overloaded()
    job = job_of(100, tasks=1, queue='urgent', priority=-1)
    assert submit(deployment, job).is_ok()


def test_job_that_returns_is_accepted_and_keeps_its_first_time():
    """Guards against callers that are rejected again and again."""
    deployment = overloaded()
    job = job_of(100)
    asked_ms = wall_ms(deployment)
    outcome = submit(deployment, job)
    deployment.run(outcome.unwrap_err().retry_after_ms / 1000)
    assert submit(deployment, job, 'entry-1').is_ok()
    row = JobRow.from_text(stored_row(deployment, job).text)
    assert row.first_asked_ms == pytest.approx(asked_ms, abs=20)
    assert row.accepted_ms > row.first_asked_ms + 900
    deployment.run(20)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_job_that_returns_early_keeps_its_time():
    """Guards against a time that moves away with each submission."""
    deployment = overloaded(jobs=16)
    job = job_of(100)
    first = submit(deployment, job).unwrap_err().retry_after_ms
    deployment.run(1)
    second = submit(deployment, job, 'entry-2').unwrap_err().retry_after_ms
    assert second == pytest.approx(first - 1000 - 50, abs=30)


def test_job_that_returns_goes_before_a_new_one():
    """Guards against new jobs that take the room of one that returns."""
    deployment = overloaded()
    returning = job_of(100)
    outcome = submit(deployment, returning)
    deployment.run(outcome.unwrap_err().retry_after_ms / 1000 - 0.05)
    new = submit(deployment, job_of(101), 'entry-1')
    assert is_rejected(new)
    assert submit(deployment, returning, 'entry-2').is_ok()


def test_all_rejected_callers_that_return_at_once():
    """Guards against all callers that are told the same second."""
    deployment = overloaded()
    jobs = [job_of(100 + number) for number in range(8)]
    seconds = [
        submit(deployment, job).unwrap_err().retry_after_ms // 1000
        for job in jobs
    ]
    assert len(set(seconds)) >= 6
    outcomes = [
        submit(deployment, job, f'entry-{number % 3}')
        for number, job in enumerate(jobs)
    ]
    assert all(map(is_rejected, outcomes))


def test_jobs_between_two_notices_share_the_room():
    """Guards against a burst between two notices that is accepted whole."""
    deployment = overloaded(jobs=4)
    answers = [
        deployment.submit(job_of(number), 'entry-1')
        for number in range(100, 120)
    ]
    deployment.run(0.1)
    accepted = [each for each in answers if each[0].is_ok()]
    assert 1 <= len(accepted) <= 4


def test_accepted_work_counts_until_the_owner_lists_it():
    """Guards against work that counts twice as ahead."""
    deployment = overloaded(jobs=3)
    for number in range(100, 120):
        assert submit(deployment, job_of(number), 'entry-1').is_ok()
        deployment.run(0.95)


def test_first_submission_counts_for_objective_and_order():
    """Guards against returned jobs that are late and count as in time."""
    new = JobRecord.from_row(JobRow(job_of(1), 5000), 1, False)
    returned = JobRecord.from_row(JobRow(job_of(2), 5000, '', 2000), 1, False)
    wrong = JobRecord.from_row(JobRow(job_of(3), 5000, '', 9000), 1, False)
    assert new.deadline() == wrong.deadline() == 7000
    assert returned.deadline() == 4000
    run = returned.step_runs['0.0']
    assert urgency(returned, run, 5000).lateness == 1
    assert urgency(new, new.step_runs['0.0'], 5000).lateness == 0
    assert urgency(returned, run, 7500).lateness == 2


def test_cancelled_jobs_give_their_room_back():
    """Guards against work that counts as ahead although it never runs."""
    deployment = overloaded(jobs=30)
    assert is_rejected(submit(deployment, job_of(100)))
    for number in range(1, 31):
        deployment.entries['entry-0'].core.job_api.cancel(
            job_of(number).job_id, 10**9
        )
    deployment.run(0.5)
    assert submit(deployment, job_of(101)).is_ok()


def test_outlook_is_published_only_while_work_waits():
    """Guards against traffic that nobody needs."""
    deployment = deploy()
    notices = record_notices(deployment, 'entry-1')
    submit(deployment, job_of(1))
    deployment.run(5)
    assert not notices
    for number in range(2, 7):
        submit(deployment, job_of(number))
    deployment.run(1)
    begun = len(notices)
    assert begun <= 4
    deployment.run(2)
    assert 4 <= len(notices) - begun <= 8
    deployment.run(10)
    assert not any(queue.is_waiting for queue in notices[-1].queues)
    count = len(notices)
    deployment.run(10)
    assert len(notices) == count


def record_notices(deployment, entry):
    """Return a list that receives the outlooks that reach an entry."""
    notices = []
    gate = deployment.entries[entry].core.admission.gate
    handle = gate.handle_outlook

    def record(notice):
        notices.append(notice)
        handle(notice)

    gate.handle_outlook = record
    return notices


def test_steps_without_a_worker_are_those_of_the_last_round():
    """Guards against a list that grows with each planning round."""
    deployment = overloaded()
    unplaced = deployment.entries[deployment.owner].core.owner.unplaced
    assert len(unplaced) == 8
    deployment.run(3)
    assert len(unplaced) == 5
    deployment.run(10)
    assert not unplaced


def test_work_is_counted_once_a_notice(monkeypatch):
    """Guards against an owner that counts its jobs in each round."""
    counts = []
    count_work = Backlog.__init__

    def count(self, records, unplaced, expected_ms):
        counts.append(None)
        count_work(self, records, unplaced, expected_ms)

    monkeypatch.setattr(Backlog, '__init__', count)
    deployment = overloaded(jobs=12)
    counts.clear()
    deployment.run(4)
    assert len(counts) <= 4 * 4


def test_zone_of_the_entry_is_stored():
    """The zone of a job's callers is known also without admission."""
    deployment = settled(
        Deployment(workers=1, zone_by_entry={'entry-1': 'zone-b'})
    )
    job = job_of(1)
    submit(deployment, job, 'entry-1')
    row = deployment.rows.rows[job_key(job.job_id)]
    assert JobRow.from_text(row.text).zone == 'zone-b'


class Burst:
    """Callers who wait 3 s for an answer, and then return or leave.

    Attributes:
        outcomes_by_job: The outcomes of the submissions of each job.
        accepted: The IDs of the accepted jobs.
        entry_by_job: The entry to which each job was first submitted.
    """

    def __init__(self, deployment, log_lines, entries, random):
        self.deployment = deployment
        self.log_lines = log_lines
        self.entries = entries
        self.random = random
        self.outcomes_by_job = {}
        self.accepted = set()
        self.entry_by_job = {}
        self.returning = []
        self.open = []

    def play(self, seconds, *kinds):
        """Submit jobs of each kind, given as (jobs a second, changes)."""
        arrivals = [
            (self.now_s + at_s, job_of(1000 * kind + number, **changes))
            for kind, (jobs_per_s, changes) in enumerate(kinds, 1)
            for number, at_s in enumerate(self.times(seconds, jobs_per_s))
        ]
        arrivals.sort(key=lambda arrival: -arrival[0])
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            while arrivals and arrivals[-1][0] <= self.now_s:
                entry = self.random.choice(self.entries)
                job = arrivals.pop()[1]
                self.entry_by_job[job.job_id] = entry
                self.submit(job, entry)
            self.return_due()
            self.deployment.run(0.05)
            self.collect()

    def times(self, seconds, jobs_per_s):
        at_s = self.random.expovariate(jobs_per_s)
        while at_s < seconds:
            yield at_s
            at_s += self.random.expovariate(jobs_per_s)

    @property
    def now_s(self):
        return self.deployment.reactor.seconds()

    def submit(self, job, entry):
        outcomes = self.deployment.submit(job, entry)
        self.outcomes_by_job.setdefault(job.job_id, []).append(outcomes)
        self.open.append((job, outcomes))

    def return_due(self):
        for job, due_s in [
            each for each in self.returning if each[1] <= self.now_s
        ]:
            self.returning.remove((job, due_s))
            self.submit(job, self.random.choice(self.entries))

    def collect(self):
        for job, outcomes in [each for each in self.open if each[1]]:
            self.open.remove((job, outcomes))
            if outcomes[0].is_ok():
                self.accepted.add(job.job_id)
                continue
            retry_ms = outcomes[0].unwrap_err().retry_after_ms
            if retry_ms <= 3000:
                self.returning.append((job, self.now_s + -(-retry_ms // 1000)))

    def returned(self):
        """Return the outcomes of all submissions but the first of each job."""
        return [
            outcomes[0]
            for each in self.outcomes_by_job.values()
            for outcomes in each[1:]
            if outcomes
        ]

    def late_share(self, limit_ms):
        """Return the share of accepted jobs that end late or never."""
        in_time = self.ended_within(limit_ms)
        return len(self.accepted - in_time) / len(self.accepted)

    def ended_within(self, limit_ms):
        """Return the jobs that ended within a time of their submission."""
        return {
            line['job']
            for line in self.log_lines
            if line['event'] is Event.JOB_FINISHED
            and line['age_ms'] <= limit_ms
        }

    def accepted_by_entry(self):
        return {
            entry: sum(
                self.entry_by_job[job_id] == entry for job_id in self.accepted
            )
            for entry in self.entries
        }


ALL_ENTRIES = ('entry-0', 'entry-1', 'entry-2')
# Two steps of four tasks of 1 s; four workers have room for eight a second.
JOBS_PER_S = 8
WIDE_JOBS = (
    2.6 * JOBS_PER_S,
    {
        'queue': 'wide',
        'tasks': 4,
        'steps': 2,
        'priority': 2,
        'target_ms': 3000,
    },
)
OBJECTIVE_MS = 5000
# A quarter of the room.
SMALL_JOBS = (16, {'queue': 'small', 'tasks': 1, 'target_ms': 500})
SMALL_OBJECTIVE_MS = 1500


# With the default of 3 and this order of planning, accepted jobs that are late
# wait as long as new ones arrive in time.
BURST_OPTIONS = SchedulingOptions(admission=AdmissionOptions(max_objectives=2))


def play_burst(
    log_lines, entries, seed, options=BURST_OPTIONS, kinds=(WIDE_JOBS,)
):
    """Play a burst of 2.6 times the room, and the time after it."""
    log_lines.clear()
    deployment = deploy(workers=4, options=options)
    burst = Burst(deployment, log_lines, entries, random.Random(seed))
    burst.play(14, *kinds)
    deployment.run(25)
    return burst


@pytest.mark.parametrize('entries', [ALL_ENTRIES[:1], ALL_ENTRIES])
@pytest.mark.parametrize('seed', range(2))
def test_accepted_jobs_of_a_burst_end_in_time(log_lines, entries, seed):
    """Guards against accepted jobs that end too late for their callers.

    The burst comes from the callers of one zone, or of all.
    """
    burst = play_burst(log_lines, entries, seed)
    assert burst.late_share(3 * OBJECTIVE_MS) < 0.1
    # All of the room is used.
    assert len(burst.accepted) >= 14 * JOBS_PER_S
    returned = burst.returned()
    assert len(returned) >= 10
    accepted = [outcome for outcome in returned if outcome.is_ok()]
    assert len(accepted) >= 0.8 * len(returned)


def test_burst_without_admission_makes_most_jobs_late(log_lines):
    """Shows that the test above does not pass by itself."""
    burst = play_burst(log_lines, ALL_ENTRIES, 0, SchedulingOptions())
    assert burst.late_share(3 * OBJECTIVE_MS) > 0.2


def test_callers_of_all_zones_are_accepted_alike(log_lines):
    """Guards against an entry that always learns too late of free room."""
    counts = Counter()
    for seed in range(4):
        burst = play_burst(log_lines, ALL_ENTRIES, seed)
        counts.update(burst.accepted_by_entry())
    assert min(counts.values()) >= 0.9 * counts.total() / len(ALL_ENTRIES)


def test_small_urgent_jobs_do_not_pay_for_wide_ones(log_lines):
    """Guards against urgent jobs that are rejected for work behind them."""
    kinds = (SMALL_JOBS, WIDE_JOBS)
    burst = play_burst(log_lines, ALL_ENTRIES, 0, BURST_OPTIONS, kinds)
    small = {job for job in burst.entry_by_job if int(job, 16) < 2000}
    assert len(small) > 100
    assert len(small & burst.ended_within(SMALL_OBJECTIVE_MS)) == len(small)
    assert burst.late_share(3 * OBJECTIVE_MS) < 0.1


def test_short_burst_is_accepted(log_lines):
    """Guards against rejections of what can end before the limit."""
    deployment = deploy(workers=4)
    burst = Burst(deployment, log_lines, ALL_ENTRIES, random.Random(1))
    burst.play(5, WIDE_JOBS)
    deployment.run(25)
    assert not rejections(log_lines)
    assert burst.late_share(3 * OBJECTIVE_MS) < 0.1


def test_jobs_that_want_one_rack_block_no_others(log_lines):
    """Guards against idle workers while jobs are rejected.

    All jobs want the data of one rack. Others have room, so nothing waits.
    """
    deployment = deploy(workers=4)
    for worker in deployment.workers[1:]:
        worker.labels = ('a', 'r2')
    deployment.run(2)
    notices = record_notices(deployment, 'entry-1')
    add_work(deployment, 3, rack='r1')
    assert len(deployment.run_recorder.starts) == 3 * 16
    assert submit(deployment, job_of(100, tasks=8, rack='r1')).is_ok()
    assert submit(deployment, job_of(101, tasks=8)).is_ok()
    deployment.run(0.3)
    assert not any(
        queue.is_waiting for each in notices for queue in each.queues
    )
    add_work(deployment, 30, rack='r1', number=200)
    assert is_rejected(submit(deployment, job_of(102)))


def test_work_for_a_label_blocks_no_others():
    """Guards against idle workers while jobs without the label are rejected."""
    deployment = deploy(workers=2)
    deployment.workers[0].labels = ('gpu', 'r1')
    deployment.run(2)
    add_work(deployment, label='gpu')
    assert is_rejected(submit(deployment, job_of(100, label='gpu')))
    assert submit(deployment, job_of(101, tasks=1)).is_ok()
