"""Decides whether the configuration may be acted on.

The module does no input or output.

Claim: an entry that acts at time t while `is_fresh` is true acts on a version
that was the newest accepted one at some time after t - STALENESS_BOUND_S. A
change is accepted when its writer, or an entry that read it, has it in force
and reports so; callers are answered "accepted" only after that.

Argument. There are three ways to be fresh. Times are on the local clock.

1. Own read. A read of `config/head` that was sent at a returned the version.
   The table is transactional, so no later version was durable before a; and
   t - a is within the bound.
2. A peer's read. The peer's heartbeat reports that its read was sent g seconds
   before the heartbeat was built, and acknowledges our heartbeat that was
   numbered at f. It was built after f, so the read was sent after f - g, and
   t - (f - g) is within the bound.
3. Store outage. Each member's newest heartbeat was built after its f, which is
   within the bound, and shows no later version; this process has none either.
   A member that accepted a change has it in force first, so none had accepted
   one before the earliest f. All members, this process included, report that
   their last table access failed. Members count as gone only when the
   platform's list has contained their VM and no longer does, or when they have
   been unresponsive for VM_LIST_LAG_S and are not listed; every listed VM must
   be a member.

Delays of messages and pauses of either process only make f and a older, so
they make the entry less fresh, never falsely fresh. A higher version seen
anywhere ends freshness of the lower one at once.

Case 3 needs one rule of the writer: an entry accepts a change only when
`Membership.unacknowledged` is empty, except for members whose VM is gone from
the platform's list. Otherwise a new entry that reaches only the table could
accept a change while the members that it has never reached confirm the store
outage to each other.

Bound: t is less than 5 s after the acceptance of the first change that is
unknown to the entry. A start that was decided at t is rejected by the target
after its not-after time, 2 s later. So no start takes effect later than 7 s
after the acceptance of a change that forbids it; the requirement is 13 s.
`confirm` without `sent_s` adds the duration of the read, at most the table
client's timeout of 2 s: 9 s. Normally an entry receives a notice of a change
after one message delay; at worst a heartbeat (0.5 s) or its own read (1 s)
reports the change.
"""

import math
from collections.abc import Collection

from quetzalswitch import clock as clocks
from quetzalswitch import membership as memberships

STALENESS_BOUND_S = 5.0
# A VM that was never in the platform's list may be newer than the list.
VM_LIST_LAG_S = 60.0


class Freshness:
    """Confirmations of the configuration version, own and by peers."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._confirmed_version = 0
        self._confirmed_s = -math.inf
        self._highest_version = 0
        self._access_failed = False
        self._ever_listed: set[str] = set()
        self._missing_since_s: dict[str, float] = {}

    def confirm(self, version: int, sent_s: float | None = None) -> None:
        """Records that this process read the head row of the table.

        Args:
            version: The version that the head row held.
            sent_s: When the read was sent; the current time if not given, which
                extends the bound by the duration of the read.
        """
        self._access_failed = False
        self.record_version(version)
        if version >= self._confirmed_version:
            sent_s = self._clock.now() if sent_s is None else sent_s
            self._confirmed_s = max(sent_s, self._confirmed_s)
            self._confirmed_version = version

    def record_access_failure(self) -> None:
        """Records that the last access to the table failed."""
        self._access_failed = True

    def record_version(self, version: int) -> None:
        """Records a version that is durable, for example from a notice."""
        self._highest_version = max(self._highest_version, version)

    @property
    def write_failed(self) -> bool:
        """Whether the last table access failed; part of heartbeats."""
        return self._access_failed

    def age_s(self) -> float:
        """Returns seconds since the last own confirmation; inf if never."""
        return self._clock.now() - self._confirmed_s

    def confirmed_ago_s(self, version: int) -> float | None:
        """Returns seconds since this process confirmed exactly this version.

        The value is part of heartbeats; None if the version was not confirmed.
        """
        if version != self._confirmed_version or version == 0:
            return None
        return self.age_s()

    def is_fresh(
        self,
        version: int,
        membership: memberships.Membership,
        vm_names: Collection[str] | None,
    ) -> bool:
        """Returns whether this process may act on the version in force.

        Args:
            version: The version in force at this process; 0 is never fresh.
            membership: The members.
            vm_names: Names of the entry VMs in the platform's last list, live
                or leaving; an entry ID is the name of its VM. None when the
                list could not be read: then no member counts as gone.
        """
        self._record_observations(membership, vm_names)
        if version == 0 or version < self._highest_version:
            return False
        ago_s = self.confirmed_ago_s(version)
        if ago_s is not None and ago_s <= STALENESS_BOUND_S:
            return True
        if self._peer_confirmed(version, membership):
            return True
        return self._all_report_outage(version, membership, vm_names)

    def is_outage_confirmed(
        self,
        version: int,
        membership: memberships.Membership,
        vm_names: Collection[str] | None,
    ) -> bool:
        """Returns whether all members report that the table is unreachable.

        In that case no entry can write to it; see case 3 of the argument.
        """
        return self._all_report_outage(version, membership, vm_names)

    def _record_observations(
        self,
        membership: memberships.Membership,
        vm_names: Collection[str] | None,
    ) -> None:
        self._ever_listed.update(vm_names or ())
        for info in membership.known():
            heartbeat = membership.last_heartbeat(info.entry_id)
            if heartbeat is not None:
                self.record_version(heartbeat.version)

    def _peer_confirmed(
        self, version: int, membership: memberships.Membership
    ) -> bool:
        earliest_s = self._clock.now() - STALENESS_BOUND_S
        for info in membership.known():
            heartbeat = membership.last_heartbeat(info.entry_id)
            built_s = membership.built_after_s(info.entry_id)
            if heartbeat is None or built_s is None:
                continue
            ago_s = heartbeat.confirmed_ago_s
            if heartbeat.version != version or ago_s is None:
                continue
            if built_s - ago_s >= earliest_s:
                return True
        return False

    def _all_report_outage(
        self,
        version: int,
        membership: memberships.Membership,
        vm_names: Collection[str] | None,
    ) -> bool:
        if not self._access_failed:
            return False
        known = {info.entry_id for info in membership.known()}
        if vm_names is None:
            # Without the VM list and without any known member, other entries
            # can't be ruled out.
            if not known:
                return False
        else:
            own = membership.info.entry_id
            if not set(vm_names) <= known | {own}:
                return False
        return all(
            self._reports_outage(entry_id, version, membership)
            or self._is_gone(entry_id, membership, vm_names)
            for entry_id in known
        )

    def _reports_outage(
        self,
        entry_id: str,
        version: int,
        membership: memberships.Membership,
    ) -> bool:
        heartbeat = membership.last_heartbeat(entry_id)
        built_s = membership.built_after_s(entry_id)
        if heartbeat is None or built_s is None:
            return False
        recent = built_s >= self._clock.now() - STALENESS_BOUND_S
        return (
            recent and heartbeat.write_failed and heartbeat.version <= version
        )

    def _is_gone(
        self,
        entry_id: str,
        membership: memberships.Membership,
        vm_names: Collection[str] | None,
    ) -> bool:
        is_dead = membership.state(entry_id) == memberships.MemberState.DEAD
        if vm_names is None or entry_id in vm_names or not is_dead:
            self._missing_since_s.pop(entry_id, None)
            return False
        now = self._clock.now()
        since_s = self._missing_since_s.setdefault(entry_id, now)
        return entry_id in self._ever_listed or now - since_s > VM_LIST_LAG_S
