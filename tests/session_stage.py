"""A session with a target that answers as set by the test."""

import decider_stage
from quetzalswitch import exceptions
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions
from quetzalswitch.execution import tenure as tenures

LEASE_S = 5.0


class Client:
    """A target that answers lease renewals as set by the test."""

    def __init__(self, clock):
        self.clock = clock
        self.renewals = []
        self.unresponsive = False
        self.unresponsive_error = exceptions.TransportError
        self.refusing = False
        self.rejection = None
        self.ended = []
        self.stale = False
        self.replaced = False
        self.born = 5
        self.clock_offset_ms = 0
        self.on_hold = lambda: None

    def renew_leases(self, command, timeout_s):
        del timeout_s
        self.renewals.append(command)
        if self.refusing:
            raise ConnectionRefusedError
        if self.stale:
            raise exceptions.StaleEpochError("stale")
        if self.replaced:
            raise exceptions.TargetReplacedError("replaced")
        if self.unresponsive:
            raise self.unresponsive_error("silent")
        now_ms = int(self.clock.now() * 1000) + self.clock_offset_ms
        ended = [e for e in self.ended if e.number > command.acknowledged]
        answer = protocol.RenewAnswer(now_ms, self.born, [], ended)
        self.on_hold()
        return answer

    def start(self, command, timeout_s):
        if self.refusing:
            raise ConnectionRefusedError
        if self.rejection is not None:
            return protocol.CommandAnswer(self.rejection, 0)
        raise exceptions.TransportError("no answer")

    def close(self):
        pass


class SteadyTenure(tenures.Tenure):
    """A leader to which the store answers at all times, unless set.

    Attributes:
        lost: Whether the store has stopped answering.
    """

    lost = False

    def allows_extension(self):
        if not self.lost:
            self.confirm(tenures.read_moment(self._clock))
        return super().allows_extension()


class Harness:
    """A decider with one target and a session with it."""

    def __init__(self):
        self.cluster = decider_stage.SimulatedCluster(targets=1)
        self.client = Client(self.cluster.clock)
        self.deposed = []
        self.tenure = SteadyTenure(self.cluster.clock)
        self.session = self.open_session()
        self.session._renew_leases(0.0)

    def open_session(self):
        return sessions.Session(
            self.cluster.decider.targets["i-0"],
            self.client,
            self.cluster.decider,
            10.0,
            self.cluster.clock,
            self.cluster.log,
            lambda ends: None,
            self.deposed.append,
            self.tenure,
        )


def find_assumed_lease():
    """Returns how long leases last after an election, as the winner assumes."""
    cluster = decider_stage.SimulatedCluster(targets=0)
    session = sessions.Session(
        cluster.register("i-0"),
        None,
        cluster.decider,
        10.0,
        cluster.clock,
        None,
        None,
        None,
        tenures.Tenure(cluster.clock),
    )
    return session.leases_expire_at() - cluster.clock.now()
