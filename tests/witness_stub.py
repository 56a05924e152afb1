"""A stand-in for what the store tells of a leader that is not heard."""

from quetzalswitch.recovery import renewals


class Witness:
    """Gives the verdict that a test sets; at first the leader is dead."""

    def __init__(self):
        self.verdict = renewals.Verdict.NOT_RENEWED
        self.watched = 0

    def watch(self, epoch):
        """Notes which epoch is watched."""
        self.watched = epoch

    def stop(self):
        """Notes that no epoch is watched."""
        self.watched = 0

    def find_verdict(self, patience=1.0):
        """Returns the verdict that was set."""
        del patience
        return self.verdict
