"""Since when nothing disturbs the processes of a run.

Each fault disturbs while it lasts. A process that is started disturbs until it
serves: on a busy machine that takes 1 to 3 s. One that stays away does not, nor
does its machine; the moments of its end and of its return do.
"""

from twisted.internet import reactor

# A start that takes longer is the program's own fault.
LONGEST_START_S = 10
# The store, the runners and all links share the soak's process: when it is held
# up for longer, so is everything.
HELD_UP_S = 0.4
# Bytes that wait for a narrow link for longer count as a slow link.
LINK_WAIT_S = 0.5


class Calm:
    """Looks at what is wrong; call ``look`` often.

    Attributes:
        since: When something was last wrong; it lies ahead while something is
            known to be still to come.
        why: What that was.
    """

    def __init__(self, world):
        self.world = world
        self.since = 0
        self.why = 'the start'
        self.looked_at = reactor.seconds()
        # Orders of each runner that are still to be left unanswered.
        self.losing = {}

    def touch(self, why, until=0):
        """Something is wrong now, or until then."""
        until = max(until, reactor.seconds())
        if until >= self.since:
            self.since, self.why = until, why

    def happened(self, event):
        """An event of the plan begins; what it sets is looked at later."""
        lasts = event.given[0] if event.name == 'leave' else 0
        self.touch(str(event), reactor.seconds() + lasts)

    def look(self):
        now = reactor.seconds()
        if now - self.looked_at > HELD_UP_S:
            self.touch('the soak itself was held up')
        self.looked_at = now
        for program in self.world.programs.values():
            self._look_at_program(program, now)
        for name, weather in self.world.weathers.items():
            if weather.is_foul:
                self.touch(f'the link {name}')
        if self.world.link.waiting_s() > LINK_WAIT_S:
            self.touch('a slow link')
        self._look_at_store(now)
        for worker in self.world.workers.values():
            self._look_at_worker(worker, now)

    def _look_at_program(self, program, now):
        if program.resume_at is not None:
            self.touch(f'{program.name} is frozen')
        is_starting = program.is_due and not program.is_up
        if is_starting and now < program.started_at + LONGEST_START_S:
            self.touch(f'{program.name} starts')
        elif program.is_due and not program.is_alive:
            self.touch(f'{program.name} is started')

    def _look_at_store(self, now):
        rows = self.world.rows
        if rows.is_down or rows.is_silent or rows.slow_s or rows.lose_next:
            self.touch(
                'the store', now + (rows.late_s if rows.lose_next else 0)
            )

    def _look_at_worker(self, worker, now):
        if worker.is_dark and not worker.is_gone:
            self.touch(f'{worker.name} is dark')
        losing = self.losing.get(worker.name, 0)
        if worker.lose_next != losing:
            self.losing[worker.name] = worker.lose_next
            self.touch(f'{worker.name} loses orders', now + worker.late_s)
