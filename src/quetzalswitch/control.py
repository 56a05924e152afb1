"""The control task: which targets this process controls."""

import contextlib
import dataclasses
import typing

import gevent
import gevent.queue

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import reconstruction
from quetzalswitch import tasks
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.storage import vms
from quetzalswitch.targets import events as link_events
from quetzalswitch.targets import link as links
from quetzalswitch.targets import ownership

LIST_INTERVAL_S = 2.0
PLAN_INTERVAL_S = 0.5
CLAIM_RETRY_S = 1.0
# A report that says nothing new is passed on this often: each one costs the
# placer a round of decisions.
REPORT_INTERVAL_S = 5.0
# The owner by hash may be cut off from a target that others still reach.
STANDBY_CLAIM_S = 10.0


class Surroundings(typing.NamedTuple):
    """What the control task needs from the rest of the process.

    Attributes:
        incarnation: Incarnation of this process.
        entry_id: Entry ID of this process.
        make_link: Returns a started link: (vm, on_event).
        find_members: Returns the live entries, this one included.
        entry_of: Returns the entry ID of a live incarnation, or "".
        stale_for_s: Seconds since the configuration was last fresh.
        send: Sends a message to a peer: (entry_id, message).
        to_placer: Gives an event to the placer.
    """

    incarnation: str
    entry_id: str
    make_link: typing.Callable[[vms.Vm, typing.Callable], links.TargetLink]
    find_members: typing.Callable[[], list[ownership.Member]]
    entry_of: typing.Callable[[str], str]
    stale_for_s: typing.Callable[[], float]
    send: typing.Callable[[str, typing.Any], None]
    to_placer: typing.Callable[[typing.Any], None]


@dataclasses.dataclass(frozen=True)
class AskRelease:
    """A peer asks for the control of a target."""

    entry_id: str
    target_id: str


@dataclasses.dataclass(frozen=True)
class ReleaseAll:
    """Hands all targets back; none is claimed again."""


@dataclasses.dataclass
class _Member:
    """A target; it has a link once this process had reason to claim it."""

    vm: vms.Vm
    link: links.TargetLink | None = None
    claimed: bool = False
    next_claim_s: float = 0.0
    leaving: bool | None = None
    next_report_s: float = 0.0


class Control(tasks.Task):
    """Owns the links to targets and decides which to claim or release.

    Args:
        clock: Source of time.
        vm_client: Client of the platform's list of VMs.
        surroundings: The rest of the process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        vm_client: vms.VmClient,
        surroundings: Surroundings,
    ):
        super().__init__("control")
        self._clock = clock
        self._vm_client = vm_client
        self._around = surroundings
        self._members: dict[str, _Member] = {}
        self._vms: dict[str, vms.Vm] | None = None
        self._leaving: frozenset[str] = frozenset()
        self._releasing = False
        self._next_plan_s = clock.now()
        self._lister: gevent.Greenlet | None = None
        # Owners and ranks hold for one list of targets and of entries; both
        # change seldom, and working them out takes time for each target.
        self._basis: list[ownership.Member] | None = None
        self._owner_of: dict[str, str] = {}
        self._rank_of: dict[str, int] = {}

    def start(
        self, on_failure: typing.Callable[[str], None] | None = None
    ) -> None:
        """Starts the task and the greenlet that reads the list of VMs."""
        super().start(on_failure)
        self._lister = gevent.spawn(self._list)

    def stop(self) -> None:
        """Ends the task and all links at once."""
        super().stop()
        if self._lister is not None:
            self._lister.kill()
        for member in self._members.values():
            if member.link is not None:
                member.link.stop()

    def run(self) -> None:
        """Handles messages and plans twice a second."""
        while True:
            with contextlib.suppress(gevent.queue.Empty):
                self.handle(self.inbox.get(timeout=PLAN_INTERVAL_S / 2))
            if self._clock.now() >= self._next_plan_s:
                self._next_plan_s = self._clock.now() + PLAN_INTERVAL_S
                self._plan()

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case dict():
                self._take_list(message)
            case link_events.TargetClaimed(target):
                self._mark(target.target_id, True)
            case link_events.TargetLost(target_id):
                self._mark(target_id, False)
            case link_events.ClaimRefused(target_id, holder):
                self._handle_refusal(target_id, holder)
            case AskRelease(entry_id, target_id):
                self._release_for(entry_id, target_id)
            case ReleaseAll():
                self._releasing = True
                self._next_plan_s = self._clock.now()

    def post_command(
        self, target_id: str, command: link_events.Command
    ) -> None:
        """Gives a command to the link of a target, if there is one."""
        member = self._members.get(target_id)
        if member is not None and member.link is not None:
            member.link.post(command)

    def target_names(self) -> set[str] | None:
        """Returns the targets in the platform's list; None if unknown."""
        if self._vms is None:
            return None
        return {vm.vm for vm in self._vms.values() if vm.role == "target"}

    def entry_names(self) -> set[str] | None:
        """Returns the entry VMs in the platform's list; None if unknown."""
        if self._vms is None:
            return None
        return {vm.vm for vm in self._vms.values() if vm.role == "entry"}

    def failure_domain(self, vm: str) -> str:
        """Returns the failure domain of a VM, or "" if it is not listed."""
        known = (self._vms or {}).get(vm)
        return known.failure_domain if known else ""

    def controls(self, target_id: str) -> bool:
        """Tells whether the control lease of a target is held right now."""
        member = self._members.get(target_id)
        if member is None or member.link is None:
            return False
        return member.link.holds_control()

    def unclaimed(self) -> bool:
        """Tells whether a target that this process owns is not claimed."""
        members = self._around.find_members()
        owners = self._owners(members)
        own = self._around.incarnation
        return any(
            owners.get(name) == own and not member.claimed
            for name, member in self._members.items()
        )

    def claimed(self) -> int:
        """Returns the number of targets under control."""
        return sum(member.claimed for member in self._members.values())

    def _list(self) -> None:
        while True:
            try:
                listed = self._vm_client.list_vms()
                self.post({vm.vm: vm for vm in listed})
            except exceptions.TransportError as error:
                logs.write("vm_list_unavailable", error=error)
            self._clock.sleep(LIST_INTERVAL_S)

    def _take_list(self, listed: dict[str, vms.Vm]) -> None:
        self._vms = listed
        for vm in listed.values():
            if vm.role != "target":
                continue
            known = self._members.get(vm.vm)
            if known is None or known.vm.address != vm.address:
                self._replace(vm)
        for name in set(self._members) - set(listed):
            self._drop(name)
        leaving = frozenset(
            vm.vm for vm in listed.values() if vm.state == "leaving"
        )
        if leaving != self._leaving:
            self._leaving = leaving
            self._around.to_placer(events.LeavingTargets(leaving))

    def _replace(self, vm: vms.Vm) -> None:
        if vm.vm in self._members:
            self._drop(vm.vm)
        self._members[vm.vm] = _Member(vm)
        self._basis = None

    def _drop(self, name: str) -> None:
        member = self._members.pop(name)
        self._basis = None
        if member.link is not None:
            member.link.stop()
        self._around.to_placer(link_events.TargetLost(name, "gone"))

    def _route(self, event: link_events.Event) -> None:
        match event:
            case link_events.TargetReported() if not self._has_news(event):
                return
        self._around.to_placer(event)
        match event:
            case (
                link_events.TargetClaimed()
                | link_events.TargetLost()
                | link_events.ClaimRefused()
            ):
                self.post(event)

    def _has_news(self, event: link_events.TargetReported) -> bool:
        """Tells whether a report is worth the placer's time."""
        member = self._members.get(event.target_id)
        if member is None:
            return True
        now_s = self._clock.now()
        same = event.leaving == member.leaving and not event.running
        if same and now_s < member.next_report_s:
            return False
        member.leaving = event.leaving
        member.next_report_s = now_s + REPORT_INTERVAL_S
        return True

    def _mark(self, target_id: str, claimed: bool) -> None:
        member = self._members.get(target_id)
        if member is not None:
            member.claimed = claimed
            member.leaving = None

    def _plan(self) -> None:
        now_s = self._clock.now()
        stale = self._around.stale_for_s() > reconstruction.CONTROL_GRACE_S
        members = self._around.find_members()
        for target_id, member in self._members.items():
            if self._releasing or stale:
                if member.claimed:
                    member.link.post(link_events.Release())
                continue
            if member.claimed or now_s < member.next_claim_s:
                continue
            rank = self._rank(target_id, members)
            if rank > 1:
                continue
            pause_s = CLAIM_RETRY_S if rank == 0 else STANDBY_CLAIM_S
            first = member.next_claim_s == 0.0
            member.next_claim_s = now_s + pause_s
            if rank == 0 or not first:
                self._find_link(member).post(link_events.Claim())

    def _find_link(self, member: _Member) -> links.TargetLink:
        # A link takes about 20 KB, and most targets are for other entries.
        if member.link is None:
            member.link = self._around.make_link(member.vm, self._route)
        return member.link

    def _owners(self, members: list[ownership.Member]) -> dict[str, str]:
        """Returns the owner of each target; kept until something changes."""
        if members != self._basis:
            targets = {
                name: member.vm.failure_domain
                for name, member in self._members.items()
            }
            self._basis = members
            self._owner_of = ownership.assign_owners(targets, members)
            self._rank_of = {}
        return self._owner_of

    def _rank(self, target_id: str, members: list[ownership.Member]) -> int:
        """Returns 0 for the owner, 1 for the standby and 2 for others."""
        owners = self._owners(members)
        if target_id not in self._rank_of:
            self._rank_of[target_id] = self._find_rank(
                target_id, owners.get(target_id, ""), members
            )
        return self._rank_of[target_id]

    def _find_rank(
        self, target_id: str, owner: str, members: list[ownership.Member]
    ) -> int:
        own = self._around.incarnation
        if owner == own:
            return 0
        others = [m for m in members if m.incarnation != owner]
        domain = self._members[target_id].vm.failure_domain
        standby = ownership.choose_owner(target_id, domain, others)
        return 1 if standby == own else 2

    def _handle_refusal(self, target_id: str, holder: str) -> None:
        """Asks the holder for a target that this process should control."""
        member = self._members.get(target_id)
        if member is None or holder == self._around.incarnation:
            return
        member.next_claim_s = self._clock.now() + CLAIM_RETRY_S
        members = self._around.find_members()
        if self._rank(target_id, members) != 0:
            member.next_claim_s = self._clock.now() + STANDBY_CLAIM_S
            return
        entry_id = self._around.entry_of(holder)
        if entry_id:
            request = peer_protocol.ReleaseTarget(target_id)
            self._around.send(entry_id, request)

    def _release_for(self, entry_id: str, target_id: str) -> None:
        member = self._members.get(target_id)
        if member is None or not member.claimed:
            return
        owners = self._owners(self._around.find_members())
        owner = owners.get(target_id, "")
        if owner and self._around.entry_of(owner) == entry_id:
            member.link.post(link_events.Release())
            member.next_claim_s = self._clock.now() + STANDBY_CLAIM_S
