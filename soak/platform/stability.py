"""Tracks since when a run has had no disturbance.

Each fault is a disturbance for its duration. So is a process from its start
until it serves, which takes 1 to 3 s on a busy machine. The loss of a process
or a VM and its return are disturbances, but not its absence in between.
"""

from twisted.internet import reactor

# A start that takes longer is no disturbance: the program itself is at fault.
MAX_START_S = 10
# The store, the runners and all links share the soak's process, so a longer
# stall of it delays all of them.
MAX_STALL_S = 0.4
# A longer queue before the narrow link is a disturbance.
MAX_LINK_DELAY_S = 0.5


class StabilityMonitor:
    """Records disturbances; ``check`` must be called often.

    Attributes:
        since: End of the last disturbance; in the future if one is known to
            come.
        why: That disturbance.
    """

    def __init__(self, world):
        self.world = world
        self.since = 0
        self.why = 'the start'
        self.checked_at = reactor.seconds()
        # Calls of each runner that will get no response.
        self.lost_calls_by_worker = {}

    def record_disturbance(self, why, until=0):
        """Record a disturbance now, or up to a time in s."""
        until = max(until, reactor.seconds())
        if until >= self.since:
            self.since, self.why = until, why

    def on_event(self, event):
        """Record the start of an event; ``check`` sees its effects.

        A VM that is replaced as planned disturbs nothing.
        """
        if event.name == 'depart':
            return
        leave_s = event.arguments[0] if event.name == 'leave' else 0
        self.record_disturbance(str(event), reactor.seconds() + leave_s)

    def check(self):
        """Record the disturbances that exist now."""
        now_s = reactor.seconds()
        if now_s - self.checked_at > MAX_STALL_S:
            self.record_disturbance('the soak itself was held up')
        self.checked_at = now_s
        for program in self.world.programs.values():
            self._check_program(program, now_s)
        for name, conditions in self.world.conditions_by_link.items():
            if conditions.is_disturbed:
                self.record_disturbance(f'the link {name}')
        if self.world.link.waiting_s() > MAX_LINK_DELAY_S:
            self.record_disturbance('a slow link')
        self._check_store(now_s)
        for worker in self.world.workers.values():
            self._check_worker(worker, now_s)

    def _check_program(self, program, now_s):
        if program.resume_at is not None:
            self.record_disturbance(f'{program.name} is frozen')
        is_starting = program.is_due and not program.is_up
        if is_starting and now_s < program.started_at + MAX_START_S:
            self.record_disturbance(f'{program.name} starts')
        elif program.is_due and not program.is_alive:
            self.record_disturbance(f'{program.name} is started')

    def _check_store(self, now_s):
        rows = self.world.rows
        if rows.is_down or rows.is_silent or rows.slow_s or rows.lose_next:
            self.record_disturbance(
                'the store', now_s + (rows.late_s if rows.lose_next else 0)
            )

    def _check_worker(self, worker, now_s):
        if worker.is_unresponsive and not worker.is_gone:
            self.record_disturbance(f'{worker.name} is dark')
        if worker.slow_s:
            self.record_disturbance(f'{worker.name} is slow')
        lost_calls = self.lost_calls_by_worker.get(worker.name, 0)
        calls_to_lose = worker.lose_next + worker.lose_polls
        if calls_to_lose != lost_calls:
            self.lost_calls_by_worker[worker.name] = calls_to_lose
            self.record_disturbance(
                f'{worker.name} loses orders', now_s + worker.late_s
            )
