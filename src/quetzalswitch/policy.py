"""Settings of the scheduling policy and the subset that sites may change."""

import dataclasses
import typing

from quetzalswitch import exceptions


@dataclasses.dataclass(frozen=True)
class Policy:
    """Settings of the scheduling policy; times are in seconds.

    Attributes:
        batch_max_wait_s: Age after which patient work is overdue and is
            placed ahead of urgent work, at most one placement in
            `overdue_every`.
        overdue_every: While urgent work waits, one placement in this many
            goes to overdue patient work.
        urgent_slack_s: Time until the deadline assumed for urgent work
            without one; urgent work is ordered by earliest deadline.
        urgent_preempt_after_s: Wait after which urgent work may preempt
            checkpointable or idempotent batch work; None disables it.
        urgent_reserve: Fraction of all slots and of all cores that only
            urgent work may use; the last patient task to start may exceed
            this limit.
        share_history_half_life_s: Half-life of past usage in the order of
            teams.
        share_history_weight: Weight of past usage relative to current usage.
        share_return_s: Time within which a team gets its share back by
            preemption; None waits for running tasks to end.
        share_tolerance: Fraction of the capacity by which a team may exceed
            its share before its tasks are preempted.
        preemptions_per_review: Limit on preemptions for shares in one review.
        review_interval_s: Time between reviews of shares, reservations and
            limits.
        hold_after_s: Wait after which capacity is reserved for a gang or an
            overdue task that fits on no target.
        hold_max_s: Longest time that capacity is reserved for one request.
        hold_pause_s: Pause before capacity is reserved for it again.
        hold_rest: Time without any reservation after one has ended, as a
            multiple of its duration.
        hold_candidates: Targets considered when a reservation is planned.
        same_rack_wait_s: Wait after which a same-rack gang may use several
            racks.
        unplaceable_after_s: Wait after which a request too large for all
            local targets together is refused.
        fit_candidates: Fitting targets compared for one placement.
        balance_weight: Weight of balanced cores and memory relative to the
            tightest fit when targets are compared.
        reclaim: Whether the estimated size is allocated if it is below the
            declared size.
        estimate_margin: Factor on the estimated size.
        estimate_quantile: Quantile of past ratios of used to declared size
            that the estimate uses.
        estimate_samples: Finished tasks needed before an estimate is used.
        reclaim_floor: Smallest fraction of the declared size to allocate.
        default_run_time_s: Run time assumed if neither declared nor
            estimated.
        overrun_tolerance: Fraction by which a task may exceed its size before
            it is throttled.
        memory_stop_ratio: Ratio of memory usage to its size above which a
            task is stopped.
        max_queued: Limit on waiting requests in all queues together.
        admission_margin: A request is refused if its expected wait exceeds
            its remaining time times this factor.
        evacuate: Whether preemptible batch work is moved off targets that
            are taken out of service.
        ramp_s: Time for which starts on a returned target are limited.
        ramp_starts_per_s: Initial limit on starts per second on a returned
            target; it doubles every quarter of `ramp_s`.
        quarantine_jobs: Number of distinct jobs failed in a row after which
            a target is quarantined.
        probe_min_s: Wait before a quarantined target is first probed.
        probe_max_s: Longest wait between probes.
        abandon_targets: Number of distinct healthy targets on which a job
            fails before it is abandoned.
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


# Settings that depend on a site's priorities. Safety limits (quarantine and
# limited starts on returned targets) are the same at every site.
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
    """Returns the default policy with the overrides of a site.

    Raises:
        SettingsError: A name is unknown or not a site setting, or a value has
            the wrong type or is negative.
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
