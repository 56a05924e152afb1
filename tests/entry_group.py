"""Entries that exchange heartbeats on a manual clock, for tests."""

from quetzalswitch import clock as clocks
from quetzalswitch import freshness
from quetzalswitch import membership
from quetzalswitch.peers import protocol

STEP_S = membership.HEARTBEAT_INTERVAL_S


class Entry:
    """Membership and freshness of one process."""

    def __init__(self, clock, name, run=1):
        incarnation = f"{name}-{run}"
        self.name = name
        self.version = 1
        self.store_up = True
        self.members = membership.Membership(clock, name, incarnation, name)
        self.freshness = freshness.Freshness(clock)

    def read_head(self, version):
        if self.store_up:
            self.freshness.confirm(version)
        else:
            self.freshness.record_access_failure()

    def is_fresh(self, vm_names=None):
        return self.freshness.is_fresh(self.version, self.members, vm_names)

    def envelope(self, receiver, sequence):
        heartbeat = protocol.Heartbeat(
            sequence,
            self.members.last_received(receiver),
            self.name,
            self.version,
            self.freshness.confirmed_ago_s(self.version),
            self.freshness.write_failed,
            self.members.known(),
            0,
            0,
            [],
            [],
            None,
            False,
        )
        incarnation = self.members.info.incarnation
        return protocol.Envelope(self.name, incarnation, heartbeat)


class EntryGroup:
    """Entries that exchange heartbeats over a simulated network.

    `cuts` holds the (sender, receiver) pairs whose messages are all lost.
    """

    def __init__(self, names):
        self.clock = clocks.ManualClock()
        self.entries = {name: Entry(self.clock, name) for name in names}
        self.cuts = set()
        self.paused = set()
        self.head = 1
        for entry in self.entries.values():
            for other in self.entries.values():
                entry.members.add_member(other.members.info)

    def __getitem__(self, name):
        return self.entries[name]

    def restart(self, name, run):
        self.entries[name] = Entry(self.clock, name, run)
        for other in self.entries.values():
            self.entries[name].members.add_member(other.members.info)

    def cut(self, *names):
        for other in self.entries:
            for name in names:
                if other not in names:
                    self.cuts |= {(name, other), (other, name)}

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for sender in self.entries.values():
                if sender.name not in self.paused:
                    sender.read_head(self.head)
                    self._send_heartbeat(sender)

    def _send_heartbeat(self, sender):
        sequence = sender.members.next_sequence()
        for receiver in self.entries.values():
            lost = (sender.name, receiver.name) in self.cuts
            if lost or receiver.name in self.paused or receiver is sender:
                continue
            receiver.members.observe(sender.envelope(receiver.name, sequence))
