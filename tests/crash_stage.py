"""A simulated cluster whose targets crash; no network."""

import decider_stage

DEADLY = "dead"


class Play:
    """A cluster in which a task of the job DEADLY crashes its targets.

    Attributes:
        starts: Number of starts, by job ID.
        beside: Tasks of other jobs that ran beside the deadly one, by crash.
    """

    def __init__(self, targets=6, cpu=4000):
        self.cluster = decider_stage.SimulatedCluster(targets, cpu)
        self.deadly = None
        self.boots = {}
        self.starts = {}
        self.beside = []

    def add(self, job_id, **step):
        return self.cluster.add_job(job_id, [decider_stage.make_step(**step)])

    def add_deadly(self, **step):
        self.deadly = self.add(DEADLY, **step)
        return self.deadly

    def lose(self, *target_ids):
        """Breaks the connections to targets at the same moment."""
        now_s = self.cluster.clock.now()
        for target_id in target_ids:
            self.cluster.decider.targets[target_id].mark_silent(now_s, now_s)

    def crash(self, target_id):
        """Restarts a target under the same ID."""
        self.lose(target_id)
        self.cluster.running[target_id] = {}
        self.cluster.ended[target_id] = []
        self.cluster.end_numbers[target_id] = 0
        self.cluster.last_seen_end[target_id] = 0
        self.boots[target_id] = self.boots.get(target_id, 1) + 1
        self.renew(target_id)

    def renew(self, target_id):
        boot_ms = self.boots.get(target_id, 1)
        self.cluster.renew_lease(target_id, boot_ms=boot_ms)

    def wait(self, seconds):
        """Advances the clock while all targets answer lease renewals."""
        for _ in range(int(seconds / 0.5)):
            self.cluster.clock.advance(0.5)
            for target_id in list(self.cluster.decider.targets):
                self.renew(target_id)

    def play(self, steps=10, work_steps=3):
        """Plays steps of 0.5 s; other tasks end after some of them."""
        ages = {}
        for _ in range(steps):
            crashed = set()
            for run in self.cluster.start_tasks():
                job = run.stage.job
                self.starts[job.id] = self.starts.get(job.id, 0) + 1
                if job is self.deadly:
                    crashed.add(run.target_id)
            for target_id in sorted(crashed):
                runs = self.cluster.decider.targets[target_id].runs.values()
                others = {r.task for r in runs if r.stage.job != self.deadly}
                self.beside.append(others)
                self.crash(target_id)
            self.cluster.clock.advance(0.5)
            for target_id, target in self.cluster.decider.targets.items():
                for run in list(target.runs.values()):
                    ages[run] = ages.get(run, 0) + 1
                    if ages[run] == work_steps:
                        self.cluster.end_run(run)
                self.renew(target_id)
            self.cluster.store_progress()
