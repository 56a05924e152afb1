"""Messages for operators and callers on why a request waits."""

from quetzalswitch import cluster as clusters
from quetzalswitch import fleet
from quetzalswitch import queues
from quetzalswitch import reservations as reservation_table
from quetzalswitch import shares as share_table
from quetzalswitch import waiting as waiting_table


def explain(
    request_key: str,
    queue_set: queues.QueueSet,
    cluster: clusters.Cluster,
    shares: share_table.Shares,
    reservations: reservation_table.Reservations,
    waiting_requests: waiting_table.WaitingRequests,
) -> str:
    """Returns why a request waits or where it runs."""
    entry = queue_set.entries.get(request_key)
    if entry is not None:
        return _explain_entry(entry, cluster, shares, reservations)
    attempts = cluster.by_request.get(request_key)
    if attempts:
        targets = sorted(
            {cluster.running[name].attempt.target_id for name in attempts}
        )
        return f"running on {', '.join(targets)}"
    if waiting_requests.is_delayed(request_key):
        return "waits for its retry delay or for earlier attempts to end"
    return "not known here"


def _explain_entry(
    entry: queues.QueueEntry,
    cluster: clusters.Cluster,
    shares: share_table.Shares,
    reservations: reservation_table.Reservations,
) -> str:
    request = entry.request
    usage = shares.team(request.team)
    reservation = reservations.current
    if reservation is not None and reservation.entry is entry:
        return (
            f"{len(reservation.tasks_by_node)} targets have capacity reserved"
            f" for it until at most {reservation.end_s:.0f} s on the clock"
        )
    match entry.group.state:
        case queues.GroupState.CAPPED:
            return (
                f"team {request.team} runs {usage.charged} tasks of an"
                f" allowance of {usage.allowance}"
            )
        case queues.GroupState.BLOCKED:
            tasks = request.task_count
            return (
                f"no free capacity for {tasks} task{'s' if tasks > 1 else ''}"
                f" of {fleet.describe(entry.size)}; {cluster.free_slots} of"
                f" {cluster.slots} slots are open"
            )
        case _:
            share = shares.key(request.team)
            return (
                f"waits in tier {entry.tier.name}, weighted share {share:.3f}"
            )
