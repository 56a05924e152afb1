"""A decider with targets that a test simulates step by step; no network."""

import io
import math

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import fleet
from quetzalswitch.execution import protocol

SERVICE = "svc"


def make_queue(name="q", priority=1, attempts=3, advice=None, stretch=2.0):
    return catalogue.Queue(
        name=name,
        host="h.example",
        prefix=f"/{name}/",
        service=SERVICE,
        priority=priority,
        max_attempts=attempts,
        stretch=stretch,
        target_latency_ms=1000.0,
        public=False,
        advice=advice,
    )


def make_step(count=1, cpu=1000, **fields):
    values = {
        "count": count,
        "demand": catalogue.Resources(cpu, 100, 0),
        "estimate_ms": 1000.0,
        "after": (),
        "checkpointing": False,
        "gang": False,
        "same_rack": False,
        "required_label": "",
        "rack": "",
        "max_per_target": 0,
        "speculative": False,
        "long_running": False,
        "image": "",
        "tail_latency_objective_ms": 0.0,
        "best_effort": False,
        "may_miss": 0,
    }
    return submissions.Step(**{**values, **fields})


def make_submission(job_id, steps, queue=None, team="t1"):
    return submissions.Submission(
        id=job_id.rjust(16, "0"),
        queue=queue or make_queue(),
        team=team,
        spec="work",
        steps=tuple(steps),
        occurrences=1,
        first_at_ms=0,
        interval_ms=0,
        accepted_ms=0,
    )


class SimulatedCluster:
    """A decider and simulated targets.

    Attributes:
        running: Started runs by target, as a lease renewal lists them.
        ended: Ends by target that are not acknowledged.
    """

    def __init__(
        self, targets=2, cpu=4000, epoch=1, limit=None, reconciled=True
    ):
        self.clock = clocks.ManualClock()
        self.log = nodelog.NodeLog(self.clock)
        self.decider = deciders.Decider(epoch, self.log)
        self.decider.reconciled = reconciled
        self.token = epoch << 20
        self.running = {}
        self.ended = {}
        self.end_numbers = {}
        self.last_seen_end = {}
        self.configure(limit)
        for number in range(targets):
            self.add_target(f"i-{number}", cpu)

    def configure(self, limit=None, queues=()):
        queues = {q.name: q for q in queues}
        teams = {
            "t1": catalogue.Team("t1", 1, limit or catalogue.Resources()),
            "t2": catalogue.Team("t2", 1, catalogue.Resources()),
        }
        self.decider.catalogue = catalogue.Catalogue(
            1,
            queues,
            teams,
            {"key": "t1"},
            100000,
            min((q.priority for q in queues.values()), default=1),
        )

    def add_target(
        self, name, cpu=4000, draining=False, domain="a", rack="r1-1"
    ):
        target = self.register(name, cpu, draining, domain, rack)
        self.renew_lease(name)
        return target

    def register(self, name, cpu=4000, draining=False, domain="a", rack="r1-1"):
        """Adds a target that has not answered yet."""
        registration = fleet.Registration(
            id=name,
            service=SERVICE,
            address="127.0.0.1:1",
            failure_domain=domain,
            rack=rack,
            labels=frozenset({rack}),
            capacity=catalogue.Resources(cpu, 100000, 0),
            draining=draining,
            remaining_s=None,
            boot_ms=1,
        )
        target = self.decider.register(registration, self.clock.now())
        target.recorded = True
        self.running.setdefault(name, {})
        self.ended.setdefault(name, [])
        return target

    def add_job(self, job_id, steps, queue=None, team="t1", **options):
        submission = make_submission(job_id, steps, queue, team)
        self.decider.add_job(submission, self.clock.now(), 0.0, **options)
        return self.decider.jobs[submission.id]

    def schedule(self):
        """Runs a pass; returns its commands without carrying them out."""
        self.decider.schedule(self.clock.now())
        return self.decider.collect_commands()

    def start_tasks(self):
        """Runs a pass and carries out its starts; returns them."""
        commands = self.schedule()
        for run in commands.starts:
            self.confirm_start(run)
        return commands.starts

    def confirm_start(self, run):
        run.token = self.token
        self.running[run.target_id][run.task, run.number] = ["", 1]
        self.decider.handle_start_confirmed(run, self.clock.now())

    def add_end(self, task, run, target_id, reason, checkpoint=""):
        self.running[target_id].pop((task, run), None)
        number = self.end_numbers.get(target_id, 0) + 1
        self.end_numbers[target_id] = number
        self.ended[target_id].append(
            protocol.EndedRun(number, task, run, reason, checkpoint)
        )

    def end_run(self, run, reason=protocol.EndReason.DONE, checkpoint=""):
        self.add_end(run.task, run.number, run.target_id, reason, checkpoint)

    def renew_lease(
        self, target_id, token=None, boot_ms=1, sent_s=None, limit=None
    ):
        """Applies an answer to a lease renewal; returns the new ends."""
        target = self.decider.targets[target_id]
        answer = protocol.RenewAnswer(
            clock_ms=1,
            boot_ms=boot_ms,
            running=[
                protocol.RunningRun(task, run, state[0], state[1], 0)
                for (task, run), state in self.running[target_id].items()
            ],
            ended=self.ended[target_id][:limit],
            complete=limit is None or len(self.ended[target_id]) < limit,
        )
        now_s = self.clock.now()
        ends = self.decider.apply_lease_renewal(
            target,
            answer,
            self.token if token is None else token,
            now_s if sent_s is None else sent_s,
            now_s,
            self.last_seen_end.get(target_id, 0),
        )
        for end in ends:
            self.last_seen_end[target_id] = end.ended.number
        return ends

    def renew_all_leases(self):
        for target_id in list(self.decider.targets):
            self.renew_lease(target_id)

    def store_progress(self):
        """Marks all progress as stored."""
        for job in list(self.decider.changed_jobs.values()):
            self.decider.record_stored(job, job.revision)

    def advance_time(self, seconds, step=0.5):
        """Advances the clock while all targets answer lease renewals."""
        while seconds > 0:
            self.clock.advance(min(step, seconds))
            seconds -= step
            self.renew_all_leases()


def set_speeds(decider, speed_by_target, uneven=True):
    """Makes a decider assume speeds of targets, which no run changes."""
    learned = decider.speeds
    learned.uneven = uneven
    learned._log_speeds = {
        target_id: math.log(speed)
        for target_id, speed in speed_by_target.items()
    }
    learned._assign_grades()
    learned.review = lambda *args: None


def read_log(log):
    """Returns the queued lines of a log."""
    return io.BytesIO(b"".join(log._queue)).read().decode().splitlines()
