"""Settings of the scheduling policy and what a site may change."""

import dataclasses
import typing

from quetzalswitch import exceptions


@dataclasses.dataclass(frozen=True)
class Policy:
    """Settings of the scheduling policy; times are in seconds.

    Attributes:
        batch_max_wait_s: Age after which patient work is placed ahead of
            urgent work, at most one placement in `overdue_every`.
        overdue_every: While urgent work waits, one placement in this many
            goes to overdue patient work.
        urgent_slack_s: Deadline assumed for urgent work that states none;
            orders it by earliest deadline.
        urgent_preempt_after_s: Wait after which urgent work may preempt
            checkpointable or idempotent batch work; None disables it.
        urgent_reserve: Part of all slots and of all cores that only urgent
            work may use; patient work may end up to one task short of it.
        share_history_half_life_s: Half-life of past use in share order.
        share_history_weight: Weight of past use against present use.
        share_return_s: Time within which lent share is claimed back by
            preemption; None leaves it to running tasks to end.
        share_tolerance: Part of the capacity by which a team may be above
            its share before it is preempted.
        preemptions_per_review: Most preemptions for shares in one review.
        review_interval_s: Time between reviews of shares, holds and limits.
        hold_after_s: Wait after which capacity is held back for a gang or
            an overdue task that fits nowhere.
        hold_max_s: Longest time that capacity is held back for one request.
        hold_pause_s: Pause before capacity is held for it again.
        hold_rest: Time without any hold after one, as a multiple of the time
            that it lasted.
        hold_candidates: Targets considered when a hold is planned.
        same_rack_wait_s: Wait after which a same-rack gang may spread.
        unplaceable_after_s: Wait after which a request too large for all
            local targets together is refused.
        fit_candidates: Fitting targets compared for one placement.
        balance_weight: Weight of even use of cores and memory against the
            tightest fit when targets are compared.
        reclaim: Whether capacity is reserved by the learned size where it
            is below the declared size.
        estimate_margin: Factor on the learned size.
        estimate_quantile: Quantile of past ratios that is used.
        estimate_samples: Finished tasks needed before an estimate is used.
        reclaim_floor: Smallest part of the declared size reserved.
        default_run_time_s: Run time assumed without any knowledge.
        overrun_tolerance: Part above its size at which a task is throttled.
        memory_stop_ratio: Memory use over its size at which it is stopped.
        max_queued: Waiting requests accepted for all queues together.
        admission_margin: A request is refused when the estimated wait is
            above its remaining time times this factor.
        evacuate: Whether movable batch work leaves a domain taken out.
        ramp_s: Time for which starts on a returned target are limited.
        ramp_starts_per_s: Starts a second on a returned target at first;
            the limit doubles every quarter of `ramp_s`.
        quarantine_jobs: Distinct jobs failed in a row that quarantine.
        probe_min_s: First wait before a quarantined target is probed.
        probe_max_s: Longest wait between probes.
        abandon_targets: Distinct healthy targets on which a job may fail.
    """

    batch_max_wait_s: float = 600.0
    overdue_every: int = 4
    urgent_slack_s: float = 30.0
    urgent_preempt_after_s: float | None = 2.0
    urgent_reserve: float = 0.0
    share_history_half_life_s: float = 60.0
    share_history_weight: float = 0.1
    share_return_s: float | None = 15.0
    share_tolerance: float = 0.02
    preemptions_per_review: int = 8
    review_interval_s: float = 0.5
    hold_after_s: float = 10.0
    hold_max_s: float = 120.0
    hold_pause_s: float = 30.0
    hold_rest: float = 1.0
    hold_candidates: int = 96
    same_rack_wait_s: float = 10.0
    unplaceable_after_s: float = 60.0
    fit_candidates: int = 4
    balance_weight: float = 0.5
    reclaim: bool = False
    estimate_margin: float = 1.2
    estimate_quantile: float = 0.95
    estimate_samples: int = 20
    reclaim_floor: float = 0.25
    default_run_time_s: float = 60.0
    overrun_tolerance: float = 0.05
    memory_stop_ratio: float = 1.25
    max_queued: int = 200_000
    admission_margin: float = 1.5
    evacuate: bool = True
    ramp_s: float = 8.0
    ramp_starts_per_s: float = 2.0
    quarantine_jobs: int = 3
    probe_min_s: float = 1.0
    probe_max_s: float = 60.0
    abandon_targets: int = 3


# What trades one site's priorities against another's. Safety limits
# (quarantine, refill of returned targets) are the same at every site.
SITE_FIELDS: typing.Final[frozenset[str]] = frozenset(
    {
        "batch_max_wait_s",
        "overdue_every",
        "urgent_slack_s",
        "urgent_preempt_after_s",
        "urgent_reserve",
        "share_history_half_life_s",
        "share_history_weight",
        "share_return_s",
        "share_tolerance",
        "hold_after_s",
        "hold_max_s",
        "hold_pause_s",
        "hold_rest",
        "fit_candidates",
        "balance_weight",
        "reclaim",
        "estimate_margin",
        "default_run_time_s",
        "max_queued",
        "admission_margin",
        "evacuate",
    }
)


def make_policy(overlay: dict[str, typing.Any]) -> Policy:
    """Returns the default policy with a site's changes.

    Raises:
        SettingsError: A name is unknown or not open to sites, or a value has
            the wrong type.
    """
    kinds = typing.get_type_hints(Policy)
    for name, value in overlay.items():
        if name not in SITE_FIELDS:
            raise exceptions.SettingsError(f"policy.{name}: not a site setting")
        if not _matches(kinds[name], value):
            raise exceptions.SettingsError(
                f"policy.{name}: expected {kinds[name]}, found {value!r}"
            )
    return Policy(**overlay)


def _matches(kind: typing.Any, value: typing.Any) -> bool:
    options = typing.get_args(kind) or (kind,)
    if isinstance(value, bool):
        return bool in options
    if isinstance(value, int) and float in options:
        return value >= 0
    if isinstance(value, int | float):
        return type(value) in options and value >= 0
    return type(value) in options
