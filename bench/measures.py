"""Measures of one run: waits, packing, share error."""

import hdrh.histogram

from quetzalswitch import packing
from quetzalswitch import records

_WAIT_UNITS_PER_S = 1000


def waits(jobs, type_):
    """Returns the histogram of waits in ms of jobs of a type."""
    histogram = hdrh.histogram.HdrHistogram(1, 3_600_000, 3)
    for job in jobs:
        if job.event.type == type_ and job.started_s is not None:
            wait_s = job.started_s - job.submitted_s
            histogram.record_value(max(1, int(wait_s * _WAIT_UNITS_PER_S)))
    return histogram


def used_part(samples, first_s, last_s):
    """Returns the mean use of the fullest resource while work waits."""
    parts = [
        max(sample[1:4])
        for sample in samples
        if first_s <= sample[0] <= last_s and sample[4] > 0
    ]
    return sum(parts) / len(parts) if parts else float("nan")


def share_error(team_samples, weights, first_s, last_s):
    """Returns the mean error of waiting teams in points of capacity.

    Teams that wait divide by weight what they hold together; teams that do
    not wait have what they ask for.
    """
    errors = []
    for at_s, parts, waiting, _ in team_samples:
        if not first_s <= at_s <= last_s or len(waiting) < 2:
            continue
        whole = sum(parts[team] for team in waiting)
        total = sum(weights[team] for team in waiting)
        errors += [
            abs(parts[team] - whole * weights[team] / total) for team in waiting
        ]
    return 100.0 * sum(errors) / len(errors) if errors else float("nan")


def pack_offline(targets, sizes):
    """Returns the use of cores, memory and slots by first fit decreasing."""
    nodes = [packing.Node(t, n) for n, t in enumerate(targets)]
    whole = packing.NO_RESOURCES
    for target in targets:
        whole = whole.plus(target.capacity)
    used = packing.NO_RESOURCES
    slots = 0
    key = _largest_part(targets[0].capacity)
    for size in sorted(sizes, key=key, reverse=True):
        node = next((n for n in nodes if n.can_fit(size)), None)
        if node is not None:
            node.allocate("", size)
            used = used.plus(size)
            slots += 1
    return (
        used.cores / whole.cores,
        used.memory_mb / whole.memory_mb,
        slots / sum(t.slots for t in targets),
    )


def compare_packing(used, bound):
    """Returns the use over the bound in the resource that the bound fills."""
    scarcest = max(range(3), key=bound.__getitem__)
    return used[scarcest] / bound[scarcest]


def _largest_part(capacity: records.Resources):
    def key(size):
        return max(
            size.cores / capacity.cores, size.memory_mb / capacity.memory_mb
        )

    return key
