"""Tickets of the placement policy: which are valid, and which to request.

It is designed for a load in which a policy allows a quarter of the targets, a
ticket lives for 1.5 s and a call on 100 targets takes a second. A gang that
waits for capacity asks about all targets, one call after the other, because the
few that the first call allowed may stay occupied while others become free. Only
tickets that are needed are renewed, since a call takes longer for each target.
A gang renews all that it needs in one call, so that they expire together.
"""

import math
import typing
from collections.abc import Iterable

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import locality
from quetzalswitch.decision import placement
from quetzalswitch.decision import suitability

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# Targets in the first call for a step, as a multiple of the number that
# suffices if all allowed targets are empty. A gang needs its targets at the
# same time, so its factor is higher.
SPARE_FACTOR: typing.Final = 2
GANG_SPARE_FACTOR: typing.Final = 3
# A ticket must stay valid until the start command reaches the target.
TICKET_MARGIN_S: typing.Final = 0.06
# Tickets of a gang that waits for capacity are renewed this long before expiry.
RENEWAL_LEAD_S: typing.Final = 0.7
# Tickets are requested this long before the room is expected, besides the
# duration of the call; expected times are inaccurate.
REQUEST_LEAD_S: typing.Final = 0.5
# While advice is scarce a renewal names further targets that are known to be
# allowed, as long as they add less than this share to the call's base time.
SPARE_CALL_SHARE: typing.Final = 0.25


def list_valid(
    stage: jobs.Stage, targets: Iterable[fleet.Target], now_s: float
) -> list[fleet.Target]:
    """Returns the targets whose tickets are valid until a start arrives."""
    limit_s = now_s + TICKET_MARGIN_S
    return [t for t in targets if stage.tickets[t.id][1] > limit_s]


def expire_soon(
    stage: jobs.Stage, targets: Iterable[fleet.Target], now_s: float
) -> bool:
    """Returns whether a ticket for one of the targets must be renewed now."""
    limit_s = now_s + RENEWAL_LEAD_S
    return any(stage.tickets[target.id][1] < limit_s for target in targets)


def request(
    decider: "deciders.Decider",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    targets: Iterable[fleet.Target],
    now_s: float,
) -> None:
    """Requests advice on targets, unless a call for the stage is in progress.

    The first call for a stage names only as many targets as it probably needs,
    those that suit it best.
    """
    if stage.advice_requested:
        return
    targets = list({target.id: target for target in targets}.values())
    if not targets:
        return
    if stage.tickets is None:
        needed = _count_needed(decider, stage, queue.name, targets[0])
        suitability.sort_for_advice(
            decider.speeds, stage, queue, targets, now_s
        )
        if decider.spread_factor > 1 and locality.prefers_near(stage):
            targets = locality.name_near_first(stage, targets, needed)
        targets = targets[:needed]
    ids = [target.id for target in targets][: advice.TARGETS_MAX_COUNT]
    assigned = decider.advisers.assign(queue.advice, len(ids), now_s)
    if assigned is None:
        return
    adviser, expected_s = assigned
    decider.request_advice(
        advice.AdviceRequest(adviser, stage.key, ids, expected_s)
    )


def list_spares(
    stage: jobs.Stage,
    policy: catalogue.AdvicePolicy,
    renewed: Iterable[fleet.Target],
    candidates: Iterable[fleet.Target],
) -> list[fleet.Target]:
    """Returns further targets for a call that renews tickets.

    The step's next tasks can start there without another call.
    """
    if policy.per_target_ms <= 0:
        return []
    count = int(SPARE_CALL_SHARE * policy.base_ms / policy.per_target_ms)
    named = {target.id for target in renewed}
    spares = [t for t in candidates if t.id not in named]
    spares.sort(key=lambda target: -target.free_capacity()[0])
    return spares[:count]


def request_further(
    decider: "deciders.Decider",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    eligible: dict[str, fleet.Target],
    now_s: float,
) -> None:
    """Requests advice on targets that no call for the stage has named yet."""
    new = (
        target
        for target in eligible.values()
        if target.id not in stage.tickets
        and target.id not in stage.refused_targets
    )
    request(decider, stage, queue, new, now_s)


def _count_needed(
    decider: "deciders.Decider",
    stage: jobs.Stage,
    queue_name: str,
    target: fleet.Target,
) -> int:
    """Returns how many targets like the given one the first call names."""
    share = decider.advisers.estimate_allowed_share(queue_name)
    slots = max(1, placement.count_slots(stage, target))
    factor = GANG_SPARE_FACTOR if stage.gang else SPARE_FACTOR
    needed = math.ceil(math.ceil(stage.step.count / slots) * factor / share)
    return max(advice.TARGETS_MIN_COUNT, needed)
